package caller

import (
	"context"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// lease is a connection lent for one statement or transaction.
type lease struct {
	conn *endpoint.Conn
	pool *endpoint.Pool
	term session.Term
}

func (c *callerSession) lend(ctx context.Context, id core.MemberID, class core.Class) (*lease, error) {
	pool := c.group.Pool(id)
	conn, err := pool.Acquire(ctx, string(c.account), class)
	if err != nil {
		return nil, err
	}
	return &lease{conn: conn, pool: pool}, nil
}

// giveBack returns the connection; only one that is idle is lent again.
func (l *lease) giveBack(a *answer) {
	l.pool.Release(l.conn, a != nil && a.status == 'I')
}
