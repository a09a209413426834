package replicaset

import (
	"maps"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// coveredRetention is how long a lost replica is remembered after its loss was covered. It
// may be cut off from the store only, and is asked before a promotion.
const coveredRetention = time.Minute

// silentRetry is how long a lost replica that did not answer is not asked again.
const silentRetry = time.Second

// incarnation identifies an endpoint between two restarts. A restart loses the endpoint's
// log.
type incarnation struct {
	id      EndpointID
	started int64
}

func (m Member) incarnation() incarnation { return incarnation{m.ID, m.Started} }

// loss is a set of commits that only the primary may hold: those whose other copy was on a
// replica that is gone.
type loss struct {
	since Instant
	// coverPoint is a position of the primary's log from after the loss, zero until one is
	// known. A replica that has reached it holds all of these commits.
	coverPoint session.Point
	// covered is set once a replica has reached coverPoint.
	covered bool
}

// lostReplica is a replica that is gone.
type lostReplica struct {
	Member
	loss
	// silentAt is when the replica was last asked and did not answer.
	silentAt Instant
}

// recordLoss records that an incarnation of a member is gone. It ignores the primary,
// members whose role is unknown, and replicas that another host has struck off the record.
func (s *Set) recordLoss(since Instant, m *memberState) {
	_, recorded := s.recorded[m.incarnation()]
	if m.ID == s.lead.ID || m.Role == Unknown || m.recorded && s.recordTrusted && !recorded {
		return
	}
	s.addLoss(m.Member, loss{since: since})
}

// addLoss adds a lost replica, unless it is known as lost already.
func (s *Set) addLoss(m Member, l loss) {
	if _, ok := s.lost[m.incarnation()]; ok {
		return
	}
	if s.lost == nil {
		s.lost = make(map[incarnation]*lostReplica)
	}
	s.lost[m.incarnation()] = &lostReplica{Member: m, loss: l}
	s.report(StateChanged)
}

// RecordWrongEndpoint records that another endpoint answered at a member's address. Addresses
// are used again, so the member does not run there any more, or never did.
func (s *Set) RecordWrongEndpoint(now Instant, m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.members[m.ID]
	if !ok || o.Member != m {
		return
	}
	o.absentAt = now
	if m.ID != s.lead.ID {
		s.addLoss(m, loss{since: now, covered: s.recorded[m.incarnation()].Covered})
	}
}

// Absent reports whether another endpoint has answered at a member's address at or after the
// given time.
func (s *Set) Absent(id EndpointID, since Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	return ok && m.absentAt != 0 && m.absentAt >= since
}

// noteAnswer records that a member answered a request.
func (s *Set) noteAnswer(now Instant, m *memberState) {
	m.recordAnswer(now)
	if m.absentAt != 0 {
		m.absentAt = 0
		delete(s.lost, m.incarnation())
	}
}

// dropLosses drops all losses after a promotion: the new primary holds all commits that were
// acknowledged before.
func (s *Set) dropLosses(now Instant) {
	s.lost = nil
	for _, m := range s.members {
		m.log = seenLog{}
	}
	s.findLosses(now, s.recorded)
	for _, l := range s.lost {
		l.covered = true
	}
}

// dropLossOf forgets that a member was lost, since it turned out to be the primary: a loss is that
// of a copy besides the primary's.
func (s *Set) dropLossOf(id EndpointID) {
	maps.DeleteFunc(s.lost, func(i incarnation, _ *lostReplica) bool { return i.id == id })
}

// PresumedPrimary returns the member that led last, provided that all registered members report that
// they do not lead: the only recorded one that is gone, other than lost replicas that are covered. It
// is "" if none is gone, so that one of the registered members led. ok is false if no trusted record
// tells, or if it leaves more than one.
func (s *Set) PresumedPrimary() (gone EndpointID, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.recordTrusted {
		return "", false
	}
	for i, r := range s.recorded {
		l, lost := s.lost[i]
		switch {
		case !lost || r.Covered || l.covered:
		case gone != "":
			return "", false
		default:
			gone = i.id
		}
	}
	return gone, true
}

// sample sets p, a position of the primary's log from the answer to a request sent at sentAt,
// as the cover point if there is none.
func (l *loss) sample(sentAt Instant, p session.Point) {
	if l.coverPoint == (session.Point{}) && l.since != 0 && sentAt > l.since {
		l.coverPoint = p
	}
}

// reach notes that a replica is at position p.
func (l *loss) reach(p session.Point) {
	l.covered = l.covered || l.coverPoint != (session.Point{}) && !p.Less(l.coverPoint)
}

// setCoverPoints notes a position of the primary's log for all losses.
func (s *Set) setCoverPoints(sentAt Instant, p session.Point) {
	s.earlier.sample(sentAt, p)
	for _, l := range s.lost {
		l.sample(sentAt, p)
	}
}

// cover notes the position of an elector for all losses.
func (s *Set) cover(p session.Point) {
	if s.lead.Term == 0 || p.Term == s.lead.Term {
		s.replicatedPoint = s.replicatedPoint.Max(p)
	}
	s.earlier.reach(p)
	for _, l := range s.lost {
		l.reach(p)
	}
}

// isElector reports whether every host that replaces the primary asks a member for its position:
// the member is a registered replica, and the membership record names it if there is a trusted one.
// A host that has not heard of the registration finds the member in the record.
func (s *Set) isElector(m *memberState) bool {
	if m.log.lost {
		return false
	}
	if s.recordTrusted {
		return s.isWitness(m)
	}
	return m.ID != s.lead.ID && m.removedAt == 0
}

// RecordReport records what a replica's report tells about lost commits.
func (s *Set) RecordReport(id EndpointID, st Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok && s.isElector(m) && st.Role == Replica && (s.lead.Term == 0 || st.Term == s.lead.Term) {
		s.cover(st.Received)
	}
}

// MissingReplicas returns the number of lost replicas that may have held the only copy of an
// acknowledged commit besides the primary's. A host that cannot know whether replicas were
// lost before it started counts these as one.
func (s *Set) MissingReplicas() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	if !s.earlier.covered {
		n++
	}
	for _, l := range s.lost {
		if !l.covered {
			n++
		}
	}
	return n
}

// Complete reports whether this host can know of all lost replicas, also of those that were
// lost before it started.
func (s *Set) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.earlier.covered
}

// LostReplicas returns the lost replicas that may still run, cut off from the store: those
// that have not left it to another incarnation, and did not fail to answer just now.
func (s *Set) LostReplicas(now Instant) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Member
	for _, l := range s.lost {
		_, registered := s.members[l.ID]
		silent := l.silentAt != 0 && now.Sub(l.silentAt) < silentRetry
		if !registered && !silent && l.ID != s.lead.ID && l.Address != "" {
			all = append(all, l.Member)
		}
	}
	return all
}

// RecordSilence records that a lost replica was asked and did not answer.
func (s *Set) RecordSilence(now Instant, m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.lost[m.incarnation()]; ok {
		l.silentAt = now
	}
}

// Replicated reports whether a replica that each promotion asks is known to have the primary's log
// up to p. The replica that the primary waited for may be one that no host knows of.
func (s *Set) Replicated(p session.Point) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicated(p)
}

// replicated reports whether an elector has reported p or a later position of the same term. One of
// a later term may lack p.
func (s *Set) replicated(p session.Point) bool {
	return p == session.Point{} || p.Term == s.replicatedPoint.Term && !s.replicatedPoint.Less(p)
}

// AwaitsReplica reports whether a commit up to p that the host with the connection has confirmed
// must not be acknowledged before this host knows a replica that has it: that host may not have
// heard of a switch or a lapse. From Expire on this host acknowledges none without, so that losses
// are covered by later positions. blind is set if this host may not have heard of them either.
func (s *Set) AwaitsReplica(p session.Point, blind bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicated(p) {
		return false
	}
	if s.lead.Switching || blind {
		return true
	}
	for _, l := range s.lost {
		if _, registered := s.members[l.ID]; !registered && l.ID != s.lead.ID {
			return true
		}
	}
	for _, m := range s.members {
		if m.removedAt != 0 && m.ID != s.lead.ID {
			return true
		}
	}
	return false
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
