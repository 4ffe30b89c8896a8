// Package mesh implements the node that runs beside an upstream. The node accepts requests
// from the callers on its VM, sends them to upstreams of the whole fleet, protects its own
// upstream from overload, and keeps the routing table and its view of the fleet current.
// Persistent data is accessed through the interfaces Configs and Registry.
package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// ErrHistoryExpired means that the changes after a position can't be read: they are no longer
// stored, or the position belongs to an earlier history of the store. The newest configuration
// must be read instead.
var ErrHistoryExpired = errors.New("configuration changes after the position are not stored")

// Position is a place among the changes of the configuration.
type Position struct {
	// History identifies the history of the store to which the offset belongs, or is 0 if
	// the store doesn't number its histories. A store that is restored from an earlier copy
	// starts the next history and assigns the offsets after the copy again.
	History uint64
	Offset  int64
}

// Configs is the store in which operators publish the routing configuration.
type Configs interface {
	// Newest returns the newest configuration, or nil if there is none, and its position,
	// from which Changes continues.
	Newest(ctx context.Context) (encoded []byte, position Position, err error)
	// Changes waits for changes after the position. It returns the change with the highest
	// version, or nil if there is none, and the next position. It fails with
	// ErrHistoryExpired if changes after the position are no longer stored or the position
	// belongs to another history.
	Changes(ctx context.Context, position Position, wait time.Duration) (encoded []byte, next Position, err error)
	// Decode returns the routing table of an encoded configuration.
	Decode(encoded []byte) (*route.Table, error)
}

// Registry stores the addresses of nodes and the departures of their upstreams for nodes that
// start later.
type Registry interface {
	// Register adds an address. It returns the history of the store in which it did so, as in
	// Position.
	Register(ctx context.Context, address string) (history uint64, err error)
	// RecordDepartures replaces the departures at an address. It returns the history of the
	// store in which it did so.
	RecordDepartures(ctx context.Context, address string, list []roster.Departure) (history uint64, err error)
	// Unregister removes an address and its departures.
	Unregister(ctx context.Context, address string) error
	// Registered returns all registered addresses, the departures, and the history of the
	// store that contains them.
	Registered(ctx context.Context) (Registered, error)
}

// Registered is the content of the registry.
type Registered struct {
	Addresses []string
	// Departures are those at each address, the last one at the end.
	Departures map[string][]roster.Departure
	History    uint64
}
