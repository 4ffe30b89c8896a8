package mesh

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
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
	// maxParallelFetches is the number of sources that are asked at the same time. The second one
	// is asked if the first is slow.
	maxParallelFetches = 2
	// minStoreReadPause and maxStoreReadPause bound the pause after a read of the store for a
	// version that another node has reported and that the store doesn't have.
	minStoreReadPause = time.Second
	maxStoreReadPause = 30 * time.Second
	// maxConfigSends is the number of configurations that a node sends concurrently. With
	// two, the number of nodes that have a new version doubles in each round, and a node
	// with a slow link still has most of the link for calls.
	maxConfigSends = 2
	// configBlockBytes is the size of the blocks in which a configuration is sent.
	configBlockBytes = 32 << 10
)

// fetcher fetches newer configurations from other nodes, and from the store if these are too
// slow.
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
	// readStore reads the newest configuration from the store; nil if nodes don't.
	readStore func(ctx context.Context) error
	// sourceFailed records that a source did not send its configuration, or is nil.
	sourceFailed func(address string)
	timing       configTiming

	mu sync.Mutex
	// readPause is the pause after a read of the store that found no newer configuration.
	readPause time.Duration
	// failedReads is the number of reads of the store that have failed since this node has had
	// failedVersion.
	failedReads   int
	failedVersion uint64
	// noReadBefore is the earliest time of the next read of the store.
	noReadBefore time.Time
}

func newFetcher(w *configWatcher, dir *directory, peers *relay.HTTPPeers, timing configTiming, events *event.Logger) *fetcher {
	return &fetcher{
		watcher: w, findSource: dir.newerConfigSource, fetch: peers.Config, events: events, requested: make(chan struct{}, 1),
		readStore: w.readNewest, sourceFailed: dir.recordConfigFailure, timing: timing,
	}
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
// reached. A source that is slow to respond may have stopped, so another one is asked as well.
//
// Load pattern: the nodes that have a new version fail or freeze right after they have reported
// it.
func (f *fetcher) catchUp(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.readStoreIfLate(ctx)
	attempts, running := 0, map[string]bool{}
	ended := make(chan fetchResult, maxParallelFetches)
	hedge := time.NewTicker(f.timing.scale(fetchHedgeDelay))
	defer hedge.Stop()
	for {
		address, behind := f.findSource(f.watcher.version())
		if !behind || ctx.Err() != nil || (attempts == maxFetchAttempts && len(running) == 0) {
			return
		}
		if attempts < maxFetchAttempts && len(running) < maxParallelFetches && !running[address] {
			attempts++
			running[address] = true
			go func() { ended <- fetchResult{address, f.fetchFrom(ctx, address)} }()
		}
		select {
		case <-ctx.Done():
			return
		case <-hedge.C:
			for slow := range running {
				f.recordFailure(slow)
			}
		case result := <-ended:
			delete(running, result.address)
			if !result.newer && !sleep(ctx, time.Duration(float64(meanFetchPause)*(0.5+rand.Float64()))) {
				return
			}
		}
	}
}

// fetchResult is the end of an attempt. newer is set if it brought a newer configuration.
type fetchResult struct {
	address string
	newer   bool
}

// recordFailure makes findSource prefer other sources.
func (f *fetcher) recordFailure(address string) {
	if f.sourceFailed != nil {
		f.sourceFailed(address)
	}
}

// fetchFrom fetches the configuration of one source and reports whether it was newer.
func (f *fetcher) fetchFrom(ctx context.Context, address string) bool {
	encoded, err := f.fetch(ctx, address)
	if err == nil {
		return f.watcher.installIfNewer(encoded, address)
	}
	if ctx.Err() != nil {
		return false
	}
	f.recordFailure(address)
	f.events.Emit(event.ConfigInvalid, event.Fields{"source": address, "error": err.Error()})
	return false
}

// readStoreIfLate reads the store when the other nodes have not sent a newer configuration in
// time, and again until the context ends. The random part of the delay lets most nodes fetch it
// from the first ones that have read it.
func (f *fetcher) readStoreIfLate(ctx context.Context) {
	if f.readStore == nil {
		return
	}
	for sleep(ctx, f.timing.scale(directReadDelay+rand.N(directReadSpread))) {
		if _, behind := f.findSource(f.watcher.version()); !behind {
			return
		}
		before := f.watcher.version()
		// A node without any configuration reads the store by configWatcher.run, after
		// noConfigTimeout: at a start of the fleet, sources are few.
		if before == 0 || !f.mayReadStore() {
			continue
		}
		err := f.readStore(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.events.Emit(event.LogUnreachable, event.Fields{"error": err.Error(), "call": "read configuration"})
			f.recordFailedRead(before)
			continue
		}
		f.recordStoreRead(f.watcher.version() > before)
	}
}

// mayReadStore reports whether the pause after the last read has ended.
func (f *fetcher) mayReadStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !time.Now().Before(f.noReadBefore)
}

// recordFailedRead starts a pause if reads have failed repeatedly while this node had the version.
// The first one is repeated without a pause, within the bound of the configuration: a call may be
// lost.
func (f *fetcher) recordFailedRead(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version != f.failedVersion {
		f.failedReads, f.failedVersion = 0, version
	}
	if f.failedReads++; f.failedReads > 1 {
		f.noReadBefore = time.Now().Add(maxRetryDelay)
	}
}

// recordStoreRead starts a longer pause if the read found no newer configuration: another node
// reports a version that does not exist.
func (f *fetcher) recordStoreRead(newer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedReads = 0
	if newer {
		f.readPause, f.noReadBefore = 0, time.Time{}
		return
	}
	f.readPause = min(maxStoreReadPause, max(minStoreReadPause, 2*f.readPause))
	f.noReadBefore = time.Now().Add(f.readPause)
}

// recordConfigFailure records that a node did not send its configuration.
func (d *directory) recordConfigFailure(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.roster.Member(address); m != nil {
		m.ConfigFailedAt = d.now()
	}
}

// newerConfigSource returns a random node whose configuration is newer than the version.
// It prefers nodes that have not failed to send it since their last status, and among these
// nodes in the local failure domain.
func (d *directory) newerConfigSource(version uint64) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var local, remote, failed []string
	now, maxStatusAge := d.now(), silenceThreshold(d.roster.Len())
	d.roster.Each(func(m *roster.Member) {
		if m.Status.ConfigVersion <= version || m.Status.Address == d.self || now-m.LastSeen > maxStatusAge {
			return
		}
		switch {
		case m.ConfigFailedAt > m.LastSeen:
			failed = append(failed, m.Status.Address)
		case m.Status.Domain == d.domain:
			local = append(local, m.Status.Address)
		default:
			remote = append(remote, m.Status.Address)
		}
	})
	for _, list := range [][]string{local, remote, failed} {
		if len(list) > 0 {
			return list[rand.IntN(len(list))], true
		}
	}
	return "", false
}

// configServer sends the configuration in force to other nodes. It compresses each version
// once and serves at most maxConfigSends nodes concurrently. It is safe for concurrent use.
type configServer struct {
	table     func() *route.Table
	events    *event.Logger
	sendSlots chan struct{}
	timing    configTiming
	// addHeader adds to the header of each configuration, or is nil.
	addHeader func(http.Header)

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
	if s.addHeader != nil {
		s.addHeader(w.Header())
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
	if err := s.send(w, body); err != nil {
		s.events.Emit(event.AnswerNotDelivered, event.Fields{"path": relay.ConfigPath, "error": err.Error()})
	}
}

// send writes the body in blocks. A receiver that stops reading loses its send slot: this node
// may be the only one that has the configuration.
func (s *configServer) send(w http.ResponseWriter, body []byte) error {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	control := http.NewResponseController(w)
	for block := range slices.Chunk(body, configBlockBytes) {
		if err := control.SetWriteDeadline(time.Now().Add(s.timing.scale(configStallTimeout))); err != nil {
			return fmt.Errorf("set write deadline: %w", err)
		}
		if _, err := w.Write(block); err != nil {
			return fmt.Errorf("send configuration: %w", err)
		}
	}
	return nil
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
