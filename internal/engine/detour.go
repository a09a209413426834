package engine

import (
	"context"
	"errors"
	"time"
)

const (
	// detourProbe is how often an endpoint that this host does not reach is
	// dialled again.
	detourProbe = 400 * time.Millisecond
	// detourRest is how long no detour is tried after one that failed.
	detourRest = 700 * time.Millisecond
)

// direct returns a connection of this host, or one that another host lends
// because this one does not reach the endpoint.
func (e *Engine) direct(p *pool, deadline time.Time, class int, values map[string]string) (*Conn, error) {
	if p.cutOff() {
		if c := e.detour(p); c != nil {
			return c, nil
		}
	}
	c, err := p.own(deadline, class, values)
	if err == nil || !unreachable(err) || e.Detours == nil {
		return c, err
	}
	err = e.noteCut(p, err)
	if c := e.detour(p); c != nil {
		return c, nil
	}
	return nil, err
}

// noteCut notes an endpoint that could not be reached, and looks for a path again
// until one is found. Other errors are returned as they are.
func (e *Engine) noteCut(p *pool, err error) error {
	if !unreachable(err) {
		return err
	}
	if p.cut() {
		e.start("path", func() { e.awaitPath(p) })
	}
	return errors.Join(ErrUnreached, err)
}

// unreachable reports whether no path to the endpoint was found; an endpoint
// that refuses or that has no connection left was reached.
func unreachable(err error) bool {
	var refused *DialError
	return !errors.As(err, &refused) && !errors.Is(err, errFull) && !errors.Is(err, errNoConnection) &&
		!errors.Is(err, errNoProof) && !errors.Is(err, errNoPosition) && !errors.Is(err, errOverloaded)
}

// detour returns a connection that goes through other hosts, nil where there is
// none or none helped a moment ago.
func (e *Engine) detour(p *pool) *Conn {
	if e.Detours == nil || !p.mayDetour() {
		return nil
	}
	addresses := e.Detours(p.member)
	if len(addresses) == 0 {
		return nil
	}
	return e.borrow(p, addresses, true)
}

// awaitPath dials until the endpoint is reached again or is gone.
func (e *Engine) awaitPath(p *pool) {
	e.event(Event{Group: p.member.Group, Endpoint: p.member.ID, Decision: "detour_begun"})
	for {
		time.Sleep(detourProbe)
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		c, err := p.dial(ctx, p.member)
		cancel()
		if err == nil {
			c.Close()
		}
		if p.uncut(err == nil || !unreachable(err)) {
			e.event(Event{Group: p.member.Group, Endpoint: p.member.ID, Decision: "detour_ended"})
			return
		}
	}
}

func (p *pool) cutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCut
}

// cut notes that the endpoint is not reached; it reports true the first time.
func (p *pool) cut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.isCut && !p.closed
	p.isCut = true
	return first
}

// uncut ends a detour if the endpoint is reached again or the pool is closed.
func (p *pool) uncut(reached bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reached || p.closed {
		p.isCut = false
		return true
	}
	return false
}

func (p *pool) mayDetour() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().After(p.noDetourUntil)
}

func (p *pool) noDetour() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noDetourUntil = p.now().Add(detourRest)
}
