package replicaset

import (
	"sort"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// defaultLatency is assumed for a member that has not answered yet.
	defaultLatency = 5 * time.Millisecond
	// zonePenalty and regionPenalty are added to the cost of a read in another zone of the
	// region, or in another region: traffic between regions costs more than a short wait.
	zonePenalty   = 2 * time.Millisecond
	regionPenalty = 25 * time.Millisecond
	// behindPenalty is added to the cost of a member that recently lacked the position that
	// a read needs. It exceeds the expected wait at any other member.
	behindPenalty = 500 * time.Millisecond
	// A member that lacked a position is avoided for minBehindBackoff by reads that need
	// it. The time doubles up to maxBehindBackoff while the member still lacks it.
	minBehindBackoff = 60 * time.Millisecond
	maxBehindBackoff = 960 * time.Millisecond
	// unresponsiveAfter is the time without any answer after which a member counts as
	// unresponsive. A member that is merely slow still answers something within it.
	unresponsiveAfter = 400 * time.Millisecond
	// maxDrainTime is how long a draining member may get work that no other member can do.
	// The limit leaves a margin because the report of the drain may arrive late.
	maxDrainTime = 4 * time.Second
	// absentRetry is how long a member is not tried after another endpoint has answered at its
	// address.
	absentRetry = 5 * time.Second
	// busyTime is how long an overloaded member counts as busy, and busyPenalty the wait
	// expected there.
	busyTime    = 50 * time.Millisecond
	busyPenalty = 150 * time.Millisecond
	// maxOverloadGap is the longest time between two calls of RecordOverload that count
	// as one overload.
	maxOverloadGap = 250 * time.Millisecond
	// primaryPenalty steers reads away from the primary, the only member that can write.
	primaryPenalty = 8 * time.Millisecond
)

// Sample records the primary's log position from the answer to a request that was sent at
// sentAt, when the primary was known to lead.
func (s *Set) Sample(id EndpointID, sentAt Instant, p session.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != s.lead.ID || s.lead.Switching {
		return
	}
	s.setCoverPoints(sentAt, p)
	n := len(s.samples)
	if n > 0 && sentAt.Sub(s.samples[n-1].sentAt) < sampleSpacing {
		return
	}
	s.samples = append(s.samples, sample{sentAt, p})
	drop := 0
	for drop < len(s.samples) && sentAt.Sub(s.samples[drop].sentAt) > sampleRetention {
		drop++
	}
	s.samples = s.samples[drop:]
}

// RequiredPoint returns the log position that a read must include to be at most maxAge
// stale and to contain what its session has seen. It returns false if no sample is recent
// enough; then only the primary can serve the read.
func (s *Set) RequiredPoint(now Instant, maxAge time.Duration, seen session.Point) (session.Point, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.samples {
		if now.Sub(c.sentAt) <= maxAge {
			return s.dropEarlierTerm(seen, c.point).Max(c.point), true
		}
	}
	return session.Point{}, false
}

// dropEarlierTerm returns seen, or zero if seen is from a term before the current one and
// the sample is not: a position sampled after the promotion includes everything that was
// acknowledged before it, and the rest of the old log no longer exists.
func (s *Set) dropEarlierTerm(seen, sampled session.Point) session.Point {
	if seen.Term < s.lead.Term && sampled.Term >= s.lead.Term {
		return session.Point{}
	}
	return seen
}

// ReadOrder returns the members that may serve a read, the cheapest first: by expected
// wait, with penalties for other zones and for the primary. Members that failed recently,
// that lacked the needed position or that are draining come last; promising is the number
// of members before them.
func (s *Set) ReadOrder(now Instant, need session.Point, tried map[EndpointID]bool) (order []Member, promising int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type choice struct {
		m    Member
		cost time.Duration
	}
	var all []choice
	for id, m := range s.members {
		absent := m.absentAt != 0 && now.Sub(m.absentAt) < absentRetry
		if tried[id] || absent || m.Role == Unknown || s.excludedByDrain(now, m) {
			continue
		}
		all = append(all, choice{m.Member, s.cost(now, m, need)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].cost != all[j].cost {
			return all[i].cost < all[j].cost
		}
		return all[i].m.ID < all[j].m.ID
	})
	order = make([]Member, len(all))
	for i, c := range all {
		order[i] = c.m
		if c.cost < behindPenalty {
			promising = i + 1
		}
	}
	return order, promising
}

// excludedByDrain reports whether a draining member gets no new work: another member can do
// it, or the member has been draining for so long that it may shut down at any moment.
func (s *Set) excludedByDrain(now Instant, m *memberState) bool {
	if !m.Draining {
		return false
	}
	if now.Sub(m.drainingSince) > maxDrainTime {
		return true
	}
	for _, o := range s.members {
		if !o.Draining && o.removedAt == 0 && o.avoidUntil <= now {
			return true
		}
	}
	return false
}

// DrainExpired reports whether a member has been draining for too long to get any work.
func (s *Set) DrainExpired(now Instant, id EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	return ok && m.Draining && now.Sub(m.drainingSince) > maxDrainTime
}

// cost returns the expected wait of a read at a member, plus penalties.
func (s *Set) cost(now Instant, m *memberState, need session.Point) time.Duration {
	cost := s.decayedLatency(now, m)
	slots := max(m.Slots, 1)
	cost += cost * time.Duration(m.inFlight) / time.Duration(slots)
	cost += s.distancePenalty(m.Zone)
	if m.ID == s.lead.ID {
		cost += primaryPenalty
	} else if m.behindUntil > now && m.position.Less(need) && !need.Less(m.lackedPoint) {
		cost += behindPenalty
	}
	if m.Draining || m.removedAt != 0 {
		cost += time.Second
	}
	if m.busyUntil > now {
		cost += busyPenalty
	}
	if m.avoidUntil > now {
		cost += 2 * time.Second
	}
	return cost
}

// distancePenalty returns the penalty for reading in another zone.
func (s *Set) distancePenalty(zone string) time.Duration {
	if zone == s.Zone {
		return 0
	}
	if region, ok := s.Regions[zone]; ok && region == s.Regions[s.Zone] {
		return zonePenalty
	}
	return regionPenalty
}

// StatementNotSent records the end of a statement that was not sent, for example because
// others were already waiting for the member.
func (s *Set) StatementNotSent(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		m.inFlight = max(m.inFlight-1, 0)
		if m.inFlight == 0 {
			m.unansweredSince = 0
		}
		m.busyUntil = now.Add(busyTime)
	}
}

// RecordOverload records that a member has too much work, for example because it rejected
// a statement.
func (s *Set) RecordOverload(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		if now.Sub(m.overloadedAt) > maxOverloadGap {
			m.overloadedSince = now
		}
		m.overloadedAt = now
		m.busyUntil = now.Add(busyTime)
		s.reportWork(id)
	}
}

// OverloadedFor returns how long the primary has been overloaded, 0 if it is not.
func (s *Set) OverloadedFor(now Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[s.lead.ID]
	if !ok || m.overloadedAt == 0 || now.Sub(m.overloadedAt) > maxOverloadGap {
		return 0
	}
	return m.overloadedAt.Sub(m.overloadedSince)
}

// RecordBehind records that a member lacked the position that a read needs.
func (s *Set) RecordBehind(now Instant, id EndpointID, need session.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return
	}
	m.behindBackoff = min(max(2*m.behindBackoff, minBehindBackoff), maxBehindBackoff)
	m.lackedPoint, m.behindUntil = need, now.Add(m.behindBackoff)
}

// decayedLatency returns a member's average latency, halved for each latencyHalfLife since
// the last measurement until it is down to defaultLatency.
func (s *Set) decayedLatency(now Instant, m *memberState) time.Duration {
	if m.latency == 0 {
		return defaultLatency
	}
	age := now.Sub(m.latencyAt)
	d := m.latency
	for ; age > latencyHalfLife && d > defaultLatency; age -= latencyHalfLife {
		d /= 2
	}
	return max(d, time.Millisecond)
}

// StatementStarted records the start of a statement at a member.
func (s *Set) StatementStarted(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		if m.inFlight == 0 {
			m.unansweredSince = now
			s.reportWork(id)
		}
		m.inFlight++
	}
}

// StatementEnded records the end of a statement at a member and whether it was answered;
// if so, also its duration and the log position in the answer.
func (s *Set) StatementEnded(now Instant, id EndpointID, took time.Duration, answered bool, p session.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return
	}
	m.inFlight = max(m.inFlight-1, 0)
	if m.inFlight == 0 {
		m.unansweredSince = 0
	}
	if !answered {
		m.recordFailure(now)
		s.reportWork(id)
		return
	}
	s.noteAnswer(now, m)
	m.position = m.position.Max(p)
	if m.behindBackoff != 0 && !m.position.Less(m.lackedPoint) {
		m.behindBackoff, m.behindUntil = 0, 0
	}
	m.log.see(now, p.Term, p)
	if s.isElector(m) {
		s.cover(p)
		s.witnessPosition(now, m, p)
	}
	if m.latency == 0 {
		m.latency = took
	} else {
		m.latency += time.Duration(latencyWeight * float64(took-m.latency))
	}
	m.latencyAt = now
}

// RecordFailure records that a member failed or hung. It is tried last for avoidTime.
func (s *Set) RecordFailure(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		m.recordFailure(now)
		s.reportWork(id)
	}
}

func (m *memberState) recordFailure(now Instant) {
	m.avoidUntil = now.Add(avoidTime)
	if m.failingSince == 0 {
		m.failingSince = now
	}
}

// RecordAnswer records that a member answered a request other than a statement.
func (s *Set) RecordAnswer(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		s.noteAnswer(now, m)
	}
}

// Unresponsive reports whether a member is unknown or has answered nothing for
// unresponsiveAfter.
func (s *Set) Unresponsive(now Instant, id EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	return !ok || now.Sub(m.answeredAt) >= unresponsiveAfter
}

func (m *memberState) recordAnswer(now Instant) {
	m.avoidUntil, m.failingSince, m.answeredAt = 0, 0, now
	if m.unansweredSince != 0 {
		m.unansweredSince = now
	}
}

// Latency returns the expected duration of a statement at a member.
func (s *Set) Latency(now Instant, id EndpointID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return defaultLatency
	}
	return s.decayedLatency(now, m)
}
