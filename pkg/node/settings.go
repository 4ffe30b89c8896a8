package node

import (
	"fmt"
	"time"
)

// Settings are a node's static settings. They come from flags and environment variables.
type Settings struct {
	// NodeID is unique in the fleet. NodeID, Region and FailureDomain each have 1 to 64
	// characters of a-z, 0-9, '.', '_' and '-'.
	NodeID string
	// Region and FailureDomain of the VM.
	Region        string
	FailureDomain string
	// CallerAddress, PeerAddress, LocalAddress and AdminAddress are the IP:port of the
	// four listeners. They must differ.
	CallerAddress string
	PeerAddress   string
	LocalAddress  string
	AdminAddress  string
	// LogURL is the base URL of the platform's log.
	LogURL string
	// Peers are peer addresses of other nodes through which a node joins the fleet. Optional.
	Peers []string
	// DefaultTimeout applies to requests that set no timeout. Default 10 s,
	// 1 ms to 300 s.
	DefaultTimeout time.Duration
	// LogTimeout bounds a call to the log. Default 2 s, 100 ms to 30 s.
	LogTimeout time.Duration
	// LogRetention is how long the log retains records. Default 1 h, 1 min to 720 h.
	LogRetention time.Duration
	// ProbePeriod is the time between two membership probes. Default 1 s, 50 ms to 10 s.
	ProbePeriod time.Duration
	// LogFormat is the format of written events: text or json.
	LogFormat string
	// LogLevel is the minimum severity of written events: debug, info, warn or error.
	LogLevel string
}

// SettingError reports an invalid setting and the allowed values.
type SettingError struct {
	Name    string
	Value   string
	Allowed string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting --%s: %q is not allowed: %s", e.Name, e.Value, e.Allowed)
}
