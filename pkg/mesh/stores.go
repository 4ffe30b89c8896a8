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

// Published is what operators have published, up to a position.
type Published struct {
	Position Position
	// Encoded is a configuration, or nil.
	Encoded []byte
	// Evacuated are the names in all records of evacuated failure domains at the position, sorted.
	Evacuated []string
}

// Configs is the store in which operators publish the routing configuration and the evacuated
// failure domains.
type Configs interface {
	// Newest returns the newest configuration, or none if there is none, and the evacuated
	// failure domains.
	Newest(ctx context.Context) (Published, error)
	// Changes waits for changes after the position of an earlier result. It returns the
	// configuration with the highest version among them, or none, and the evacuated failure
	// domains after them. It fails with ErrHistoryExpired if changes after the position are no
	// longer stored or the position belongs to another history.
	Changes(ctx context.Context, after Published, wait time.Duration) (Published, error)
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
