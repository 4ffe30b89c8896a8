package node

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/ident"
)

// nameRule describes the names that ident.Valid accepts.
const nameRule = "1 to 64 characters of a-z, 0-9, '.', '_' and '-'"

var (
	logFormats = []string{"text", "json"}
	logLevels  = []string{"debug", "info", "warn", "error"}
)

// Validate checks all settings and returns the first *SettingError.
func (s *Settings) Validate() error {
	for _, check := range []func() error{
		s.checkNames, s.checkListeners, s.checkPeers, s.checkLog, s.checkDurations,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkNames() error {
	for _, n := range []struct{ name, value string }{
		{"node-id", s.NodeID}, {"region", s.Region}, {"failure-domain", s.FailureDomain},
	} {
		if !ident.Valid(n.value) {
			return &SettingError{n.name, n.value, nameRule}
		}
	}
	return nil
}

// listener is the parsed address of a listener.
type listener struct {
	name    string
	address netip.AddrPort
}

func (s *Settings) checkListeners() error {
	var list []listener
	for _, a := range []struct{ name, value string }{
		{"caller-address", s.CallerAddress}, {"peer-address", s.PeerAddress},
		{"local-address", s.LocalAddress}, {"admin-address", s.AdminAddress},
	} {
		address, err := netip.ParseAddrPort(a.value)
		if err != nil || address.Port() == 0 {
			return &SettingError{a.name, a.value, "an IP:port"}
		}
		for _, l := range list {
			if overlap(l.address, address) {
				return &SettingError{a.name, a.value, "an address that --" + l.name + " does not use"}
			}
		}
		list = append(list, listener{a.name, address})
	}
	return nil
}

// overlap reports whether the listeners cannot both be opened.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (s *Settings) checkPeers() error {
	for _, p := range s.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return &SettingError{"peers", p, "a list of IP:port"}
		}
	}
	return nil
}

func (s *Settings) checkLog() error {
	if u, err := url.Parse(s.LogURL); err != nil || u.Scheme != "http" || u.Host == "" {
		return &SettingError{"log-url", s.LogURL, "an http URL"}
	}
	if !slices.Contains(logFormats, s.LogFormat) {
		return &SettingError{"log-format", s.LogFormat, oneOf(logFormats)}
	}
	if !slices.Contains(logLevels, s.LogLevel) {
		return &SettingError{"log-level", s.LogLevel, oneOf(logLevels)}
	}
	return nil
}

func oneOf(values []string) string { return "one of " + strings.Join(values, ", ") }

func (s *Settings) checkDurations() error {
	for _, d := range []struct {
		name          string
		value, lo, hi time.Duration
	}{
		{"default-timeout", s.DefaultTimeout, time.Millisecond, 300 * time.Second},
		{"log-timeout", s.LogTimeout, 100 * time.Millisecond, 30 * time.Second},
		{"log-retention", s.LogRetention, time.Minute, 720 * time.Hour},
		{"probe-period", s.ProbePeriod, 50 * time.Millisecond, 10 * time.Second},
	} {
		if d.value < d.lo || d.value > d.hi {
			return &SettingError{d.name, d.value.String(), fmt.Sprintf("%v to %v", d.lo, d.hi)}
		}
	}
	return nil
}
