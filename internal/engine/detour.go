package engine

import (
	"context"
	"errors"
	"time"
)

const (
	// detourProbeInterval is the delay between dials of an endpoint that this
	// host cannot reach.
	detourProbeInterval = 400 * time.Millisecond
	// detourBackoff is how long no detour is tried after one that failed.
	detourBackoff = 700 * time.Millisecond
)

// acquireDirect returns a connection of this host, or one that another host
// lends because this host cannot reach the endpoint.
func (e *Engine) acquireDirect(p *pool, deadline time.Time, need connNeed) (*Conn, error) {
	if p.markedUnreachable() {
		if c := e.detour(p); c != nil {
			return c, nil
		}
	}
	c, err := p.acquire(deadline, need)
	if err == nil || !isUnreachable(err) || e.Detours == nil {
		return c, err
	}
	err = e.noteUnreachable(p, err)
	if c := e.detour(p); c != nil {
		return c, nil
	}
	return nil, err
}

// noteUnreachable marks the endpoint as unreachable and dials it in the
// background until it can be reached. Errors with another cause are returned as
// they are.
func (e *Engine) noteUnreachable(p *pool, err error) error {
	if !isUnreachable(err) {
		return err
	}
	if p.markUnreachable() {
		e.spawn("probe endpoint", func() { e.probeUntilReachable(p) })
	}
	return errors.Join(ErrEndpointUnreachable, err)
}

// isUnreachable reports whether err means that there is no network path to the
// endpoint. An endpoint that refused a connection or has none left was reached.
func isUnreachable(err error) bool {
	var refused *DialError
	return !errors.As(err, &refused) && !errors.Is(err, errFull) && !errors.Is(err, errNoConnection) &&
		!errors.Is(err, errNoProof) && !errors.Is(err, errNoPosition) && !errors.Is(err, errOverloaded)
}

// detour returns a connection that goes through other hosts, or nil if there is
// none or one failed within detourBackoff.
func (e *Engine) detour(p *pool) *Conn {
	if e.Detours == nil || !p.detourAllowed() {
		return nil
	}
	addresses := e.Detours(p.member)
	if len(addresses) == 0 {
		return nil
	}
	return e.borrowConn(p, addresses, true)
}

// probeUntilReachable dials the endpoint until it can be reached or its pool is
// closed.
func (e *Engine) probeUntilReachable(p *pool) {
	e.emit(Event{Group: p.member.Group, Endpoint: p.member.ID, Decision: "detour_begun"})
	for {
		time.Sleep(detourProbeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		c, err := p.dial(ctx, p.member, noAccount)
		cancel()
		if err == nil {
			c.Close()
		}
		if p.clearUnreachable(err == nil || !isUnreachable(err)) {
			e.emit(Event{Group: p.member.Group, Endpoint: p.member.ID, Decision: "detour_ended"})
			return
		}
	}
}

func (p *pool) markedUnreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreachable
}

// markUnreachable marks the endpoint as unreachable. It returns true if it was
// not marked before and the pool is not closed.
func (p *pool) markUnreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.unreachable && !p.closed
	p.unreachable = true
	return first
}

// clearUnreachable removes the mark if the endpoint was reached or the pool is
// closed, and reports whether it did.
func (p *pool) clearUnreachable(reached bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reached || p.closed {
		p.unreachable = false
		return true
	}
	return false
}

func (p *pool) detourAllowed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().After(p.detourBackoffUntil)
}

func (p *pool) suspendDetours() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detourBackoffUntil = p.now().Add(detourBackoff)
}
