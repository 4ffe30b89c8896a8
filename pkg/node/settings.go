package node

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Settings are a node's static settings, from flags and environment variables.
type Settings struct {
	// NodeID is unique in the fleet.
	NodeID string
	// Region and FailureDomain of the VM.
	Region        string
	FailureDomain string
	// CallerAddress, PeerAddress, LocalAddress and AdminAddress are IP:port of the listeners.
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
	// ProbePeriod between two membership probes. Default 1 s, 50 ms to 10 s.
	ProbePeriod time.Duration
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

// Validate checks all settings and returns the first *SettingError.
func (s *Settings) Validate() error {
	if s.NodeID == "" || len(s.NodeID) > maxNameBytes {
		return &SettingError{"node-id", s.NodeID, fmt.Sprintf("1 to %d characters", maxNameBytes)}
	}
	if s.FailureDomain == "" {
		return &SettingError{"failure-domain", s.FailureDomain, "a name"}
	}
	for _, a := range []struct{ name, value string }{
		{"caller-address", s.CallerAddress}, {"peer-address", s.PeerAddress},
		{"local-address", s.LocalAddress}, {"admin-address", s.AdminAddress},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return &SettingError{a.name, a.value, "an IP:port"}
		}
	}
	for _, p := range s.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return &SettingError{"peers", p, "a list of IP:port"}
		}
	}
	if u, err := url.Parse(s.LogURL); err != nil || u.Scheme != "http" || u.Host == "" {
		return &SettingError{"log-url", s.LogURL, "an http URL"}
	}
	for _, d := range []struct {
		name          string
		value, lo, hi time.Duration
	}{
		{"default-timeout", s.DefaultTimeout, time.Millisecond, 300 * time.Second},
		{"log-timeout", s.LogTimeout, 100 * time.Millisecond, 30 * time.Second},
		{"probe-period", s.ProbePeriod, 50 * time.Millisecond, 10 * time.Second},
	} {
		if d.value < d.lo || d.value > d.hi {
			return &SettingError{d.name, d.value.String(), fmt.Sprintf("%v to %v", d.lo, d.hi)}
		}
	}
	return nil
}

// maxNameBytes bounds names in settings and headers.
const maxNameBytes = 64
