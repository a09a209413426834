package replicaset

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// lossBlockTime is how long a lost replica blocks promotions at most. It is longer than an
// endpoint takes to restart.
const lossBlockTime = 12 * time.Second

// incarnation identifies an endpoint between two restarts. A restart loses the endpoint's
// log.
type incarnation struct {
	id      EndpointID
	started int64
}

// lostReplica is a replica that is gone and may have held the only copy of an acknowledged
// commit besides the primary's.
type lostReplica struct {
	since Instant
	// coverPoint is a position of the primary's log from after the loss, zero until one is
	// known. A replica that has reached it holds everything that the lost one held, and all
	// later commits are acknowledged without the lost one.
	coverPoint session.Point
}

// recordLoss records that an incarnation of a member is gone. It ignores the primary and
// members whose role is unknown.
func (s *Set) recordLoss(now Instant, m Member) {
	if m.ID == s.lead.ID || m.Role == Unknown {
		return
	}
	if s.lost == nil {
		s.lost = make(map[incarnation]lostReplica)
	}
	s.lost[incarnation{m.ID, m.Started}] = lostReplica{since: now}
}

// clearLoss removes the loss of an incarnation that has registered again.
func (s *Set) clearLoss(m Member) { delete(s.lost, incarnation{m.ID, m.Started}) }

// setCoverPoints sets p, a position of the primary's log from the answer to a request sent
// at sentAt, as the cover point of all earlier losses that have none.
func (s *Set) setCoverPoints(sentAt Instant, p session.Point) {
	for i, l := range s.lost {
		if l.coverPoint == (session.Point{}) && sentAt > l.since {
			l.coverPoint = p
			s.lost[i] = l
		}
	}
}

// clearCoveredLosses removes the losses whose cover point a replica at position p has
// reached.
func (s *Set) clearCoveredLosses(p session.Point) {
	for i, l := range s.lost {
		if l.coverPoint != (session.Point{}) && !p.Less(l.coverPoint) {
			delete(s.lost, i)
		}
	}
}

// MissingReplicas returns the number of replicas lost within lossBlockTime that may have
// held the only copy of an acknowledged commit besides the primary's.
func (s *Set) MissingReplicas(now Instant) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.lost {
		if now.Sub(l.since) < lossBlockTime {
			n++
		}
	}
	return n
}

// Acknowledge records that this host has acknowledged commits up to p.
func (s *Set) Acknowledge(p session.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ackedPoint = s.ackedPoint.Max(p)
}

// Acknowledged returns the highest position passed to Acknowledge.
func (s *Set) Acknowledged() session.Point {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ackedPoint
}
