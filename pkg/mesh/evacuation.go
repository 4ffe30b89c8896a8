package mesh

import (
	"bytes"
	"context"
	"encoding/base64"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberrytray/mulberrytray/pkg/evacuation"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// evacuatedHeader is the header of a configuration for another node with the sender's set of
// evacuated failure domains. Unlike statuses, it also says that no domain was ever evacuated, so
// that a new process needn't wait or read the store.
const evacuatedHeader = "Mt-Evacuated"

// evacuations applies the evacuated failure domains to the sidecar and the directory of the node,
// and passes them on. It is safe for concurrent use.
type evacuations struct {
	own     string
	within  time.Duration
	dir     *directory
	sidecar *relay.Sidecar
	events  *event.Logger
	now     func() time.Duration
	// notifyAll sends a status to all members at once, and notifySubscribers within the rate limits.
	notifyAll, notifySubscribers func()

	mu    sync.Mutex
	state *evacuation.State
	// leftOut is the number of names that the last read set did not contain.
	leftOut int
}

// newEvacuations takes the upstream out of use until the evacuated failure domains are known, if
// the settings have a bound for evacuations.
func newEvacuations(s Settings, dir *directory, sidecar *relay.Sidecar, g *gossip, events *event.Logger) *evacuations {
	wait := s.EvacuateWithin > 0
	sidecar.SetEvacuated(wait)
	return &evacuations{
		own: s.Domain, within: s.EvacuateWithin, dir: dir, sidecar: sidecar, events: events, now: dir.now,
		notifyAll: g.requestSendToAll, notifySubscribers: g.requestSend, state: evacuation.New(s.Domain, wait, s.EvacuateWithin),
	}
}

// run ends the wait for the evacuated failure domains after the timeout.
func (e *evacuations) run(ctx context.Context, timeout time.Duration) {
	if !sleep(ctx, timeout) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.EndWait() {
		e.events.Emit(event.EvacuationsUnknown, event.Fields{"domain": e.own, "after_ms": timeout.Milliseconds()})
		e.updateOwn()
	}
}

// observeRead processes the evacuated failure domains that the node has read from the store.
func (e *evacuations) observeRead(p Published) {
	set, leftOut := evacuation.NewSet(evacuation.Version(p.Position), p.Evacuated)
	e.mu.Lock()
	defer e.mu.Unlock()
	if leftOut != e.leftOut && leftOut > 0 {
		e.events.Emit(event.RecordInvalid, event.Fields{"count": leftOut, "error": "names of evacuated failure domains that are unusual or too many"})
	}
	e.leftOut = leftOut
	c := e.state.ObserveRead(e.now(), set)
	e.apply(c, "store")
	if c.Broadcast {
		e.notifyAll()
	}
}

// observeStatus processes the status of another node. Nodes that read the store notify all others at
// once, so this node does so only within the rate limits.
func (e *evacuations) observeStatus(s roster.Status) {
	if s.Evacuated == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.apply(e.state.ObserveStatus(e.now(), *s.Evacuated), s.Address) {
		e.notifySubscribers()
	}
}

// observeHeader processes the header of a configuration from another node.
func (e *evacuations) observeHeader(address string, h http.Header) {
	encoded := h.Get(evacuatedHeader)
	if encoded == "" {
		return
	}
	b, err := base64.StdEncoding.DecodeString(encoded)
	var set evacuation.Set
	if err == nil {
		r := bytes.NewReader(b)
		set, err = decodeEvacuated(msgpack.NewDecoder(r), r)
	}
	if err != nil {
		e.events.Emit(event.StatusInvalid, event.Fields{"member": address, "error": err.Error()})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(e.state.ObserveRead(e.now(), set), address)
}

// writeHeader adds the set to the header of a configuration for another node.
func (e *evacuations) writeHeader(h http.Header) {
	e.mu.Lock()
	set, known := e.state.Known()
	e.mu.Unlock()
	if !known || e.within <= 0 {
		return
	}
	var b bytes.Buffer
	if err := encodeEvacuated(msgpack.NewEncoder(&b), set); err != nil {
		e.events.Emit(event.StatusInvalid, event.Fields{"member": e.dir.self, "error": err.Error()})
		return
	}
	h.Set(evacuatedHeader, base64.StdEncoding.EncodeToString(b.Bytes()))
}

// apply puts a change in force and reports whether a domain went out of use or came back. The
// caller holds mu.
func (e *evacuations) apply(c evacuation.Change, source string) bool {
	if c.Retained {
		// A later observation may have retained domains again; the last call ends them.
		time.AfterFunc(e.within, e.expire)
	}
	set, _ := e.state.Known()
	fields := func(domain string) event.Fields {
		return event.Fields{"domain": domain, "history": set.Version.History, "offset": set.Version.Offset, "source": source}
	}
	for _, domain := range c.Evacuated {
		e.events.Emit(event.DomainEvacuated, fields(domain))
	}
	for _, domain := range c.Returned {
		e.events.Emit(event.DomainReturned, fields(domain))
	}
	changed := len(c.Evacuated)+len(c.Returned) > 0
	if changed {
		e.dir.setEvacuated(e.state.Domains())
	}
	if slices.Contains(c.Returned, e.own) {
		e.sidecar.AssumeCold()
		e.sidecar.SetEvacuated(false)
	}
	e.updateOwn()
	return changed
}

// updateOwn puts in force whether the upstream beside the node may be used. The caller holds mu.
func (e *evacuations) updateOwn() {
	was := e.sidecar.Evacuated()
	e.sidecar.SetEvacuated(!e.state.OwnInUse())
	if was && e.state.OwnInUse() {
		// The wait of a new process has ended: its upstream may be new to all nodes.
		e.notifyAll()
	}
}

// expire ends the retention of domains whose record a restored store no longer contains.
func (e *evacuations) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(e.state.Expire(e.now()), "retention")
}

// advertised returns the set that statuses contain, or nil if they contain none.
func (e *evacuations) advertised() *evacuation.Set {
	e.mu.Lock()
	defer e.mu.Unlock()
	if set, ok := e.state.Advertised(); ok {
		return &set
	}
	return nil
}

// count returns the number of failure domains that are out of use.
func (e *evacuations) count() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int64(len(e.state.Domains()))
}

// ownCount returns 1 if the failure domain of the node is evacuated, and 0 otherwise.
func (e *evacuations) ownCount() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Evacuated(e.own) {
		return 1
	}
	return 0
}

// setEvacuated sets the failure domains whose upstreams are not used.
func (d *directory) setEvacuated(domains []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuated = map[string]bool{}
	for _, domain := range domains {
		d.evacuated[domain] = true
	}
	// The subscriptions are computed again without these upstreams.
	d.subscribers = subscriberSet{}
}
