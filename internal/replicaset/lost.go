package replicaset

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// lostTime is how long a replica that is gone forbids promotions at most. It is
// longer than an endpoint takes to come back.
const lostTime = 12 * time.Second

// incarnation is one life of an endpoint: a later one has nothing of its log.
type incarnation struct {
	id      EndpointID
	started int64
}

// loss is a replica that is gone and may have held the only other copy of an
// acknowledged commit.
type loss struct {
	since Instant
	// needs is a position of the primary from after the loss, zero while none
	// is known. Once another replica has it, that one holds whatever the lost
	// one held, and all later commits are acknowledged without the lost one.
	needs session.Point
}

// lose notes that an incarnation of a member is gone.
func (s *Set) lose(now Instant, m Member) {
	if m.ID == s.lead.ID || m.Role == Unknown {
		return
	}
	if s.lost == nil {
		s.lost = make(map[incarnation]loss)
	}
	s.lost[incarnation{m.ID, m.Started}] = loss{since: now}
}

// back notes that an incarnation lives after all.
func (s *Set) back(m Member) { delete(s.lost, incarnation{m.ID, m.Started}) }

// primaryAt takes a position of the primary for losses from before it.
func (s *Set) primaryAt(sentAt Instant, p session.Point) {
	for i, l := range s.lost {
		if l.needs == (session.Point{}) && sentAt > l.since {
			l.needs = p
			s.lost[i] = l
		}
	}
}

// replicaAt takes a position of a replica and forgets the losses it makes up for.
func (s *Set) replicaAt(p session.Point) {
	for i, l := range s.lost {
		if l.needs != (session.Point{}) && !p.Less(l.needs) {
			delete(s.lost, i)
		}
	}
}

// Missing counts the replicas that are gone and may have held the only other
// copy of an acknowledged commit.
func (s *Set) Missing(now Instant) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.lost {
		if now.Sub(l.since) < lostTime {
			n++
		}
	}
	return n
}

// Acknowledge notes a position up to which this host acknowledged commits.
func (s *Set) Acknowledge(p session.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = s.acked.Max(p)
}

// Acknowledged returns the highest position that Acknowledge was told.
func (s *Set) Acknowledged() session.Point {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked
}
