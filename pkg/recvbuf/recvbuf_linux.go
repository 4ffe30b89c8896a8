// Package recvbuf looks at the receive buffer of a connection without reading from it. The
// connection may be in use by another goroutine.
package recvbuf

import (
	"encoding/binary"
	"errors"
	"net"
	"syscall"
)

// State is the state of a receive buffer.
type State int

// States of a receive buffer.
const (
	// Unknown is for connections without a socket and for sockets with an error.
	Unknown State = iota
	// Empty buffers belong to an open connection without bytes to read.
	Empty
	// Readable buffers have bytes to read.
	Readable
	// Ended buffers have none, and the other side has closed the connection.
	Ended
)

// Check returns the state of the connection's receive buffer. Bytes that a connection has read and
// holds, as pipeline.Conn does, count as unread.
func Check(n net.Conn) State {
	if h, ok := n.(interface{ Held() int }); ok && h.Held() > 0 {
		return Readable
	}
	sc, ok := n.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Unknown
	}
	state := Unknown
	// Read would wait for a goroutine that reads from the connection.
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Unknown
	}
	return state
}

// IsReset reports whether the other side has reset the connection, also if there are bytes to read. The
// error stays for the next read. It returns false if the state can't be read.
func IsReset(n syscall.Conn) bool { return stateOf(n) == stateClosed }

// IsClosed reports whether the other side has closed the connection, also if there are bytes to read. It
// returns false if the state can't be read.
func IsClosed(n syscall.Conn) bool { return stateOf(n).closedByPeer() }

// stateOf returns the state of the connection, or 0 if it can't be read. SO_ERROR would also report errors
// that do not end the connection, such as a router that was unreachable for a moment.
func stateOf(n syscall.Conn) tcpState {
	raw, err := n.SyscallConn()
	if err != nil {
		return 0
	}
	state := tcpState(0)
	// After an error the state stays unknown.
	_ = raw.Control(func(fd uintptr) { state = readTCPState(fd) })
	return state
}

func peek(fd int) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return Empty
	case err != nil:
		return Unknown
	case n > 0:
		return Readable
	}
	return Ended
}

// tcpState is the state of a TCP connection as the kernel numbers it. 0 is none: the state is not known.
type tcpState byte

// States in which the other side has closed the connection.
const (
	stateTimeWait  tcpState = 6
	stateClosed    tcpState = 7
	stateCloseWait tcpState = 8
	stateLastACK   tcpState = 9
	stateClosing   tcpState = 11
)

// readTCPState returns the state of a TCP connection, or 0 if it can't be read.
func readTCPState(fd uintptr) tcpState {
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return 0
	}
	// The state is the first byte of the information.
	var b [4]byte
	binary.NativeEndian.PutUint32(b[:], uint32(info))
	return tcpState(b[0])
}

// closedByPeer reports whether the other side has closed the connection.
func (s tcpState) closedByPeer() bool {
	switch s {
	case stateTimeWait, stateClosed, stateCloseWait, stateLastACK, stateClosing:
		return true
	}
	return false
}

// PeerClosed is IsClosed for a descriptor.
func PeerClosed(fd uintptr) bool { return readTCPState(fd).closedByPeer() }
