// Package mesh is the node that runs beside an upstream: it takes requests from
// the callers on its VM, places them on upstreams of the whole fleet, guards the
// upstream beside it, and keeps the routing table and its picture of the fleet
// current. What must last is kept behind the ports Configs and Registry.
package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// ErrHistoryGone means that changes after a position are no longer kept, so that
// the newest configuration has to be read instead.
var ErrHistoryGone = errors.New("history is gone")

// Configs is where operators publish the routing configuration.
type Configs interface {
	// Newest returns the newest configuration, nil if there is none, and the
	// position after which changes follow.
	Newest(ctx context.Context) (encoded []byte, position int64, err error)
	// Changes waits for changes after the position and returns the last of them, nil
	// if there is none, and the next position. It fails with ErrHistoryGone if
	// changes after the position are no longer kept.
	Changes(ctx context.Context, position int64, wait time.Duration) (encoded []byte, next int64, err error)
	// Decode returns the table of an encoded configuration.
	Decode(encoded []byte) (*route.Table, error)
}

// Registry is where nodes leave their addresses for nodes that start later.
type Registry interface {
	// Register leaves the address.
	Register(ctx context.Context, address string) error
	// Unregister removes an address.
	Unregister(ctx context.Context, address string) error
	// Addresses returns all addresses that were left.
	Addresses(ctx context.Context) ([]string, error)
}
