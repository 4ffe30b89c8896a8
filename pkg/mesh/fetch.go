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
	// meanFetchPause is the mean pause after an attempt that brought no newer configuration.
	meanFetchPause = 40 * time.Millisecond
	// maxFetchAttempts is the number of attempts after which the node stops fetching until
	// the next status with a newer version.
	maxFetchAttempts = 16
	// maxConfigSends is the number of configurations that a node sends concurrently. With
	// two, the number of nodes that have a new version doubles in each round, and a node
	// with a slow link still has most of the link for calls.
	maxConfigSends = 2
	// configSendTimeout is the time limit for sending one configuration, equal to the
	// receiver's time limit.
	configSendTimeout = 3 * time.Second
)

// fetcher fetches newer configurations from other nodes, one at a time.
//
// Load pattern: a configuration of several hundred kilobytes appears at a few nodes, and
// all other nodes request it from the first one that reports the new version. A node that
// is busy sending rejects the request; the requester then picks a random node that has
// the version by that time.
type fetcher struct {
	watcher *configWatcher
	// findSource returns a node that has a newer version than the given one.
	findSource func(version uint64) (address string, ok bool)
	fetch      func(ctx context.Context, address string) ([]byte, error)
	events     *event.Logger
	requested  chan struct{}
}

func newFetcher(w *configWatcher, dir *directory, peers *relay.HTTPPeers, events *event.Logger) *fetcher {
	return &fetcher{watcher: w, findSource: dir.newerConfigSource, fetch: peers.Config, events: events, requested: make(chan struct{}, 1)}
}

// request triggers a fetch because another node has a newer configuration. It never blocks.
func (f *fetcher) request() { notify(f.requested) }

func (f *fetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.requested:
			f.catchUp(ctx)
		}
	}
}

// catchUp fetches configurations until no node reports a newer one or maxFetchAttempts is
// reached.
func (f *fetcher) catchUp(ctx context.Context) {
	for range maxFetchAttempts {
		address, ok := f.findSource(f.watcher.version())
		if !ok || ctx.Err() != nil {
			return
		}
		encoded, err := f.fetch(ctx, address)
		if err == nil && f.watcher.installIfNewer(encoded, address) {
			continue
		}
		if err != nil {
			f.events.Emit(event.ConfigInvalid, event.Fields{"source": address, "error": err.Error()})
		}
		if !sleep(ctx, time.Duration(float64(meanFetchPause)*(0.5+rand.Float64()))) {
			return
		}
	}
}

// newerConfigSource returns a random node whose configuration is newer than the version.
// It prefers nodes in the local failure domain.
func (d *directory) newerConfigSource(version uint64) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var local, remote []string
	now, maxStatusAge := d.now(), silenceThreshold(d.roster.Len())
	d.roster.Each(func(m *roster.Member) {
		if m.Status.ConfigVersion <= version || m.Status.Address == d.self || now-m.LastSeen > maxStatusAge {
			return
		}
		if m.Status.Domain == d.domain {
			local = append(local, m.Status.Address)
			return
		}
		remote = append(remote, m.Status.Address)
	})
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return "", false
	}
	return local[rand.IntN(len(local))], true
}

// configServer sends the configuration in force to other nodes. It compresses each version
// once and serves at most maxConfigSends nodes concurrently. It is safe for concurrent use.
type configServer struct {
	table     func() *route.Table
	events    *event.Logger
	sendSlots chan struct{}

	mu         sync.Mutex
	version    uint64
	compressed []byte
}

func newConfigServer(table func() *route.Table, events *event.Logger) *configServer {
	return &configServer{table: table, events: events, sendSlots: make(chan struct{}, maxConfigSends)}
}

func (s *configServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := s.table()
	if t == nil {
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
		return
	}
	select {
	case s.sendSlots <- struct{}{}:
		defer func() { <-s.sendSlots }()
	default:
		http.Error(w, "sending the configuration to others", http.StatusServiceUnavailable)
		return
	}
	// A receiver that stops reading must not block the other receivers.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(configSendTimeout)); err != nil {
		s.events.Emit(event.AnswerNotDelivered, event.Fields{"path": relay.ConfigPath, "error": err.Error()})
	}
	body := t.Source
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		compressed, err := s.compress(t)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		body = compressed
	}
	if _, err := w.Write(body); err != nil {
		s.events.Emit(event.AnswerNotDelivered, event.Fields{"path": relay.ConfigPath, "error": err.Error()})
	}
}

// compress returns the table's gzip-compressed source. It caches the result of the last
// version.
func (s *configServer) compress(t *route.Table) ([]byte, error) {
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
