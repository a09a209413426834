// Package netpeek looks at connections without reading from them.
//
// # Usage
//
//	if netpeek.Readable(nc) { ... } // data has arrived that nobody asked for, or the peer has closed nc
package netpeek

import (
	"errors"
	"net"
	"syscall"
)

// Readable reports whether a read would return at once, with data or an error. It is false for
// connections that are no sockets.
func Readable(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	ready := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ready = !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return ready || err != nil
}
