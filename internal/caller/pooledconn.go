package caller

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/endpoint"
)

// disconnectCheckWait is the wait for a connection after which acquireConn
// checks whether the caller is still connected.
const disconnectCheckWait = time.Millisecond

// pooledConn is a pool connection in use for one statement or transaction.
type pooledConn struct {
	conn *endpoint.Conn
	pool *endpoint.Pool
}

// acquireConn acquires a connection to a member from its pool.
func (c *callerSession) acquireConn(ctx context.Context, id core.MemberID, class core.Class) (*pooledConn, error) {
	pool := c.group.Pool(id)
	start := c.srv.Clock.Now()
	conn, err := pool.Acquire(ctx, string(c.account), class)
	if err != nil {
		return nil, err
	}
	// The request of a caller that disconnected while it waited would only
	// delay others.
	if c.srv.Clock.Since(start) > disconnectCheckWait && c.disconnected() {
		pool.Release(conn, true)
		return nil, errDisconnect
	}
	return &pooledConn{conn: conn, pool: pool}, nil
}

// disconnected reports whether the caller has closed its connection.
func (c *callerSession) disconnected() bool {
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = rc.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
		return true
	})
	return closed || err != nil
}

// release returns the connection to its pool. The pool reuses it only if the
// response ended outside a transaction; resp is nil if the connection broke.
func (pc *pooledConn) release(resp *response) {
	pc.pool.Release(pc.conn, resp != nil && resp.status == 'I')
}
