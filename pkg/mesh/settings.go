package mesh

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// ErrSettings marks settings that a node cannot run with.
var ErrSettings = errors.New("invalid settings")

// Settings of a node. Addresses are IP:port.
type Settings struct {
	// Domain is the failure domain of the VM.
	Domain string
	// Service is the service of the upstream beside the node.
	Service string
	// UpstreamAddress is where the upstream takes requests.
	UpstreamAddress string
	// CallerAddress takes requests from the callers on this VM and its upstream.
	CallerAddress string
	// PeerAddress takes calls and statuses of other nodes, over TCP and UDP. It
	// names the node.
	PeerAddress string
	// ReadyAddress answers whether the node should get new callers.
	ReadyAddress string
	// AnnounceAddress takes announcements of the upstream.
	AnnounceAddress string
	// MetricsAddress serves metrics; empty for none.
	MetricsAddress string
	// StopWithin is the time from the stop signal to the end of the process.
	StopWithin time.Duration
	// FirstStart is set when the whole fleet starts for the first time, so that no
	// address is registered yet.
	FirstStart bool
	// ProbesPerSecond bounds the probes of the upstream.
	ProbesPerSecond float64
}

// Validate reports the first setting that is wrong. Errors wrap ErrSettings.
func (s Settings) Validate() error {
	addresses := []struct{ name, value string }{
		{"upstream address", s.UpstreamAddress}, {"caller address", s.CallerAddress}, {"peer address", s.PeerAddress},
		{"ready address", s.ReadyAddress}, {"announce address", s.AnnounceAddress},
	}
	if s.MetricsAddress != "" {
		addresses = append(addresses, struct{ name, value string }{"metrics address", s.MetricsAddress})
	}
	for _, a := range addresses {
		if _, err := net.ResolveTCPAddr("tcp", a.value); err != nil || a.value == "" {
			return fmt.Errorf("%w: %s %q is not IP:port", ErrSettings, a.name, a.value)
		}
	}
	switch {
	case s.Service == "":
		return fmt.Errorf("%w: no service", ErrSettings)
	case s.Domain == "":
		return fmt.Errorf("%w: no failure domain", ErrSettings)
	case s.StopWithin < minStop:
		return fmt.Errorf("%w: %v to stop is less than %v", ErrSettings, s.StopWithin, minStop)
	}
	return nil
}

// minStop leaves time for requests in flight.
const minStop = time.Second
