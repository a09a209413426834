package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// transactionIdle is how long a transaction may wait for its caller while it
// keeps a scarce connection.
const transactionIdle = 60 * time.Second

// transaction is an open transaction and its connection.
type transaction struct {
	lease  *lease
	status byte
	// readOnly transactions run on a replica.
	readOnly bool
	// lost is true when the endpoint or the connection is gone; the caller
	// still has to end the transaction.
	lost bool
	// need is what a read-only transaction has to see.
	need session.Point
	// requestID is recorded in the transaction, if it is not empty.
	requestID string
}

// begin opens a transaction with the request's own statement.
func (c *callerSession) begin(ctx context.Context, b *batch, readOnly bool) error {
	var l *lease
	var err error
	if readOnly {
		l, err = c.lendReader(ctx)
	} else {
		l, err = c.lendPrimary(ctx)
	}
	if err != nil {
		return err
	}
	a, err := c.exchange(l.conn, b, false)
	if err != nil {
		l.giveBack(nil)
		if b.mayCommit() {
			return result.New(result.OutcomeUnknown, "the endpoint was lost: %w", err)
		}
		return result.New(result.TransactionFailed, "the endpoint was lost at BEGIN: %w", err)
	}
	if a.status == 'I' {
		l.giveBack(a)
		return c.acknowledge(ctx, a)
	}
	c.tx = &transaction{lease: l, status: a.status, readOnly: readOnly, need: c.params.token.Point(c.groupName)}
	if c.params.requestID != "" && !readOnly {
		if err := c.recordInTransaction(); err != nil {
			c.dropTransaction()
			return err
		}
	}
	return c.deliver(a)
}

func (c *callerSession) lendReader(ctx context.Context) (*lease, error) {
	r := core.ReadRequest{Need: c.params.token.Point(c.groupName), MaxAge: c.maxAge()}
	choice, err := c.group.RouteRead(ctx, r, c.srv.ReadWait)
	if err != nil {
		return nil, err
	}
	return c.lend(ctx, choice.Member, core.ClassRead)
}

// inTransaction serves a request inside a transaction.
func (c *callerSession) inTransaction(ctx context.Context, b *batch) error {
	tx := c.tx
	if tx.lost {
		return c.afterLoss(b)
	}
	if tx.requestID != "" && b.mayCommit() && tx.status == 'T' {
		// The id is taken off the session when its transaction ends.
		c.params.requestID = ""
	}
	a, err := c.exchange(tx.lease.conn, b, !b.mayCommit())
	if err == errHangUp {
		return err
	}
	if err != nil {
		c.loseTransaction()
		if b.mayCommit() {
			c.tx = nil
			return c.fail(result.New(result.OutcomeUnknown, "the endpoint was lost at the end of the transaction: %w", err))
		}
		return c.fail(result.New(result.TransactionFailed, "the endpoint was lost inside the transaction: %w", err))
	}
	tx.status = a.status
	if a.status != 'I' {
		return c.deliver(a)
	}
	return c.endTransaction(ctx, a)
}

// endTransaction gives the connection back and acknowledges the end.
func (c *callerSession) endTransaction(ctx context.Context, a *answer) error {
	tx := c.tx
	tx.lease.giveBack(a)
	c.tx = nil
	if tx.readOnly && a.hasPoint && !c.group.Sees(a.point, tx.need) {
		return c.fail(result.New(result.NoFreshMember, "the replica fell behind what the session has seen"))
	}
	if err := c.acknowledge(ctx, a); err != nil {
		return c.fail(err)
	}
	return nil
}

// loseTransaction drops the connection. What ran on it is rolled back by the
// endpoint unless COMMIT was sent.
func (c *callerSession) loseTransaction() {
	c.tx.lease.giveBack(nil)
	c.tx.lost = true
	c.tx.status = 'E'
}

// afterLoss refuses statements until the caller ends the lost transaction.
func (c *callerSession) afterLoss(b *batch) error {
	if b.class() == classEnd {
		c.tx = nil
		return c.localTag(b, "ROLLBACK")
	}
	return c.fail(result.New(result.TransactionFailed, "the transaction was lost; end it with ROLLBACK"))
}

// dropTransaction ends an open transaction whose caller is gone.
func (c *callerSession) dropTransaction() {
	if c.tx == nil {
		return
	}
	tx := c.tx
	c.tx = nil
	if tx.lost {
		return
	}
	_ = tx.lease.conn.SetDeadline(time.Now().Add(time.Second))
	a, err := c.exchange(tx.lease.conn, &batch{simple: true, query: "ROLLBACK"}, false)
	_ = tx.lease.conn.SetDeadline(time.Time{})
	if err != nil {
		a = nil
	}
	tx.lease.giveBack(a)
}

// localTag answers a request with a command tag of our own.
func (c *callerSession) localTag(b *batch, tag string) error {
	if b.simple {
		c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	for _, m := range b.messages {
		c.localMessage(m, nil, tag)
	}
	c.sendReady()
	return nil
}
