package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// handleRequest serves one request. An error ends the session.
func (c *callerSession) handleRequest(ctx context.Context, b *batch) error {
	class := b.class()
	if class == classParam {
		return c.handleParamStatement(ctx, b)
	}
	if class == classRefused {
		return c.failRequest(result.New(result.NotSupported,
			"session state is not kept between transactions; use SET LOCAL, or parameters of cumintrestle"))
	}
	if c.tx != nil {
		return c.handleInTransaction(ctx, b)
	}
	if err := c.checkTemplate(); err != nil {
		return err
	}
	if class == classEmpty {
		return c.respondEmpty(b)
	}
	start := c.srv.Clock.Now()
	o := Outcome{Group: c.groupName, Account: c.account}
	err := c.dispatch(ctx, b, class, &o)
	o.Duration = c.srv.Clock.Since(start)
	o.Code = result.CodeOf(err)
	if o.Kind != KindRead {
		o.Acked, c.lastAcked = c.lastAcked, session.Point{}
	}
	c.srv.OnOutcome(o)
	if err != nil {
		return c.failRequest(err)
	}
	return nil
}

// dispatch runs a request with its waits bounded by StatementWait. It returns
// Cancelled if a cancel request ended a wait before the request ran.
func (c *callerSession) dispatch(ctx context.Context, b *batch, class statementClass, o *Outcome) error {
	ctx, cancel := context.WithTimeout(ctx, c.srv.StatementWait)
	defer cancel()
	c.setCancelWait(cancel)
	err := c.routeRequest(ctx, b, class, o)
	if c.setCancelWait(nil) && err != nil && result.CodeOf(err).Family() == result.NotRun {
		return result.New(result.Cancelled, "the request was cancelled while it waited")
	}
	return err
}

func (c *callerSession) routeRequest(ctx context.Context, b *batch, class statementClass, o *Outcome) error {
	once := c.params.requestID != "" && b.executes()
	switch {
	case class == classBegin || class == classBeginReadOnly || class == classEnd:
		o.Kind = KindTransaction
		return c.begin(ctx, b, class == classBeginReadOnly)
	case once:
		o.Kind = KindWrite
		return c.runOnce(ctx, b)
	case class == classRead:
		o.Kind = KindRead
		return c.runRead(ctx, b, o)
	}
	o.Kind = KindWrite
	return c.runWrite(ctx, b)
}

// respondEmpty answers a request that refers to no known statement. Only
// Close messages are valid in it.
func (c *callerSession) respondEmpty(b *batch) error {
	if b.simple {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, m := range b.messages {
		if cl, ok := m.(*pgproto3.Close); ok {
			if cl.ObjectType == 'S' {
				delete(c.prepared, cl.Name)
			}
			c.be.Send(&pgproto3.CloseComplete{})
			continue
		}
		return c.failRequest(result.New(result.MessageInvalid, "unknown prepared statement"))
	}
	c.sendReady()
	return nil
}

// sendResponse sends the buffered part of a response and ReadyForQuery.
func (c *callerSession) sendResponse(resp *response) error {
	if err := c.be.Flush(); err != nil {
		return errDisconnect
	}
	if len(resp.out) > 0 {
		if _, err := (callerWriter{c}).Write(resp.out); err != nil {
			return errDisconnect
		}
	}
	c.sendReady()
	return nil
}

// acquirePrimary waits for a primary and a connection to it. A refusal by the
// primary is retried within the retry budget.
func (c *callerSession) acquirePrimary(ctx context.Context) (*pooledConn, error) {
	for {
		id, _, err := c.group.Primary(ctx)
		if err != nil {
			return nil, err
		}
		pc, err := c.acquireConn(ctx, id, core.ClassWrite)
		if err == nil {
			return pc, nil
		}
		if result.CodeOf(err) != result.EndpointRefused || !c.backOff(ctx) {
			return nil, err
		}
	}
}

// backOff waits before a retry. It reports false if the retry budget is used
// up or ctx has ended.
func (c *callerSession) backOff(ctx context.Context) bool {
	const retryDelay = 20 * time.Millisecond
	if !c.srv.Retries.Take(c.srv.Clock.Now()) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.srv.Clock.After(retryDelay):
		return true
	}
}

// awaitDurability waits up to AckWait until the log point of a response is
// known to be safe or lost.
func (c *callerSession) awaitDurability(ctx context.Context, resp *response) core.Durability {
	ctx, cancel := context.WithTimeout(ctx, c.srv.AckWait)
	defer cancel()
	return c.group.AwaitDurability(ctx, resp.member, resp.point)
}
