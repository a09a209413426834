package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// handle serves one request. An error ends the session.
func (c *callerSession) handle(ctx context.Context, b *batch) error {
	class := b.class()
	if class == classParam {
		return c.local(ctx, b)
	}
	if class == classRefused {
		return c.fail(result.New(result.NotSupported,
			"session state is not kept between transactions; use SET LOCAL, or parameters of cumintrestle"))
	}
	if c.tx != nil {
		return c.inTransaction(ctx, b)
	}
	if err := c.checkTemplate(); err != nil {
		return err
	}
	if class == classEmpty {
		return c.empty(b)
	}
	start := c.srv.Clock.Now()
	o := Outcome{Group: c.groupName, Account: c.account}
	err := c.dispatch(ctx, b, class, &o)
	o.Took = c.srv.Clock.Since(start)
	o.Code = result.CodeOf(err)
	if o.Kind != KindRead {
		o.Acked, c.acked = c.acked, session.Point{}
	}
	c.srv.Observe(o)
	if err != nil {
		return c.fail(err)
	}
	return nil
}

func (c *callerSession) dispatch(ctx context.Context, b *batch, class statementClass, o *Outcome) error {
	ctx, cancel := context.WithTimeout(ctx, c.srv.StatementWait)
	defer cancel()
	c.waiting(cancel)
	err := c.route(ctx, b, class, o)
	if c.waiting(nil) && err != nil && result.CodeOf(err).Family() == result.NotRun {
		return result.New(result.Cancelled, "the request was cancelled while it waited")
	}
	return err
}

func (c *callerSession) route(ctx context.Context, b *batch, class statementClass, o *Outcome) error {
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
		return c.read(ctx, b, o)
	}
	o.Kind = KindWrite
	return c.write(ctx, b)
}

// empty answers a request without statements.
func (c *callerSession) empty(b *batch) error {
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
		return c.fail(result.New(result.MessageInvalid, "unknown prepared statement"))
	}
	c.sendReady()
	return nil
}

// deliver passes a kept answer on to the caller.
func (c *callerSession) deliver(a *answer) error {
	if err := c.be.Flush(); err != nil {
		return errHangUp
	}
	if len(a.out) > 0 {
		if _, err := c.conn.Write(a.out); err != nil {
			return errHangUp
		}
	}
	c.sendReady()
	return nil
}

// lendPrimary waits for the primary and for a connection to it.
func (c *callerSession) lendPrimary(ctx context.Context) (*lease, error) {
	for {
		id, _, err := c.group.Primary(ctx)
		if err != nil {
			return nil, err
		}
		l, err := c.lend(ctx, id, core.ClassWrite)
		if err == nil {
			return l, nil
		}
		if result.CodeOf(err) != result.EndpointRefused || !c.pause(ctx) {
			return nil, err
		}
	}
}

// pause waits a moment before another attempt, if the retry budget allows it.
func (c *callerSession) pause(ctx context.Context) bool {
	const between = 20 * time.Millisecond
	if !c.srv.Retries.Take(c.srv.Clock.Now()) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.srv.Clock.After(between):
		return true
	}
}

// settled waits until what an answer shows can't be lost.
func (c *callerSession) settled(ctx context.Context, a *answer) core.Fate {
	ctx, cancel := context.WithTimeout(ctx, c.srv.AckWait)
	defer cancel()
	return c.group.WaitAcked(ctx, a.member, a.point)
}
