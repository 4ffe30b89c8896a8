package connlimit

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/mulberrytray/mulberrytray/internal/await"
)

// Guards against lines of a body that count as lines of the header, and an end that is missed because it
// arrives in parts.
func TestHeaderIsScannedToItsEnd(t *testing.T) {
	const body = "\n\n\r\nx\n"
	for _, header := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\r\na:\r\n\r\r\n\r\n"} {
		for size := 1; size <= len(header+body); size++ {
			var s headerScanner
			var n, lines int64
			for rest := header + body; rest != ""; {
				k := min(size, len(rest))
				blockBytes, blockLines := s.scan([]byte(rest[:k]))
				n, lines, rest = n+blockBytes, lines+blockLines, rest[k:]
			}
			if want := int64(strings.Count(header, "\n")); n != int64(len(header)) || lines != want {
				t.Fatalf("%q in parts of %d bytes: %d bytes and %d lines, want %d and %d", header, size, n, lines, len(header), want)
			}
		}
	}
}

// fields returns n short fields with different names.
func fields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Guards against decoded headers that count for nothing while their requests are in progress, and against
// ordinary requests or a single header of legal size that are refused because of others.
func TestHeadersCountUntilTheResponse(t *testing.T) {
	const count = 2000
	release := make(chan struct{})
	limiter := NewLimiter(2 * count * lineBytes)
	l := startServer(t, Limits{Connections: 50, HeaderBytes: fixed(30 << 10)}, limiter, false, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-release
		}
	})
	held := dial(t, l, "GET /held HTTP/1.1\r\nHost: h\r\n"+fields(count)+"\r\n")
	await.Eventually(t, "the header counts", func() bool { return limiter.Used() > count/2*lineBytes })
	if got := status(dial(t, l, request+fields(count+count/2)+"\r\n")); got != http.StatusServiceUnavailable {
		t.Errorf("status %d for a header without room, want 503", got)
	}
	if got := status(dial(t, l, request+fields(20)+"\r\n")); got != http.StatusOK {
		t.Errorf("status %d for an ordinary header", got)
	}
	close(release)
	if got := status(held); got != http.StatusOK {
		t.Errorf("status %d for the header that was in progress", got)
	}
	await.Eventually(t, "nothing counts after the response", func() bool { return limiter.Used() == 0 })
	if got := status(dial(t, l, request+fields(count+count/2)+"\r\n")); got != http.StatusOK {
		t.Errorf("status %d for a header beside no others", got)
	}
}

// Guards against a single header within the limit of its listener that never has room.
func TestSingleHeaderMayExceedTheMemory(t *testing.T) {
	l := startServer(t, Limits{Connections: 5, HeaderBytes: fixed(30 << 10)}, NewLimiter(1), false, func(http.ResponseWriter, *http.Request) {})
	conn := dial(t, l, "")
	for range 3 {
		if _, err := io.WriteString(conn, request+fields(2000)+"\r\n"); err != nil {
			t.Fatal(err)
		}
		if got := status(conn); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
	}
}

// Guards against a request that keeps the memory for headers although it could give way.
func TestRequestsGiveWayToHeaders(t *testing.T) {
	l := NewLimiter(100 << 10)
	p := newPool(l, 10)
	stalled, _ := newEntry(p)
	next, _ := newEntry(p)
	p.admit(stalled)
	p.admit(next)
	reclaimed := 0
	l.SetReclaim(func() bool {
		reclaimed++
		if reclaimed == 1 {
			go p.end(stalled)
		}
		return reclaimed == 1
	})
	if reason := p.receive(stalled, 8<<10, 180, 1<<20); reason != "" {
		t.Fatalf("refused for %q", reason)
	}
	p.begin(stalled)
	if reason := p.receive(next, 8<<10, 180, 1<<20); reason != "" || reclaimed != 1 {
		t.Errorf("reason %q after %d requests gave way", reason, reclaimed)
	}
	p.remove(stalled)
	p.remove(next)
	if l.Used() != 0 || l.holders.Len() != 0 {
		t.Errorf("%d bytes left", l.Used())
	}
}

// Guards against a header that was read with the end of the request before and counts for nothing.
func TestDecodedHeaderIsCharged(t *testing.T) {
	l := NewLimiter(1 << 20)
	p := newPool(l, 10)
	e, _ := newEntry(p)
	p.admit(e)
	p.begin(e)
	if counted, ok := p.charge(e, 8<<10, 1000); !ok || counted != 8<<10+1000*lineBytes-freeHeaderBytes || l.Used() != counted {
		t.Errorf("%d bytes charged, %t; %d in use", counted, ok, l.Used())
	}
	second, _ := newEntry(p)
	p.admit(second)
	p.begin(second)
	if _, ok := p.charge(second, 8<<10, 2000); ok {
		t.Error("a header without room is accepted")
	}
	p.end(e)
	if l.Used() != 0 {
		t.Errorf("%d bytes left", l.Used())
	}
}
