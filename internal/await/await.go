// Package await holds helpers of tests that wait for running nodes.
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
	// limit is how long a condition is waited for: long enough for a busy machine.
	limit = 10 * time.Second
	// pause is the time between two looks.
	pause = 10 * time.Millisecond
)

// Eventually waits until the condition holds, and fails the test if it does not.
func Eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if holds() {
			return
		}
		time.Sleep(pause)
	}
	t.Fatalf("not within %v: %s", limit, what)
}

const (
	// firstPort to lastPort lie below the ports that the kernel takes for outgoing
	// connections, which would otherwise take a port between the look and its use.
	firstPort = 12000
	lastPort  = 32000
)

// taken holds the ports that were returned.
var taken sync.Map

// FreeAddress returns a loopback address on which nobody listens, over TCP or UDP. It
// returns no address twice. Packages are tested side by side, so the port is random.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		if _, used := taken.LoadOrStore(address, true); !used && free(address) {
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func free(address string) bool {
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
