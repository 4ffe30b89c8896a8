package mesh

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// fetchPause is the mean pause before another node is asked for the configuration.
	fetchPause = 40 * time.Millisecond
	// fetchAttempts bounds the nodes that are asked until a status shows a newer
	// version again.
	fetchAttempts = 16
	// configSends bounds the configurations that a node sends at a time. With two, a
	// new version doubles its sources in each round, and a node with a slow link still
	// has most of it for calls.
	configSends = 2
	// sendLimit is the longest time for one of them, as the receiver allows.
	sendLimit = 3 * time.Second
)

// fetcher takes newer configurations from other nodes, one at a time.
//
// Load pattern: a configuration of several hundred kilobytes appears at a few nodes
// and all others ask the first one that they hear. A node that is busy sending
// refuses, and the others ask any node that has the version by then.
type fetcher struct {
	follower *follower
	// source returns a node that has a version newer than the one given.
	source func(version uint64) (address string, ok bool)
	get    func(ctx context.Context, address string) ([]byte, error)
	events *event.Logger
	wanted chan struct{}
}

func newFetcher(f *follower, dir *directory, peers *relay.HTTPPeers, events *event.Logger) *fetcher {
	return &fetcher{follower: f, source: dir.newer, get: peers.Config, events: events, wanted: make(chan struct{}, 1)}
}

// want tells that a node has a newer configuration. It never blocks.
func (f *fetcher) want() { notify(f.wanted) }

func (f *fetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wanted:
			f.catchUp(ctx)
		}
	}
}

// catchUp asks nodes until none is known to have a newer configuration.
func (f *fetcher) catchUp(ctx context.Context) {
	for range fetchAttempts {
		address, ok := f.source(f.follower.version())
		if !ok || ctx.Err() != nil {
			return
		}
		encoded, err := f.get(ctx, address)
		if err == nil {
			f.follower.offer(encoded, address)
			continue
		}
		f.events.Emit(event.ConfigInvalid, event.Fields{"source": address, "error": err.Error()})
		if !sleep(ctx, time.Duration(float64(fetchPause)*(0.5+rand.Float64()))) {
			return
		}
	}
}

// newer returns a random node that has a later configuration than the version,
// from the own failure domain if there is one.
func (d *directory) newer(version uint64) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var near, far []string
	now, heardWithin := d.now(), silentAfter(d.roster.Len())
	d.roster.Each(func(m *roster.Member) {
		if m.Status.ConfigVersion <= version || m.Status.Address == d.self || now-m.Heard > heardWithin {
			return
		}
		if m.Status.Domain == d.domain {
			near = append(near, m.Status.Address)
			return
		}
		far = append(far, m.Status.Address)
	})
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	return near[rand.IntN(len(near))], true
}

// configServer gives other nodes the configuration in force, compressed once per
// version and to a few nodes at a time. It is safe for concurrent use.
type configServer struct {
	table  func() *route.Table
	events *event.Logger
	sends  chan struct{}

	mu         sync.Mutex
	version    uint64
	compressed []byte
}

func newConfigServer(table func() *route.Table, events *event.Logger) *configServer {
	return &configServer{table: table, events: events, sends: make(chan struct{}, configSends)}
}

// ServeHTTP implements http.Handler.
func (s *configServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := s.table()
	if t == nil {
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
		return
	}
	select {
	case s.sends <- struct{}{}:
		defer func() { <-s.sends }()
	default:
		http.Error(w, "sending the configuration to others", http.StatusServiceUnavailable)
		return
	}
	// A receiver that stands still must not keep the others from the configuration.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(sendLimit)); err != nil {
		s.events.Emit(event.AnswerNotDelivered, event.Fields{"path": relay.ConfigPath, "error": err.Error()})
	}
	body := t.Source
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		zipped, err := s.zip(t)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		body = zipped
	}
	if _, err := w.Write(body); err != nil {
		s.events.Emit(event.AnswerNotDelivered, event.Fields{"path": relay.ConfigPath, "error": err.Error()})
	}
}

// zip returns the compressed configuration.
func (s *configServer) zip(t *route.Table) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.compressed != nil && s.version == t.Version {
		return s.compressed, nil
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(t.Source); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	s.version, s.compressed = t.Version, b.Bytes()
	return s.compressed, nil
}
