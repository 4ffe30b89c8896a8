package node

import (
	"fmt"
	"time"
)

// Settings are a node's static settings, from flags and environment variables.
type Settings struct {
	// NodeID is unique in the fleet. Like Region and FailureDomain it has 1 to 64
	// characters of a-z, 0-9, '.', '_' and '-'.
	NodeID string
	// Region and FailureDomain of the VM.
	Region        string
	FailureDomain string
	// CallerAddress, PeerAddress, LocalAddress and AdminAddress are IP:port of the
	// listeners, all different.
	CallerAddress string
	PeerAddress   string
	LocalAddress  string
	AdminAddress  string
	// LogURL is the base URL of the platform's log.
	LogURL string
	// Peers are peer addresses for the first contact; optional.
	Peers []string
	// DefaultTimeout of requests that state none. Default 10 s, 1 ms to 300 s.
	DefaultTimeout time.Duration
	// LogTimeout bounds a call to the log. Default 2 s, 100 ms to 30 s.
	LogTimeout time.Duration
	// LogRetention is how long the log keeps records. Default 1 h, 1 min to 720 h.
	LogRetention time.Duration
	// ProbePeriod between two membership probes. Default 1 s, 50 ms to 10 s.
	ProbePeriod time.Duration
	// LogFormat of events: text or json.
	LogFormat string
	// LogLevel is the least severity of the events written: debug, info, warn or error.
	LogLevel string
}

// SettingError tells which setting is wrong and what is allowed.
type SettingError struct {
	Name    string
	Value   string
	Allowed string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting --%s: %q is not allowed: %s", e.Name, e.Value, e.Allowed)
}
