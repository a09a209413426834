package engine

import (
	"context"
	"errors"
	"fmt"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// Control asks an endpoint something for the engine's own sake, over an idle
// connection or else over a new one beside the pool.
func (e *Engine) Control(ctx context.Context, m replicaset.Member, op Op) (replicaset.Status, error) {
	g := e.group(m.Group)
	p := e.pool(g, m)
	c, release, err := e.controlConn(ctx, p)
	if err != nil {
		return replicaset.Status{}, fmt.Errorf("connect to endpoint %s: %w", m.ID, err)
	}
	defer release()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = e.Now().Add(proofTimeout)
	}
	out, err := c.Run(Call{Until: deadline, Deadline: deadline, Class: classOpen, AnyState: true, Ops: []Op{op}})
	if err != nil {
		return replicaset.Status{}, fmt.Errorf("control of endpoint %s: %w", m.ID, err)
	}
	g.Answered(e.Boot(), m.ID)
	if o := out[0]; o.Code != Done {
		return replicaset.Status{}, fmt.Errorf("endpoint %s answers %s: %s", m.ID, o.Code, o.Reason)
	}
	return out[0].Report, nil
}

// controlConn prefers a connection that stands: an endpoint whose connections
// are all taken would refuse another one.
func (e *Engine) controlConn(ctx context.Context, p *pool) (*Conn, func(), error) {
	p.mu.Lock()
	idle := p.takeIdle(nil)
	p.mu.Unlock()
	if idle != nil {
		return idle, func() { p.release(idle) }, nil
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = e.Now().Add(proofTimeout)
	}
	c, err := e.acquire(p, deadline, classWrite, nil)
	if err == nil {
		return c, func() { p.release(c) }, nil
	}
	if errors.Is(err, errFull) || errors.Is(err, errNoConnection) {
		return nil, nil, err
	}
	c, err = e.Dial(ctx, p.member)
	if err != nil {
		return nil, nil, err
	}
	return c, c.Close, nil
}
