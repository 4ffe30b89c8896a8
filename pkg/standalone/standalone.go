// Package standalone holds the ports of a mesh node that runs without a platform:
// the routing table comes from a file, the other nodes' addresses from settings, and
// the upstream announces itself as to mtnode.
package standalone

import (
	"context"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
)

// Names returns the headers of callers and upstreams. Answers of upstreams carry no
// seal and need not repeat the request's id, and upstreams state no load.
func Names() relay.Names {
	return relay.Names{
		RequestID:      outcome.HeaderRequestID,
		TimeoutMillis:  outcome.HeaderTimeout,
		ExpectUpstream: "Mulberrytray-Expect-Upstream",
		UpstreamID:     "Mulberrytray-Upstream-Id",
		NotRun:         "Mulberrytray-Not-Run",
		CallerService:  "Mulberrytray-Caller-Service",
		ParseLoad:      func(string) (relay.UpstreamLoad, bool) { return relay.UpstreamLoad{}, false },
	}
}

// Peers are the addresses of other nodes, from settings. It implements mesh.Registry.
type Peers []string

// Register implements mesh.Registry. There is nowhere to leave the address.
func (Peers) Register(context.Context, string) error { return nil }

// Unregister implements mesh.Registry.
func (Peers) Unregister(context.Context, string) error { return nil }

// Addresses implements mesh.Registry.
func (p Peers) Addresses(context.Context) ([]string, error) { return p, nil }
