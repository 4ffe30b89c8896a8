package mesh

import (
	"bytes"
	"strings"
	"testing"

	"github.com/apex/log"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// Guards against a restore of the store that is not in the log, or is there several times.
func TestRestoreOfTheStoreIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	h := newStoreHistory(event.NewLogger(&out, event.FormatText, log.InfoLevel))
	for _, history := range []uint64{0, 4, 4, 6, 5, 0, 6} {
		h.observeRead(history)
		h.observeReport(history, "other")
	}
	if got := out.String(); strings.Count(got, "event=1108") != 1 || !strings.Contains(got, "from=4") || !strings.Contains(got, "to=6") {
		t.Errorf("logged %q; want one restore from 4 to 6", got)
	}
}

// Guards against a wrong report of a node that hides later restores.
func TestWrongReportDoesNotHideRestores(t *testing.T) {
	h := newStoreHistory(event.Discard())
	h.observeRead(4)
	h.observeReport(900, "other")
	reported := h.latest()
	h.observeRead(4)
	h.verify(reported, 4)
	h.observeReport(900, "other")
	if got := h.latest(); got != 4 {
		t.Errorf("history %d after a report of 900 that the store did not confirm, want 4", got)
	}
	for _, history := range []uint64{5, 6} {
		h.observeReport(history, "other")
		if got := h.latest(); got != history {
			t.Errorf("history %d, want %d", got, history)
		}
	}
}
