// Package await has helpers for tests that wait for running nodes.
package await

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// timeout bounds the wait for a condition. It is long enough for a busy machine.
	timeout = 10 * time.Second
	// pollInterval is the time between two checks of the condition.
	pollInterval = 10 * time.Millisecond
)

// Eventually waits until the condition holds, and fails the test if it does not in time.
func Eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("condition not met within %v: %s", timeout, description)
}

const (
	// firstPort to lastPort are below the kernel's range for outgoing connections, which
	// could otherwise take a port between the check and its use.
	firstPort = 12000
	lastPort  = 32000
)

// returned holds the addresses that FreeAddress has returned.
var returned sync.Map

// FreeAddress returns a loopback address that is not in use over TCP or UDP. It returns no
// address twice. The port is random because packages are tested concurrently.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		if _, used := returned.LoadOrStore(address, true); !used && isFree(address) {
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	defer func() { _ = p.Close() }()
	return true
}
