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
	h := &storeHistory{events: event.NewLogger(&out, event.FormatText, log.InfoLevel)}
	for _, history := range []uint64{0, 4, 4, 6, 5, 0, 6} {
		h.observe(history)
	}
	if got := out.String(); strings.Count(got, "event=1108") != 1 || !strings.Contains(got, "from=4") || !strings.Contains(got, "to=6") {
		t.Errorf("logged %q; want one restore from 4 to 6", got)
	}
}
