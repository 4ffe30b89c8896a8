package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// deadline is how long clients wait.
const deadline = 1500 * time.Millisecond

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// answer is what a client gets for one attempt.
type answer struct {
	id     string
	sentAt time.Time
	// status is 0 if the connection ended without a complete answer.
	status int
	sealed bool
}

// request sends one request to the node of a machine, on a connection of its own, and returns its answer.
func (m *machine) request(method, path, key string) answer {
	return m.requestTo(host, method, path, key)
}

// requestTo sends a request with the host.
func (m *machine) requestTo(host, method, path, key string) answer {
	a := answer{id: newID()}
	var body io.Reader
	if method != http.MethodGet {
		body = strings.NewReader("order")
	}
	req, err := http.NewRequest(method, "http://"+m.outbound+path, body)
	if err != nil {
		return a
	}
	req.Host = host
	req.Header.Set(idHeader, a.id)
	req.Header.Set(deadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	a.sentAt = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		m.f.note("client at %s: %s %s %s key %q: %v", m.name, a.id, method, path, key, err)
		return a
	}
	a.status, a.sealed = resp.StatusCode, resp.Header.Get(sealHeader) != ""
	m.f.note("client at %s: %s %s %s key %q: %d, sealed %t", m.name, a.id, method, path, key, a.status, a.sealed)
	return a
}
