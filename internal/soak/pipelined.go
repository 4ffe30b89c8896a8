package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/platform"
)

// pipelinedRequests is the number of requests that a caller sends on a connection before it reads
// the first response.
const pipelinedRequests = 4

// sendPipelined sends safe requests on one connection and checks that each response belongs to its
// request. Requests behind a response that closes the connection count as not read.
func (s *soak) sendPipelined(v *vm, caller, number int) {
	conn, err := net.DialTimeout("tcp", v.outboundAddress, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	sentAt := time.Now()
	_ = conn.SetDeadline(sentAt.Add(callerTimeout))
	names := platform.HeaderNames()
	var ids []string
	var keys []int
	var heads strings.Builder
	for i := range pipelinedRequests {
		id, index := fmt.Sprintf("safe-%s-%d-%d-%d", v.name, caller, number, i), s.pickKey(number/10*pipelinedRequests+i)
		ids, keys = append(ids, id), append(keys, index)
		s.recordSent(id, sentRequest{v, index})
		fmt.Fprintf(&heads, "GET /safe/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\n%s: %s %s\r\n%s: %s\r\n\r\n", id, services[i%len(services)],
			names.RequestID, id, names.TimeoutMillis, names.Credentials, names.KeyScheme, keyText(index), names.Organisation, spoofedOrganisation)
	}
	_, err = io.WriteString(conn, heads.String())
	reader := bufio.NewReader(conn)
	for i, id := range ids {
		var resp *http.Response
		var body []byte
		if err == nil {
			resp, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			body, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil {
			s.checkResponse(v, id, keys[i], sentAt, 0, "")
			continue
		}
		if got := resp.Header.Get(names.ResponseID); got != "" && got != id {
			s.violation("pipelined request %s got the response to %s", id, got)
		}
		s.checkResponse(v, id, keys[i], sentAt, resp.StatusCode, string(body))
		if resp.Close {
			return
		}
	}
}
