// Package await has helpers for tests that wait for running nodes.
package await

import (
	"math/rand/v2"
	"net"
	"os"
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

// host is a loopback address of this test process. Tests of other packages run at the same time
// and would otherwise take a port while its node restarts.
var host = net.IPv4(127, byte(1+os.Getpid()/hostsPerByte%hostsPerByte), byte(1+os.Getpid()%hostsPerByte), 1).String()

// hostsPerByte is the number of values of one byte in host.
const hostsPerByte = 250

// FreeAddress returns a loopback address that is not in use over TCP or UDP. It returns no
// address twice.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		address := net.JoinHostPort(host, strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
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
