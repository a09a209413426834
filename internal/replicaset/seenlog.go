package replicaset

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// seenLogInterval is the time between two updates of what a report is compared with.
const seenLogInterval = time.Second

// seenLog is how much of the log of an incarnation a host has seen. An endpoint may start again under its
// ID with nothing, and reach hosts before the store tells of the new incarnation. Within one term a
// log only grows, so that a report of less, or of an earlier term, shows that it was lost. A host that
// has not seen anything of the log can't notice that.
type seenLog struct {
	// term is the term of point, which is the highest position seen.
	term  session.Term
	point session.Point
	// heldTerm and heldPoint are the same as of heldAt. Requests sent since have later answers.
	heldTerm  session.Term
	heldPoint session.Point
	heldAt    Instant
	// lost is set once a report has shown that the log was lost.
	lost bool
}

// see notes a position of the log in a term.
func (l *seenLog) see(now Instant, t session.Term, p session.Point) {
	switch {
	case t > l.term:
		l.term, l.point = t, p
	case t == l.term:
		l.point = l.point.Max(p)
	}
	if l.heldAt == 0 || now.Sub(l.heldAt) >= seenLogInterval {
		l.heldTerm, l.heldPoint, l.heldAt = l.term, l.point, now
	}
}

// contradicts reports whether a report, requested at sentAt, shows less than what was seen before. What
// is from an earlier term may have been rolled back since.
func (l *seenLog) contradicts(sentAt Instant, st Status) bool {
	if l.heldAt == 0 || sentAt < l.heldAt {
		return false
	}
	return st.Term < l.heldTerm || st.Term == l.heldPoint.Term && st.Received.Less(l.heldPoint)
}

// CheckLog records a member's report, requested at sentAt and answered at now. If it shows that the
// member has lost its log, the member counts as a lost replica, and backs no commit until it has
// registered as a new incarnation or another primary leads. It reports whether that has just been found.
func (s *Set) CheckLog(id EndpointID, st Status, sentAt, now Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return false
	}
	found := !m.log.lost && st.Role == Replica && m.log.contradicts(sentAt, st)
	if found {
		m.log.lost = true
		s.recordLoss(now, m)
	}
	if !m.log.lost {
		m.log.see(now, st.Term, st.Received)
	}
	return found
}
