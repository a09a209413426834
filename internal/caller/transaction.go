package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// transactionIdleTimeout bounds how long a transaction waits for its caller's
// next message, because it holds a scarce endpoint connection.
const transactionIdleTimeout = 60 * time.Second

// transaction is an open transaction and its connection.
type transaction struct {
	pooled *pooledConn
	status byte
	// readOnly is true if the transaction was routed as a read.
	readOnly bool
	// lost is true after the connection broke. The caller still has to end
	// the transaction.
	lost bool
	// requiredPoint is the log point that data read by a read-only
	// transaction must include.
	requiredPoint session.Point
	// requestID is the id recorded in the transaction, or empty.
	requestID string
}

// begin starts a transaction by running the caller's own statement.
func (c *callerSession) begin(ctx context.Context, b *batch, readOnly bool) error {
	var pc *pooledConn
	var err error
	if readOnly {
		pc, err = c.acquireForRead(ctx)
	} else {
		pc, err = c.acquirePrimary(ctx)
	}
	if err != nil {
		return err
	}
	resp, err := c.exchange(pc.conn, b, false)
	if err != nil {
		pc.release(nil)
		if b.mayCommit() {
			return result.New(result.OutcomeUnknown, "the endpoint was lost: %w", err)
		}
		return result.New(result.TransactionFailed, "the endpoint was lost at BEGIN: %w", err)
	}
	if resp.status == 'I' {
		pc.release(resp)
		return c.acknowledge(ctx, resp)
	}
	c.tx = &transaction{pooled: pc, status: resp.status, readOnly: readOnly, requiredPoint: c.params.token.Point(c.groupName)}
	if c.params.requestID != "" && !readOnly {
		if err := c.recordInTransaction(); err != nil {
			c.rollBackTransaction()
			return err
		}
	}
	return c.sendResponse(resp)
}

// acquireForRead routes a read and acquires a connection to the chosen
// endpoint.
func (c *callerSession) acquireForRead(ctx context.Context) (*pooledConn, error) {
	r := core.ReadRequest{Need: c.params.token.Point(c.groupName), MaxAge: c.maxAge()}
	choice, err := c.group.RouteRead(ctx, r, c.srv.ReadWait)
	if err != nil {
		return nil, err
	}
	return c.acquireConn(ctx, choice.Member, core.ClassRead)
}

// handleInTransaction serves a request inside a transaction.
func (c *callerSession) handleInTransaction(ctx context.Context, b *batch) error {
	tx := c.tx
	if tx.lost {
		return c.handleAfterLoss(b)
	}
	if !tx.pooled.conn.InStep() {
		return c.failUnsent(b)
	}
	if tx.requestID != "" && b.mayCommit() && tx.status == 'T' {
		// A request id applies to one transaction, which this may commit.
		c.params.requestID = ""
	}
	resp, err := c.exchange(tx.pooled.conn, b, !b.mayCommit())
	if err == errDisconnect {
		return err
	}
	if err != nil {
		c.markTransactionLost()
		if b.mayCommit() {
			c.tx = nil
			return c.failRequest(result.New(result.OutcomeUnknown, "the endpoint was lost at the end of the transaction: %w", err))
		}
		return c.failRequest(result.New(result.TransactionFailed, "the endpoint was lost inside the transaction: %w", err))
	}
	tx.status = resp.status
	if resp.status != 'I' {
		return c.sendResponse(resp)
	}
	return c.endTransaction(ctx, resp)
}

// failUnsent ends a transaction whose connection was found out of step before the request was
// sent.
func (c *callerSession) failUnsent(b *batch) error {
	c.markTransactionLost()
	if b.mayCommit() {
		c.tx = nil
	}
	return c.failRequest(result.New(result.TransactionFailed, "the endpoint was lost before the statement was sent"))
}

// endTransaction releases the connection and acknowledges the end of the
// transaction.
func (c *callerSession) endTransaction(ctx context.Context, resp *response) error {
	tx := c.tx
	tx.pooled.release(resp)
	c.tx = nil
	if tx.readOnly && resp.hasPoint && !c.group.ReadIncludes(resp.point, tx.requiredPoint) {
		return c.failRequest(result.New(result.NoFreshMember, "the replica fell behind what the session has seen"))
	}
	if err := c.acknowledge(ctx, resp); err != nil {
		return c.failRequest(err)
	}
	return nil
}

// markTransactionLost closes the connection. The endpoint rolls the
// transaction back unless COMMIT was sent.
func (c *callerSession) markTransactionLost() {
	c.tx.pooled.release(nil)
	c.tx.lost = true
	c.tx.status = 'E'
}

// handleAfterLoss refuses statements until the caller ends the lost
// transaction.
func (c *callerSession) handleAfterLoss(b *batch) error {
	if b.class() == classEnd && len(b.texts()) == 1 {
		c.tx = nil
		return c.respondWithTag(b, "ROLLBACK")
	}
	return c.failRequest(result.New(result.TransactionFailed, "the transaction was lost; end it with ROLLBACK"))
}

// rollBackTransaction rolls back an open transaction after its caller
// disconnected or its request id could not be recorded, and releases the
// connection.
func (c *callerSession) rollBackTransaction() {
	if c.tx == nil {
		return
	}
	tx := c.tx
	c.tx = nil
	if tx.lost {
		return
	}
	_ = tx.pooled.conn.SetDeadline(time.Now().Add(time.Second))
	resp, err := c.exchange(tx.pooled.conn, &batch{simple: true, query: "ROLLBACK"}, false)
	_ = tx.pooled.conn.SetDeadline(time.Time{})
	if err != nil {
		resp = nil
	}
	tx.pooled.release(resp)
}

// respondWithTag answers a request with a command tag, without an endpoint.
func (c *callerSession) respondWithTag(b *batch, tag string) error {
	if b.simple {
		c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	for _, m := range b.messages {
		c.respondToMessage(m, nil, tag)
	}
	c.sendReady()
	return nil
}
