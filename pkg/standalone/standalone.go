// Package standalone provides the dependencies of a mesh node that runs without a
// platform: the routing table comes from a file, the addresses of other nodes come
// from settings, and the upstream announces itself in the format of mtnode.
package standalone

import (
	"context"

	"github.com/mulberrytray/mulberrytray/pkg/mesh"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// HeaderNames returns the names of the headers for callers and upstreams. Responses
// of upstreams have no seal, need not repeat the request id and report no load. A
// Mulberrytray-Not-Run header counts if its response repeats the request id or is the
// first one on its connection.
func HeaderNames() relay.HeaderNames {
	return relay.HeaderNames{
		RequestID:          outcome.HeaderRequestID,
		ResponseID:         outcome.HeaderRequestID,
		ResponseIDOptional: true,
		TimeoutMillis:      outcome.HeaderTimeout,
		ExpectUpstream:     "Mulberrytray-Expect-Upstream",
		UpstreamID:         "Mulberrytray-Upstream-Id",
		NotRun:             "Mulberrytray-Not-Run",
		CallerService:      "Mulberrytray-Caller-Service",
		ParseLoad:          func(string) (relay.UpstreamLoad, bool) { return relay.UpstreamLoad{}, false },
	}
}

// Peers are the addresses of other nodes, from settings. It implements mesh.Registry.
type Peers []string

// Register does nothing: the addresses come from settings.
func (Peers) Register(context.Context, string) (uint64, error) { return 0, nil }

// Unregister does nothing: the addresses come from settings.
func (Peers) Unregister(context.Context, string) error { return nil }

// RecordDepartures does nothing: without the platform, only the nodes keep departures.
func (Peers) RecordDepartures(context.Context, string, []roster.Departure) (uint64, error) {
	return 0, nil
}

// Registered returns the addresses from settings.
func (p Peers) Registered(context.Context) (mesh.Registered, error) {
	return mesh.Registered{Addresses: p}, nil
}
