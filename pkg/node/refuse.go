package node

import (
	"errors"
	"net"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// refuseConnections makes the kernel ignore new connections to the listener, with
// a socket filter that drops all packets. Connections that are complete can still
// be accepted; clients that knock later are refused once the listener is closed.
func refuseConnections(l *net.TCPListener) error {
	program, err := bpf.Assemble([]bpf.Instruction{bpf.RetConstant{Val: 0}})
	if err != nil {
		return err
	}
	filter := make([]unix.SockFilter, len(program))
	for i, in := range program {
		filter[i] = unix.SockFilter{Code: in.Op, Jt: in.Jt, Jf: in.Jf, K: in.K}
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var attached error
	err = raw.Control(func(fd uintptr) {
		attached = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	return errors.Join(err, attached)
}
