package mesh

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/connlimit"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/intake"
)

const (
	// reservedDescriptors of a process are for files.
	reservedDescriptors = 200
	// fallbackDescriptors is used if the limit of the process can't be read.
	fallbackDescriptors = 4096
	// Parts of the descriptors for connections of callers, of other nodes and of each of the
	// small listeners, in 32nds. The rest, over a quarter, is for connections that the node opens.
	callerShare, peerShare, smallShare, shares = 12, 8, 1, 32
	// minConnections is the least limit of a listener.
	minConnections = 16
	// connectionMemoryDivisor is the part of the process's memory for the connections of
	// callers, and for those of other nodes.
	connectionMemoryDivisor = 8
	// defaultConnectionMemory is used if the process's memory is not limited.
	defaultConnectionMemory = 64 << 20
	// callerConnectionBytes and peerConnectionBytes are the memory of a connection without a
	// request over HTTP/1 and HTTP/2: 10 and 41 KB were measured.
	callerConnectionBytes = 16 << 10
	peerConnectionBytes   = 48 << 10
	// peerReceiveBytes is the kernel's receive buffer of a connection of another node. That of the
	// system grows to some MB on a connection that is not read. It is above what the fastest links
	// (200 Mbit/s, 7 ms there and back) hold.
	peerReceiveBytes = 192 << 10
	// streamBytes is the memory that a call's header takes until a handler counts the call, for
	// one at the limit of HTTP/2 headers. The calls of one second take at most the memory of the
	// process: 2,000 with 64 MB, where the two-year target has 250.
	streamBytes = 32 << 10
	// headerMemoryDivisor is the part of the process's memory for headers, from their first byte until
	// the response is written, each without its first 16 KB and with 512 bytes for each line. With
	// 184 MB, 175 headers of 16 KB in 256 lines fit at a time.
	headerMemoryDivisor = 8
	// defaultHeaderMemory is used if the process's memory is not limited.
	defaultHeaderMemory = 32 << 20
	// headerSlack is what the server may read beyond the end of a header (its buffer has 4 KB),
	// and spaces that count on the wire only.
	headerSlack = 8 << 10
	// maxSmallHeaderBytes bounds the header of a request to the small listeners.
	maxSmallHeaderBytes = 16 << 10
)

// listenerLimits returns the limits of the listener with the name.
func (n *Node) listenerLimits(name string, maxHeaderBytes int) connlimit.Limits {
	s := n.settings
	limits := connlimit.Limits{HeaderBytes: func() int64 { return int64(maxHeaderBytes) + headerSlack }}
	switch name {
	case callerListener:
		limits.Connections, limits.HeaderBytes = s.connections(callerShare, callerConnectionBytes), n.callerHeaderBytes
		// The pipeline reads ahead.
		limits.CountsDelivered = true
		limits.Reclaim = func() bool { return n.requests.Evict(intake.Place) }
	case peerListener:
		limits.Connections, limits.ReceiveBytes = s.connections(peerShare, peerConnectionBytes), peerReceiveBytes
		limits.StreamsPerSecond = float64(s.MemoryBytes / streamBytes)
	default:
		limits.Connections = s.connections(smallShare, callerConnectionBytes)
	}
	return limits
}

// callerHeaderBytes returns the limit of a caller's header in force. The ingress rejects a complete
// header beyond that of the configuration.
func (n *Node) callerHeaderBytes() int64 {
	limit := int64(maxCallerHeaderBytes)
	if t := n.ingress.Table(); t != nil && t.Limits.MaxHeaderBytes > 0 {
		limit = min(limit, int64(t.Limits.MaxHeaderBytes))
	}
	return limit + headerSlack
}

// connections returns the number of connections for a share of the descriptors, if each takes the
// given memory.
func (s Settings) connections(share int, connectionBytes int64) int {
	memory := int64(defaultConnectionMemory)
	if s.MemoryBytes > 0 {
		memory = s.MemoryBytes / connectionMemoryDivisor
	}
	descriptors := (s.descriptors() - reservedDescriptors) / shares * share
	return max(minConnections, min(descriptors, int(memory/connectionBytes)))
}

// descriptors returns the number of descriptors that the process may open.
func (s Settings) descriptors() int {
	if s.MaxDescriptors > 0 {
		return s.MaxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, 1<<30))
}

// headerMemory returns the memory for headers in bytes.
func (s Settings) headerMemory() int64 {
	if s.HeaderMemoryBytes > 0 {
		return s.HeaderMemoryBytes
	}
	if s.MemoryBytes == 0 {
		return defaultHeaderMemory
	}
	return s.MemoryBytes / headerMemoryDivisor
}

// limitListener returns a listener that limits connections and headers, and adds its hook to the
// server. It registers the metrics of the listener.
func (n *Node) limitListener(name string, inner net.Listener, server *http.Server) *connlimit.Listener {
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		connlimit.TrackState(conn, state)
		if next != nil {
			next(conn, state)
		}
	}
	l := connlimit.NewListener(inner, n.headers, n.listenerLimits(name, server.MaxHeaderBytes))
	metrics.NewRegisteredFunctionalGauge("connections."+name, n.metrics, l.Open)
	for _, r := range connlimit.Reasons {
		metrics.NewRegisteredFunctionalGauge("connections."+name+".refused."+string(r), n.metrics, func() int64 { return l.Refused(r) })
	}
	n.limited = append(n.limited, limitedListener{name, l})
	return l
}

// limitedListener is a listener with its name.
type limitedListener struct {
	name     string
	listener *connlimit.Listener
}

// reportRefusals logs how many connections were closed and requests gave way because of the limits since the
// last report.
func (n *Node) reportRefusals(ctx context.Context) {
	type key struct {
		name   string
		reason connlimit.Reason
	}
	last, lastEvicted := map[key]int64{}, int64(0)
	for sleep(ctx, dropReportInterval) {
		if evicted := n.requests.Evicted(); evicted > lastEvicted {
			n.deps.Events.Emit(event.StalledBodies, event.Fields{"count": evicted - lastEvicted, "receiving": n.requests.Receiving()})
			lastEvicted = evicted
		}
		for _, l := range n.limited {
			for _, r := range connlimit.Reasons {
				k, count := key{l.name, r}, l.listener.Refused(r)
				if count > last[k] {
					n.deps.Events.Emit(event.ConnectionsClosed, event.Fields{"listener": l.name, "reason": string(r), "count": count - last[k], "open": l.listener.Open()})
				}
				last[k] = count
			}
		}
	}
}
