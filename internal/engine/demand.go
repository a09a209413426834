package engine

import (
	"sync"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// demand counts the sessions of clients by group. Links to the lenders of a group are
// opened ahead only while there are any.
type demand struct {
	mu       sync.Mutex
	sessions map[session.Group]int
}

// has reports whether a group has clients.
func (d *demand) has(g session.Group) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sessions[g] > 0
}

// add adds n to the number of sessions of a group and returns the sum.
func (d *demand) add(g session.Group, n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions == nil {
		d.sessions = make(map[session.Group]int)
	}
	sum := d.sessions[g] + n
	d.sessions[g] = sum
	if sum == 0 {
		delete(d.sessions, g)
	}
	return sum
}

// attend counts the session as a client of a group, and no more as one of another.
// An empty name ends that.
func (s *CallerSession) attend(name session.Group) {
	if name == s.attended {
		return
	}
	if s.attended != "" {
		s.e.demand.add(s.attended, -1)
	}
	s.attended = name
	if name == "" || s.e.demand.add(name, 1) > 1 {
		return
	}
	s.e.mu.Lock()
	g := s.e.groups[name]
	s.e.mu.Unlock()
	if g != nil {
		s.e.upkeep.Add(g)
		s.e.spawn("links to lenders", func() { s.e.openLinks(g) })
	}
}

// openLinks opens the links to the lenders of a group for its first client, so that
// they are open when it sends its first statement.
func (e *Engine) openLinks(g *group) {
	if e.Lenders == nil {
		return
	}
	limit := g.maxConnections()
	for _, m := range g.Members() {
		if !e.holds(m, limit) {
			e.preconnect(m, limit)
		}
	}
}
