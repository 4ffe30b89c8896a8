package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/platform"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 60
	// maxCrowdTime is the longest time for which a crowd stays, so that it meets other faults.
	maxCrowdTime = 6 * time.Second
	// crowdHeaderBytes and crowdBodyBytes are within the limits of the configuration.
	crowdHeaderBytes = 15000
	crowdBodyBytes   = 200_000
	// crowdMemoryMegabytes and crowdDescriptors are the limits of each process, those of the users' smallest VM.
	crowdMemoryMegabytes = 184
	crowdDescriptors     = 4100
)

// crowdKinds are the requests that the members of a crowd send. Each returns the text of a request with the
// id, whose body is not complete.
var crowdKinds = []func(id string) string{
	func(id string) string {
		return crowdHead(id, "Content-Length: 1000\r\n", crowdHeaderBytes) + strings.Repeat("x", 999)
	},
	func(id string) string { return crowdHead(id, "Content-Length: 1000\r\n", 0) },
	func(id string) string {
		return crowdHead(id, fmt.Sprintf("Content-Length: %d\r\n", crowdBodyBytes), 0) + strings.Repeat("x", crowdBodyBytes-1)
	},
	func(id string) string {
		return crowdHead(id, "Transfer-Encoding: chunked\r\n", 0) + strings.Repeat("1\r\nx\r\n", 1000)
	},
}

// crowdHead returns the head of a request that must not run twice, filled with short fields up to the length.
func crowdHead(id, fields string, length int) string {
	names := platform.HeaderNames()
	var b strings.Builder
	fmt.Fprintf(&b, "POST /once/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\n%s: %s %s\r\n%s", services[0], names.RequestID, id, names.TimeoutMillis,
		names.Credentials, names.KeyScheme, keyText(0), fields)
	for i := 0; b.Len() < length; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	b.WriteString("\r\n")
	return b.String()
}

// startCrowd holds a crowd at the VM's node for a while. It returns at once, so that other faults overlap it.
func (s *soak) startCrowd(v *vm, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.Int64N(int64(maxCrowdTime))))
	first := r.IntN(len(crowdKinds))
	number := s.nextCrowd
	s.nextCrowd++
	var members sync.WaitGroup
	for i := range crowdSize {
		members.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				s.sendIncomplete(ctx, v, fmt.Sprintf("once-crowd-%d-%d-%d", number, i, n), crowdKinds[(first+i%2)%len(crowdKinds)])
				time.Sleep(callerPause)
			}
		})
	}
	s.spawn(func() {
		members.Wait()
		cancel()
		s.checkMemory(v)
	})
}

// sendIncomplete sends a request whose body does not end, and checks the response.
func (s *soak) sendIncomplete(ctx context.Context, v *vm, id string, text func(id string) string) {
	conn, err := net.DialTimeout("tcp", v.outboundAddress, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s.recordSent(id, sentRequest{v, 0})
	if _, err := io.WriteString(conn, text(id)); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		s.rejectedBy[id] = v.name
	}
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// checkMemory checks that the VM's process has stayed within its memory. A process that is not running has none.
func (s *soak) checkMemory(v *vm) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.pid()))
	if err != nil {
		return
	}
	m := peakMemory.FindSubmatch(b)
	if m == nil {
		return
	}
	// The pattern has digits only.
	kilobytes, _ := strconv.ParseFloat(string(m[1]), 64)
	peak := kilobytes * 1024 / 1e6
	s.mu.Lock()
	s.report.MaxMemoryMegabytes = max(s.report.MaxMemoryMegabytes, peak)
	s.mu.Unlock()
	if peak > crowdMemoryMegabytes {
		s.violation("%s took %.0f MB of %d", v.name, peak, crowdMemoryMegabytes)
	}
}
