package frame

import (
	"net"

	"golang.org/x/sys/unix"
)

// SocketState is what waits to be read from a connection.
type SocketState uint8

// States of a connection.
const (
	SocketEnded  SocketState = iota // the peer has closed the connection, or it has failed
	SocketQuiet                     // nothing
	SocketUnread                    // bytes
)

// InspectSocket returns what waits to be read from a connection, without reading it. The
// connection must not have a read deadline in the past.
func InspectSocket(conn net.Conn) SocketState {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return SocketEnded
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return SocketEnded
	}
	state := SocketEnded
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN: //nolint:errorlint // System calls return unwrapped error numbers.
			state = SocketQuiet
		case err == nil && n > 0:
			state = SocketUnread
		}
		return true
	})
	if err != nil {
		return SocketEnded
	}
	return state
}
