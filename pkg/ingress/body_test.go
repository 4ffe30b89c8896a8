package ingress

import (
	"bufio"
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

// Guards against sending a partly consumed body, or only a part of it, to another
// sidecar, and against losing a large body when the first sidecar rejects early.
func TestBodyAfterRejection(t *testing.T) {
	var got atomic.Int64
	accept := func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		got.Store(n)
		respondRun(w, r)
	}
	rejectAfterRead := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, prefixBytes+fingerprintBytes)
		rejectWith(outcome.ReasonBusy)(w, r)
	}
	for _, tc := range []struct {
		desc   string
		size   int
		first  http.HandlerFunc
		status int
	}{
		{"rejected before a small body", 1000, rejectWith(outcome.ReasonBusy), 200},
		{"rejected before a large body", 300 << 10, rejectWith(outcome.ReasonBusy), 200},
		{"rejected after a part of a large body", 300 << 10, rejectAfterRead, 503},
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
					t.Errorf("status %d, the second sidecar read %d of %d bytes", resp.StatusCode, got.Load(), tc.size)
				}
			})
		}
	}
}

// Guards against bodies over the limit of the service, and against reporting a request
// as not run when its body reached the limit during streaming.
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
					t.Error("the sidecar read an oversized body without an error")
				}
				respondRun(w, r)
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

// Guards against a connection that stays open forever because the caller stops sending
// its body once the request is rejected.
func TestRejectedBodyReleasesConnection(t *testing.T) {
	f := newFixture(t, respondRun)
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
	response, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("the connection is still open: %v", err)
	}
	if !strings.HasPrefix(string(response), "HTTP/1.1 413") {
		t.Errorf("response %.40q, want status 413", response)
	}
}

// Guards against a request with a token that reaches another sidecar, or that is
// reported as not run although the node that issued the token is lost or unreachable.
func TestTokens(t *testing.T) {
	var calls [2]atomic.Int32
	count := func(i int, h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { calls[i].Add(1); h(w, r) }
	}
	f := newFixture(t, count(0, respondRun), count(1, respondRun))
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

// Guards against a quarantined request that runs on a node other than the designated one.
func TestQuarantinedRequestRunsOnDesignatedNode(t *testing.T) {
	quarantined := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(outcome.HeaderIsolate, "alone")
		rejectWith(outcome.ReasonQuarantined)(w, r)
	}
	f := newFixture(t, quarantined, quarantined)
	address := serve(t, http.HandlerFunc(respondRun)).Listener.Addr().String()
	f.members["alone"] = &pb.Member{NodeId: "alone", Incarnation: 1, PeerAddress: address, Status: pb.MemberStatus_MEMBER_STATUS_ALIVE}
	resp := f.do("POST", "/", "b")
	f.expect(resp, 200, "", outcome.Run)
	if got := resp.Header.Get(outcome.HeaderServedBy); got != "alone" {
		t.Errorf("served by %q", got)
	}
	f.members["alone"].Status = pb.MemberStatus_MEMBER_STATUS_DEAD
	f.expect(f.do("POST", "/", "b"), 503, outcome.ReasonQuarantined, outcome.NotRun)
}

// Guards against a chunked request body that breaks off and is sent to an upstream as a whole.
func TestBrokenOffBodyIsNotComplete(t *testing.T) {
	for _, framing := range []string{"Transfer-Encoding: chunked\r\n\r\n9\r\nhalf", "Content-Length: 9\r\n\r\nhalf"} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\n" + framing)))
		if err != nil {
			t.Fatal(err)
		}
		b, err := readPrefix(r, 1<<20)
		if err == nil {
			t.Errorf("%q is read without an error, complete %t", framing, b.complete)
		}
	}
}
