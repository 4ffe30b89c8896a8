package mesh

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/intake"
)

// ErrSettings means that the settings are invalid.
var ErrSettings = errors.New("invalid settings")

// Settings are the settings of a node. Addresses have the form IP:port.
type Settings struct {
	// Domain is the failure domain of the VM.
	Domain string
	// Service is the service of the upstream beside the node.
	Service string
	// UpstreamAddress is the address at which the upstream accepts requests.
	UpstreamAddress string
	// CallerAddress accepts requests from the callers on this VM and from its upstream.
	CallerAddress string
	// PeerAddress accepts calls of other nodes over TCP and their statuses over UDP. It
	// identifies the node.
	PeerAddress string
	// ReadyAddress serves the readiness check, which reports whether callers should use the
	// node.
	ReadyAddress string
	// AnnounceAddress accepts announcements of the upstream.
	AnnounceAddress string
	// MetricsAddress serves metrics. If it is empty, no metrics are served.
	MetricsAddress string
	// StopWithin is the time limit from the stop signal to the end of the process.
	StopWithin time.Duration
	// ConfigWithin is the bound within which an acknowledged configuration is in force at all
	// nodes, or 0 for referenceConfigBound.
	ConfigWithin time.Duration
	// DrainWithin is the bound within which an upstream whose departure is acknowledged gets no
	// more requests, or 0 for defaultDrainBound.
	DrainWithin time.Duration
	// MaxAnnouncementDelay is how late an announcement of the upstream may arrive, or 0 for
	// announce.DefaultMaxDelay.
	MaxAnnouncementDelay time.Duration
	// FirstStart is set when the whole fleet starts for the first time and no address is
	// registered yet.
	FirstStart bool
	// ProbesPerSecond is the maximum rate of probes of the upstream. If it is not positive,
	// only minProbeInterval limits the rate.
	ProbesPerSecond float64
	// Quota bounds what organisations with a limit may run beyond it.
	Quota QuotaBound
	// Cold bounds the requests that a cold upstream may get.
	Cold ColdBound
	// EvacuateWithin is the bound within which the upstreams of an evacuated failure domain get no
	// more requests, or 0 if the deployment has none.
	EvacuateWithin time.Duration
	// MemoryBytes is the memory that the process may use, or 0 if it is not limited.
	MemoryBytes int64
	// MaxDescriptors is the number of file descriptors that the process may open, or 0 for the
	// limit of the process.
	MaxDescriptors int
	// HeaderMemoryBytes is the memory for decoded headers beyond the first 16 KB of each, or 0 for a part
	// of MemoryBytes.
	HeaderMemoryBytes int64
	// Bodies tells when the body of a request is stalled, so that it gives way to others. The zero value
	// stands for intake.DefaultLimits.
	Bodies intake.Limits
}

// QuotaBound bounds the requests of an organisation that run in a window, over all nodes:
// (rate x Window + burst) x (1 + Overage) + Slack. The zero value sets no bound.
type QuotaBound struct {
	Window         time.Duration
	Overage, Slack float64
}

// ColdBound bounds the requests that a cold upstream may get in one second: its cold rate x
// Overage + Slack. The zero value leaves the cold rate as the bound.
type ColdBound struct{ Overage, Slack float64 }

const (
	// bodyMemoryDivisor is the part of the process's memory for bodies of requests and
	// responses.
	bodyMemoryDivisor = 4
	// defaultBodyMemory is used if the process's memory is not limited.
	defaultBodyMemory = 64 << 20
	// requestMemoryDivisor is the part of the process's memory for what requests in progress take
	// besides their bodies.
	requestMemoryDivisor = 4
	// defaultRequestMemory is used if the process's memory is not limited.
	defaultRequestMemory = 256 << 20
	// maxHeaderMemoryDivisor bounds the part of the process's memory that headers may have.
	maxHeaderMemoryDivisor = 4
	// programBytes is for the program itself and the kernel's buffers, which don't shrink with the
	// process's memory.
	programBytes = 24 << 20
	// minHeapTarget is the least target of the heap. Below it, a node would only collect garbage.
	minHeapTarget = 16 << 20
	// heapPermille is the part of the process's memory above which the garbage collector runs
	// more often. Without that, the heap may grow to twice of what is in use. The rest is for
	// what is not in the heap of Go.
	heapPermille = 700
)

// HeapTarget returns the memory in bytes that the garbage collector should stay below, or 0 if
// the process's memory is not limited.
func (s Settings) HeapTarget() int64 {
	if s.MemoryBytes == 0 {
		return 0
	}
	return max(minHeapTarget, min(s.MemoryBytes/1000*heapPermille, s.MemoryBytes-programBytes))
}

// bodyLimits returns the limits of bodies in force.
func (s Settings) bodyLimits() intake.Limits {
	if s.Bodies == (intake.Limits{}) {
		return intake.DefaultLimits
	}
	return s.Bodies
}

// requestMemory returns the memory in bytes for what requests in progress take besides bodies.
func (s Settings) requestMemory() int64 {
	if s.MemoryBytes == 0 {
		return defaultRequestMemory
	}
	return s.MemoryBytes / requestMemoryDivisor
}

// bodyMemory returns the memory for bodies of requests and responses in bytes.
func (s Settings) bodyMemory() int64 {
	if s.MemoryBytes == 0 {
		return defaultBodyMemory
	}
	return s.MemoryBytes / bodyMemoryDivisor
}

// Validate returns an error for the first invalid setting. Errors wrap ErrSettings.
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
	case s.MemoryBytes < 0:
		return fmt.Errorf("%w: memory of %d bytes is negative", ErrSettings, s.MemoryBytes)
	case s.HeaderMemoryBytes < 0:
		return fmt.Errorf("%w: memory of %d bytes for headers is negative", ErrSettings, s.HeaderMemoryBytes)
	case s.MemoryBytes > 0 && s.HeaderMemoryBytes > s.MemoryBytes/maxHeaderMemoryDivisor:
		return fmt.Errorf("%w: memory of %d bytes for headers is more than a quarter of all", ErrSettings, s.HeaderMemoryBytes)
	case s.bodyLimits().Validate() != nil:
		return fmt.Errorf("%w: %w", ErrSettings, s.bodyLimits().Validate())
	case s.MaxDescriptors < 0:
		return fmt.Errorf("%w: number %d of descriptors is negative", ErrSettings, s.MaxDescriptors)
	case s.ConfigWithin < 0:
		return fmt.Errorf("%w: bound %v of the configuration is negative", ErrSettings, s.ConfigWithin)
	case s.DrainWithin < 0:
		return fmt.Errorf("%w: bound %v of departures is negative", ErrSettings, s.DrainWithin)
	case s.MaxAnnouncementDelay < 0:
		return fmt.Errorf("%w: delay %v of announcements is negative", ErrSettings, s.MaxAnnouncementDelay)
	case s.StopWithin < minStopTime:
		return fmt.Errorf("%w: stop time limit %v is below the minimum of %v", ErrSettings, s.StopWithin, minStopTime)
	}
	return nil
}

// minStopTime is the minimum of Settings.StopWithin. It leaves time for requests in flight.
const minStopTime = time.Second
