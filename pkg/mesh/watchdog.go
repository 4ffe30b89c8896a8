package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// Time limits of the watchdog, at referenceConfigBound.
const (
	// reportPeriod is the minimum time between two reports of the store readers. The first one
	// whose random delay of up to another period ends sends the next report.
	reportPeriod = 250 * time.Millisecond
	// maxReportSilence is the time without a report after which another node reads the store.
	// Two reports in a row may be lost.
	maxReportSilence = 800 * time.Millisecond
	// maxReadAge is the age of the last read of the store after which another node reads it. In
	// a fleet whose readers all run, a read ends in each fleetReadInterval.
	maxReadAge = 1100 * time.Millisecond
	// readerHeadStart is how much earlier store readers do so than other nodes.
	readerHeadStart = 50 * time.Millisecond
	// takeoverSpread is the range of the random part of the delay. The report of the first node
	// that reads the store keeps the others from it.
	takeoverSpread = 150 * time.Millisecond
)

// failedReadGap is the mean time between two attempts of the fleet to read the store while they
// fail.
const failedReadGap = 300 * time.Millisecond

// startGrace is the time after the start in which a node leaves the reads to the others, of which
// it does not know all yet.
const startGrace = 2 * time.Second

// maxReportedReadAge is the highest age in a report.
const maxReportedReadAge = 24 * time.Hour

// watchdog reads the store if no other node does. The store readers report to all nodes, in
// turn, that they read it.
//
// Load pattern: all store readers fail at once, in a fleet in which the periodic statuses of one
// node are seconds apart.
type watchdog struct {
	self   string
	timing configTiming
	events *event.Logger
	now    func() time.Duration
	// isReader reports whether this node is a store reader.
	isReader func() bool
	// failing reports whether the regular reads of this node fail.
	failing func() bool
	// members returns the number of nodes of which statuses arrive.
	members func() int
	// read reads the store and calls recordRead if it succeeds.
	read func(ctx context.Context) error
	// send sends a report to all nodes.
	send func(readReport)
	// changed wakes run after a report has arrived.
	changed chan struct{}

	mu sync.Mutex
	// lastReport is when the last report arrived or was sent, and lastRead when the store was
	// last read by any node.
	lastReport, lastRead time.Duration
	// spread is the random part of the delay until this node reads the store, from 0 to 1.
	spread float64
	// notBefore is the earliest time of the next attempt after a failed one.
	notBefore time.Duration
}

// readReport tells the other nodes that the store is being read. It is encoded as an array, after
// readReportKind.
type readReport struct {
	Address string
	// AgeMillis is the age of the last read of the store by any node.
	AgeMillis int64
	// Failed is set if the sender's read has failed.
	Failed bool
}

func newWatchdog(dir *directory, watcher *configWatcher, timing configTiming, send func(readReport), events *event.Logger) *watchdog {
	return &watchdog{
		self: dir.self, timing: timing, events: events, now: dir.now, members: dir.len, read: watcher.readNewest, send: send, changed: make(chan struct{}, 1),
		isReader: func() bool { _, isReader := dir.storeReader(); return isReader }, failing: watcher.isStoreUnreachable,
	}
}

// recordRead records that this node has read the store, and reports it to the other nodes: only
// this node knows of the read.
func (w *watchdog) recordRead() {
	w.mu.Lock()
	w.lastRead, w.notBefore = max(w.lastRead, w.now()), 0
	w.mu.Unlock()
	w.report(false)
}

// receive processes the report of another node.
func (w *watchdog) receive(r readReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if r.Failed {
		w.postpone(now)
	} else {
		w.lastReport, w.spread = max(w.lastReport, now), rand.Float64()
		if read := now - time.Duration(r.AgeMillis)*time.Millisecond; read > w.lastRead {
			// Reads succeed again.
			w.lastRead, w.notBefore = read, 0
		}
	}
	notify(w.changed)
}

// postpone delays the next attempt after one of the fleet that failed. The earliest of the nodes'
// random times is failedReadGap away on average. The caller holds mu.
func (w *watchdog) postpone(now time.Duration) {
	w.notBefore = now + rand.N(failedReadGap*time.Duration(1+w.members()))
}

// readDue returns when this node must read the store.
func (w *watchdog) readDue(isReader bool) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	delay := time.Duration(w.spread * float64(takeoverSpread))
	if !isReader {
		delay += readerHeadStart
	}
	due := min(w.lastReport+w.timing.scale(maxReportSilence), w.lastRead+w.timing.scale(maxReadAge))
	return max(due+w.timing.scale(delay), w.notBefore)
}

// reportDue returns when this node, a store reader, must send a report, and false if it knows of
// no recent read.
func (w *watchdog) reportDue(now time.Duration) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := w.lastReport + w.timing.scale(reportPeriod+time.Duration(w.spread*float64(reportPeriod)))
	return due, now-w.lastRead <= w.timing.scale(maxReadAge+takeoverSpread)
}

// run watches the reads of the store until the context ends.
func (w *watchdog) run(ctx context.Context) {
	w.mu.Lock()
	w.lastReport, w.lastRead = w.now()+startGrace, w.now()+startGrace
	w.mu.Unlock()
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		isReader := w.isReader()
		if isReader && w.failing() {
			// The regular reads go on; other nodes take over.
			w.wait(ctx, rolePollInterval)
			continue
		}
		now, due := w.now(), w.readDue(isReader)
		reportDue, mayReport := w.reportDue(now)
		switch {
		case now >= due && w.readAndReport(ctx):
			retryDelay = minRetryDelay
		case now >= due:
			w.backOff(retryDelay)
			retryDelay = min(maxRetryDelay, retryDelay*2)
		case isReader && mayReport && now >= reportDue:
			w.report(false)
		case isReader && mayReport:
			w.wait(ctx, min(due, reportDue)-now)
		default:
			w.wait(ctx, min(due-now, rolePollInterval))
		}
	}
}

// wait waits for d, a report or the end of the context.
func (w *watchdog) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.changed:
	case <-timer.C:
	}
}

// readAndReport reads the store and reports the result to the other nodes.
func (w *watchdog) readAndReport(ctx context.Context) bool {
	w.mu.Lock()
	silence, age := w.now()-w.lastReport, w.now()-w.lastRead
	w.mu.Unlock()
	err := w.read(ctx)
	if ctx.Err() != nil {
		return false
	}
	fields := event.Fields{"report_age_ms": silence.Milliseconds(), "read_age_ms": age.Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
	}
	w.events.Emit(event.StoreReadTakenOver, fields)
	if err != nil {
		w.report(true)
	}
	return err == nil
}

// backOff delays the next attempt after a failed one of this node.
func (w *watchdog) backOff(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.postpone(now)
	w.notBefore = max(w.notBefore, now+delay)
}

// report sends a report to all nodes.
func (w *watchdog) report(failed bool) {
	w.mu.Lock()
	now := w.now()
	r := readReport{Address: w.self, AgeMillis: max(0, min(now-w.lastRead, maxReportedReadAge)).Milliseconds(), Failed: failed}
	if !failed {
		w.lastReport, w.spread = max(w.lastReport, now), rand.Float64()
	}
	w.mu.Unlock()
	w.send(r)
}

// validate checks the ranges of a report. Errors wrap roster.ErrInvalid.
func (r readReport) validate() error {
	if err := roster.ValidateAddress(r.Address); err != nil {
		return err
	}
	if r.AgeMillis < 0 || r.AgeMillis > maxReportedReadAge.Milliseconds() {
		return fmt.Errorf("%w: read of the store %d ms ago", roster.ErrInvalid, r.AgeMillis)
	}
	return nil
}
