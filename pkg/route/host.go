package route

import (
	"net/netip"
	"strings"
)

// splitHost splits the host of a request or of an entry into its name, in the form in which names
// are compared, and its port, which may be empty. Names are compared without regard to case and
// without a final dot (RFC 9110, section 4.2.3), IPv6 addresses by value.
func splitHost(host string) (name, port string) {
	name = host
	colon := strings.LastIndexByte(host, ':')
	if colon >= 0 && (strings.IndexByte(host, ':') == colon || strings.HasSuffix(host[:colon], "]")) {
		name, port = host[:colon], host[colon+1:]
	}
	if address, found := strings.CutPrefix(name, "["); found {
		name = strings.TrimSuffix(address, "]")
	}
	if strings.Contains(name, ":") {
		if ip, err := netip.ParseAddr(name); err == nil {
			return ip.String(), port
		}
	}
	return strings.ToLower(strings.TrimSuffix(name, ".")), port
}

// HostKey returns the form of a host in which two spellings of it are equal.
func HostKey(host string) string {
	name, port := splitHost(host)
	if port == "" {
		return name
	}
	return name + " " + port
}
