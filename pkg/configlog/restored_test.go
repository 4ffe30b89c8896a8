package configlog_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/apex/log"

	"github.com/mulberrytray/mulberrytray/pkg/configlog"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// Guards against nodes that hold different intents under one version, without an event, after
// the log was restored from an earlier copy and its offsets were assigned again.
func TestRestoredLogIsNoticed(t *testing.T) {
	var out bytes.Buffer
	l := &fakeLog{}
	before := configlog.NewReplica(l, event.NewLogger(&out, event.FormatText, log.InfoLevel))
	advanceTo(t, before, 3)
	// The last version was a proposal and a confirmation.
	l.update(func(l *fakeLog) { l.records = l.records[:len(l.records)-2] })
	after := configlog.NewReplica(l, event.Discard())
	if err := after.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, after, proposal("other", 2, intentYAML(7)), confirmation("confirm-other", "other"))
	if err := before.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	a, b := before.Current(), after.Current()
	if a.Version == b.Version && a.State.IntentYaml != b.State.IntentYaml && !strings.Contains(out.String(), "event=1106") {
		t.Errorf("two intents of version %d and no LogReset event", a.Version)
	}
}
