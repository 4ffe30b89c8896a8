// Package await holds helpers of tests that wait for running nodes.
package await

import (
	"net"
	"testing"
	"time"
)

const (
	// limit is how long a condition is waited for: long enough for a busy machine.
	limit = 10 * time.Second
	// pause is the time between two looks.
	pause = 10 * time.Millisecond
)

// Eventually waits until the condition holds, and fails the test if it does not.
func Eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range limit / pause {
		if holds() {
			return
		}
		time.Sleep(pause)
	}
	t.Fatalf("not within %v: %s", limit, what)
}

// FreeAddress returns a loopback address on which nobody listens.
func FreeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
