package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Control sends a control request to an endpoint, over a pooled connection if
// possible and otherwise over a new one outside the pool. If another host holds
// the connections and does not answer within half of the time, the endpoint is
// dialed directly: that host may be cut off while the endpoint is not.
func (e *Engine) Control(ctx context.Context, m replicaset.Member, op Op) (replicaset.Status, error) {
	g := e.group(m.Group)
	p := e.pool(g, m)
	c, release, err := e.controlConn(ctx, p)
	if err != nil {
		return replicaset.Status{}, fmt.Errorf("connect to endpoint %s: %w", m.ID, err)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = e.Now().Add(proofTimeout)
	}
	if c.RunRemote == nil {
		defer release()
		return e.controlOver(g, m, c, deadline, op)
	}
	half := e.Now().Add(deadline.Sub(e.Now()) / 2)
	st, err := e.controlOver(g, m, c, half, op)
	release()
	if err == nil || errors.Is(err, errControlRefused) {
		return st, err
	}
	direct, dialErr := e.dialMember(ctx, m, noAccount)
	if dialErr != nil {
		return replicaset.Status{}, errors.Join(err, dialErr)
	}
	defer direct.Close()
	return e.controlOver(g, m, direct, deadline, op)
}

// errControlRefused reports that the endpoint answered with a refusal.
var errControlRefused = errors.New("control request refused")

// errNoReport reports that an endpoint's answer to a control request has no readable status.
var errNoReport = errors.New("the answer has no readable status")

// Refused reports whether a control request failed although the endpoint runs: it has no
// connection left, is too busy, or answered something unreadable or in another order.
func Refused(err error) bool {
	var refused *DialError
	return errors.As(err, &refused) && refused.Code != WrongEndpoint || errors.Is(err, errControlRefused) || errors.Is(err, errNoReport) || errors.Is(err, ErrOutOfStep)
}

// dialMember opens a connection to an endpoint for an account, and records whether another
// endpoint answers at its address.
func (e *Engine) dialMember(ctx context.Context, m replicaset.Member, a session.Account) (*Conn, error) {
	c, err := e.Dial(ctx, m, a)
	var refused *DialError
	if errors.As(err, &refused) && refused.Code == WrongEndpoint {
		e.group(m.Group).RecordWrongEndpoint(e.BootTime(), m)
	}
	return c, err
}

// controlOver sends a control request over the given connection.
func (e *Engine) controlOver(g *group, m replicaset.Member, c *Conn, deadline time.Time, op Op) (replicaset.Status, error) {
	sentAt := e.BootTime()
	out, err := c.Run(Call{QueueDeadline: deadline, Deadline: deadline, Class: classInTransaction, AnyState: true, Ops: []Op{op}})
	if err != nil {
		return replicaset.Status{}, fmt.Errorf("control of endpoint %s: %w", m.ID, err)
	}
	g.RecordAnswer(e.BootTime(), m.ID)
	if o := out[0]; o.Code != Done {
		return replicaset.Status{}, fmt.Errorf("%w: endpoint %s answers %s: %s", errControlRefused, m.ID, o.Code, o.Reason)
	}
	if out[0].Report.Role == replicaset.Unknown {
		return replicaset.Status{}, fmt.Errorf("control of endpoint %s: %w", m.ID, errNoReport)
	}
	if g.CheckLog(m.ID, out[0].Report, sentAt, e.BootTime()) {
		e.emit(Event{Group: m.Group, Endpoint: m.ID, Decision: "log_lost", Reason: out[0].Report.String()})
	}
	g.RecordReport(m.ID, out[0].Report)
	g.RecordRole(e.BootTime(), m.ID, out[0].Report.Role)
	g.RecordWord(m.ID, out[0].Report, sentAt, e.BootTime())
	if op.Kind == OpStatus {
		e.checkPause(g, m, out[0].Report)
	}
	return out[0].Report, nil
}

// ControlDirect sends a control request over a new connection of this host. The endpoint
// need not be a member of its group.
func (e *Engine) ControlDirect(ctx context.Context, m replicaset.Member, op Op) (replicaset.Status, error) {
	c, err := e.dialMember(ctx, m, noAccount)
	if err != nil {
		return replicaset.Status{}, fmt.Errorf("connect to endpoint %s: %w", m.ID, err)
	}
	defer c.Close()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = e.Now().Add(proofTimeout)
	}
	return e.controlOver(e.group(m.Group), m, c, deadline, op)
}

// RefreshPosition obtains a recent log position of a group's primary, and a proof that it
// leads, if they can be had.
func (e *Engine) RefreshPosition(name session.Group) {
	<-e.startRefresh(e.group(name)).done
}

// controlConn returns a connection for a control request, and a function that
// releases it. It prefers a connection that is open already, of whichever account,
// because an endpoint whose connections are all in use would refuse a new one.
func (e *Engine) controlConn(ctx context.Context, p *pool) (*Conn, func(), error) {
	p.mu.Lock()
	idle := p.takeAnyIdle()
	p.mu.Unlock()
	if idle != nil {
		return idle, func() { p.release(idle) }, nil
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = e.Now().Add(proofTimeout)
	}
	c, err := e.acquireConn(p, deadline, connNeed{class: classWrite})
	if err == nil {
		return c, func() { p.release(c) }, nil
	}
	if errors.Is(err, errFull) || errors.Is(err, errNoConnection) {
		return nil, nil, err
	}
	c, err = e.dialMember(ctx, p.member, noAccount)
	if err != nil {
		return nil, nil, err
	}
	return c, c.Close, nil
}
