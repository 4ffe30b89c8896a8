package ingress

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Guards against sending a body that was partly consumed, or a part of it, to
// another sidecar, and against losing a large body to an early refusal.
func TestLargeBodyAfterRefusal(t *testing.T) {
	var got atomic.Int64
	accept := func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		got.Store(n)
		ran(w, r)
	}
	readsFirst := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, prefixBytes+fingerprintBytes)
		refusing(outcome.ReasonBusy)(w, r)
	}
	for _, tc := range []struct {
		desc   string
		size   int
		first  http.HandlerFunc
		status int
	}{
		{"refused before a small body", 1000, refusing(outcome.ReasonBusy), 200},
		{"refused before a large body", 300 << 10, refusing(outcome.ReasonBusy), 200},
		{"refused after a part of a large body", 300 << 10, readsFirst, 503},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(tc.desc+", chunked "+strconv.FormatBool(chunked), func(t *testing.T) {
				f := newFixture(t, tc.first, accept)
				f.candidates[1].Warming = true
				var body io.Reader = strings.NewReader(strings.Repeat("x", tc.size))
				if chunked {
					body = io.MultiReader(body)
				}
				req, _ := http.NewRequest("POST", f.url, body)
				req.Header.Set(outcome.HeaderService, "kasse")
				req.Header.Set(outcome.HeaderRank, "batch")
				resp, err := f.client.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
				if resp.StatusCode != tc.status || (tc.status == 200 && got.Load() != int64(tc.size)) {
					t.Errorf("status %d, %d bytes of %d", resp.StatusCode, got.Load(), tc.size)
				}
			})
		}
	}
}

// Guards against bodies over the limit of the service, and against the claim that
// one that was cut off while it streamed was not run.
func TestBodyLimit(t *testing.T) {
	for _, tc := range []struct {
		desc    string
		chunked bool
		limit   int64
		outcome outcome.Outcome
	}{
		{"known length", false, 1000, outcome.NotRun},
		{"chunked, within the prefix", true, 1000, outcome.NotRun},
		{"chunked, beyond the prefix", true, 100 << 10, outcome.Unknown},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					t.Error("the sidecar read a body that looks whole")
				}
				ran(w, r)
			})
			f.in.Services[0].MaxBodyBytes = tc.limit
			var body io.Reader = strings.NewReader(strings.Repeat("x", 200<<10))
			if tc.chunked {
				body = io.MultiReader(body)
			}
			req, _ := http.NewRequest("POST", f.url, body)
			req.Header.Set(outcome.HeaderService, "kasse")
			req.Header.Set(outcome.HeaderRank, "batch")
			req.Header.Set("Expect", "100-continue")
			resp, err := f.client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			f.expect(resp, http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, tc.outcome)
		})
	}
}

// Guards against a connection that is held for ever by a caller that stops sending its
// body once it is refused.
func TestRefusedBodyDoesNotHoldTheConnection(t *testing.T) {
	f := newFixture(t, ran)
	f.in.Services[0].MaxBodyBytes = 1000
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	head := "POST / HTTP/1.1\r\nHost: x\r\n" + outcome.HeaderService + ": kasse\r\n" + outcome.HeaderRank + ": batch\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(c, head+"800\r\n"+strings.Repeat("x", 0x800)+"\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("the connection is still open: %v", err)
	}
	if !strings.HasPrefix(string(answer), "HTTP/1.1 413") {
		t.Errorf("answered %.40q", answer)
	}
}

// Guards against a token's request that reaches another sidecar or is reported
// as not run when the token's node can't tell any more.
func TestTokens(t *testing.T) {
	var calls [2]atomic.Int32
	count := func(i int, h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { calls[i].Add(1); h(w, r) }
	}
	f := newFixture(t, count(0, ran), count(1, ran))
	f.members["gone"] = &pb.Member{NodeId: "gone", Incarnation: 1, Status: pb.MemberStatus_MEMBER_STATUS_DEAD}
	f.members["restarted"] = &pb.Member{NodeId: "restarted", Incarnation: 2, Status: pb.MemberStatus_MEMBER_STATUS_ALIVE}
	f.members["closed"] = &pb.Member{NodeId: "closed", Incarnation: 1, PeerAddress: "127.0.14.1:1", Status: pb.MemberStatus_MEMBER_STATUS_ALIVE}
	for _, tc := range []struct {
		desc, key, service string
		status             int
		reason             outcome.Reason
		outcome            outcome.Outcome
	}{
		{"live node", "token:n1", "kasse", 200, "", outcome.Run},
		{"required and given", "token:n1", "strict", 200, "", outcome.Run},
		{"required and missing", "other", "strict", 428, outcome.ReasonTokenRequired, outcome.NotRun},
		{"dead node", "token:gone", "kasse", 410, outcome.ReasonTokenLost, outcome.Unknown},
		{"unknown node", "token:never", "kasse", 410, outcome.ReasonTokenLost, outcome.Unknown},
		{"other incarnation", "token:restarted", "kasse", 410, outcome.ReasonTokenLost, outcome.Unknown},
		{"unreachable node", "token:closed", "kasse", 503, outcome.ReasonNodeUnreachable, outcome.Unknown},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			resp := f.do("POST", "/", "b", outcome.HeaderIdempotencyKey, tc.key, outcome.HeaderService, tc.service)
			f.expect(resp, tc.status, tc.reason, tc.outcome)
		})
	}
	if calls[0].Load() != 0 || calls[1].Load() != 2 {
		t.Errorf("calls %d and %d, want 0 and 2", calls[0].Load(), calls[1].Load())
	}
}

// Guards against a quarantined request that runs anywhere but on its designated node.
func TestIsolate(t *testing.T) {
	quarantined := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(outcome.HeaderIsolate, "alone")
		refusing(outcome.ReasonQuarantined)(w, r)
	}
	f := newFixture(t, quarantined, quarantined)
	address := serve(t, http.HandlerFunc(ran)).Listener.Addr().String()
	f.members["alone"] = &pb.Member{NodeId: "alone", Incarnation: 1, PeerAddress: address, Status: pb.MemberStatus_MEMBER_STATUS_ALIVE}
	resp := f.do("POST", "/", "b")
	f.expect(resp, 200, "", outcome.Run)
	if got := resp.Header.Get(outcome.HeaderServedBy); got != "alone" {
		t.Errorf("served by %q", got)
	}
	f.members["alone"].Status = pb.MemberStatus_MEMBER_STATUS_DEAD
	f.expect(f.do("POST", "/", "b"), 503, outcome.ReasonQuarantined, outcome.NotRun)
}
