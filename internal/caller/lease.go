package caller

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/endpoint"
)

// longWait is the wait for a connection after which a caller may have left.
const longWait = time.Millisecond

// lease is a connection lent for one statement or transaction.
type lease struct {
	conn *endpoint.Conn
	pool *endpoint.Pool
}

func (c *callerSession) lend(ctx context.Context, id core.MemberID, class core.Class) (*lease, error) {
	pool := c.group.Pool(id)
	start := c.srv.Clock.Now()
	conn, err := pool.Acquire(ctx, string(c.account), class)
	if err != nil {
		return nil, err
	}
	// Work for a caller who left while it waited would only make others wait.
	if c.srv.Clock.Since(start) > longWait && c.gone() {
		pool.Release(conn, true)
		return nil, errHangUp
	}
	return &lease{conn: conn, pool: pool}, nil
}

// gone reports whether the caller closed its connection.
func (c *callerSession) gone() bool {
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = rc.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
		return true
	})
	return gone || err != nil
}

// giveBack returns the connection; only one that is idle is lent again.
func (l *lease) giveBack(a *answer) {
	l.pool.Release(l.conn, a != nil && a.status == 'I')
}
