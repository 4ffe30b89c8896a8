package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// registerDelayPerMember limits the rate at which the fleet registers again after the store
// was restored: 50 nodes per second.
const registerDelayPerMember = 20 * time.Millisecond

// errRestored means that the store was restored while the node registered.
var errRestored = errors.New("store was restored between two calls")

// register adds the node's address to the registry and reads the other nodes' addresses. It
// does so again when the store was restored from an earlier copy, which may not contain them.
// It retries until it succeeds or the context ends.
//
// Load pattern: all nodes learn of a restore at about the same time.
func (n *Node) register(ctx context.Context) {
	pause, listFirst := minRetryDelay, !n.settings.FirstStart
	for {
		target := n.history.latest()
		history, err := n.registerOnce(ctx, listFirst)
		if err != nil {
			n.deps.Events.Emit(event.LogUnreachable, event.Fields{"error": err.Error(), "call": "register"})
			if !sleep(ctx, pause) {
				return
			}
			pause = min(maxRetryDelay, pause*2)
			continue
		}
		pause, listFirst = minRetryDelay, true
		n.history.verify(target, history)
		if !n.history.waitAfter(ctx, history) || !sleep(ctx, rand.N(time.Duration(1+n.dir.len())*registerDelayPerMember)) {
			return
		}
	}
}

// registerOnce registers the node and adds the registered nodes to the roster. It returns the
// history of the store in which it did so.
func (n *Node) registerOnce(ctx context.Context, listFirst bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	registered, err := n.registerAndList(ctx, listFirst)
	if err != nil {
		return 0, err
	}
	history := registered.History
	n.departures.observe(registered.Departures[n.settings.PeerAddress])
	addresses := n.validAddresses(registered.Addresses)
	n.history.observeRead(history)
	n.deps.Events.Emit(event.NodeRegistered, event.Fields{"known": len(addresses), "history": history})
	if n.dir.add(addresses) {
		n.gossip.announce()
	}
	return history, nil
}

// validAddresses returns the addresses of nodes among the registered ones. Another writer may
// have added others; one event reports them.
func (n *Node) validAddresses(registered []string) []string {
	var valid []string
	var firstErr error
	for _, a := range registered {
		if err := roster.ValidateAddress(a); err != nil {
			firstErr = cmp.Or(firstErr, err)
			continue
		}
		valid = append(valid, a)
	}
	if firstErr != nil {
		n.deps.Events.Emit(event.RecordInvalid, event.Fields{"count": len(registered) - len(valid), "error": firstErr.Error()})
	}
	return valid
}

// add adds members for the addresses and reports whether any of them is new.
func (d *directory) add(addresses []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.roster.Len()
	for _, a := range addresses {
		d.roster.Add(d.now(), a)
	}
	return d.roster.Len() > before
}

// registerAndList registers the node's address and returns the content of the registry. If
// listFirst is set, it registers only if the address is not registered already: addresses stay
// registered when their node stops, and most are older than the copy from which the store was
// restored. A node registers before it reads: if two nodes register at the same time, the later
// one reads the other's address. It fails if the store was restored in between.
func (n *Node) registerAndList(ctx context.Context, listFirst bool) (Registered, error) {
	if listFirst {
		registered, err := n.deps.Registry.Registered(ctx)
		if err != nil || slices.Contains(registered.Addresses, n.settings.PeerAddress) {
			return registered, err
		}
	}
	history, err := n.deps.Registry.Register(ctx, n.settings.PeerAddress)
	if err != nil {
		return Registered{}, err
	}
	registered, err := n.deps.Registry.Registered(ctx)
	if err == nil && registered.History != history {
		err = fmt.Errorf("%w: registered in history %d, read in history %d", errRestored, history, registered.History)
	}
	return registered, err
}
