package engine

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// maxLenders bounds how many hosts are asked for a connection.
const maxLenders = 3

// ErrLenderAway says that another host could not be asked for a connection.
var ErrLenderAway = errors.New("lending host is away")

// ErrFull says that no connection to an endpoint is to be had.
var ErrFull = errFull

// Lend takes a connection for another host, and returns how to give it back.
func (e *Engine) Lend(name session.Group, id replicaset.EndpointID, deadline time.Time, class int, values map[string]string) (*Conn, func(*Conn), error) {
	g := e.group(name)
	m, ok := g.Member(id)
	if !ok {
		return nil, nil, &DialError{Code: WrongEndpoint}
	}
	p := e.pool(g, m)
	c, err := p.own(deadline, class, values)
	return c, p.release, err
}

// Break marks a connection as one that must not be used again.
func (c *Conn) Break() { c.broken = true }

// Broken reports whether the connection must not be used again.
func (c *Conn) Broken() bool { return c.broken }

// SessionState returns what the connection carries of a session.
func (c *Conn) SessionState() (values map[string]string, prepared map[Shape]string) {
	return maps.Clone(c.values), maps.Clone(c.prepared)
}

// SetSessionState notes what the connection carries of a session.
func (c *Conn) SetSessionState(values map[string]string, prepared map[Shape]string) {
	c.values, c.prepared = values, prepared
}

// acquire returns a connection of this host or a borrowed one.
func (e *Engine) acquire(p *pool, deadline time.Time, class int, values map[string]string) (*Conn, error) {
	if e.Lenders == nil {
		return p.own(deadline, class, values)
	}
	lenders, holders := e.Lenders(p.member, p.maxConnections())
	if holders > 0 {
		p.shareWith(holders, slices.Contains(lenders[:holders], ""))
	} else {
		return e.direct(p, deadline, class, values)
	}
	for i, address := range lenders {
		if address == "" {
			return p.own(deadline, class, values)
		}
		if i == maxLenders {
			break
		}
		c, err := e.Borrow(deadline, address, p.member, class, values)
		if !errors.Is(err, ErrLenderAway) {
			return c, err
		}
		e.event(Event{Group: p.member.Group, Endpoint: p.member.ID, Decision: "lender_away", Reason: err.Error()})
	}
	return nil, errFull
}

// reshare takes a change of the holders up without waiting for a statement.
func (e *Engine) reshare(p *pool) {
	if e.Lenders == nil {
		return
	}
	if lenders, holders := e.Lenders(p.member, p.maxConnections()); holders > 0 {
		p.shareWith(holders, slices.Contains(lenders[:holders], ""))
	}
}

func (p *pool) maxConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpointLimit
}

// shareWith sets the share of a host that holds an endpoint's connections
// together with others. One that holds none gives back those that it opened
// before it knew.
func (p *pool) shareWith(holders int, mine bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !mine {
		p.share, p.limit = 0, 1
		return
	}
	p.share = max(p.endpointLimit/holders, 1)
	p.limit = p.share
}
