package replicaset

import (
	"sort"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// defaultLatency stands for a member that has not answered yet.
	defaultLatency = 5 * time.Millisecond
	// zonePenalty and regionPenalty are what a read in another zone of the
	// region, or in another region, is held to cost beside its time: bytes that
	// leave a region are dearer than a short wait.
	zonePenalty   = 2 * time.Millisecond
	regionPenalty = 25 * time.Millisecond
	// behindPenalty is what a member is held to cost that lacked what a read
	// needs a moment ago: more than the wait at any other member.
	behindPenalty = 500 * time.Millisecond
	// behindFirst is how long a member that lacked a position is passed over for
	// reads that need it, doubled up to behindLast while it goes on to lack it.
	behindFirst = 60 * time.Millisecond
	behindLast  = 960 * time.Millisecond
	// silentAfter is how long a busy member leaves nothing unanswered while it
	// is merely slow.
	silentAfter = 400 * time.Millisecond
	// drainLimit is how long a leaving member may get work if nobody else can
	// do it. Its report may have been on the way for a while.
	drainLimit = 4 * time.Second
	// busyFor is how long a member that refused work as too much is held to be
	// busy, and busyPenalty the wait that is expected there.
	busyFor     = 50 * time.Millisecond
	busyPenalty = 150 * time.Millisecond
	// pressedGap is the longest pause between two refusals that are held to be of
	// one overload.
	pressedGap = 250 * time.Millisecond
	// primaryPenalty keeps reads away from the primary, which alone can write.
	primaryPenalty = 8 * time.Millisecond
)

// Sample notes the primary's log position in an answer to something that was
// sent at the given moment, at which the primary was known to lead.
func (s *Set) Sample(id EndpointID, sentAt Instant, p session.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != s.lead.ID || s.lead.Switching {
		return
	}
	s.primaryAt(sentAt, p)
	n := len(s.samples)
	if n > 0 && sentAt.Sub(s.samples[n-1].sentAt) < sampleSpacing {
		return
	}
	s.samples = append(s.samples, sample{sentAt, p})
	drop := 0
	for drop < len(s.samples) && sentAt.Sub(s.samples[drop].sentAt) > sampleKeep {
		drop++
	}
	s.samples = s.samples[drop:]
}

// Need returns the log position that a read must include to be at most maxAge
// old and to hold what its session has seen. It reports false when no sample is
// young enough: only the primary can serve the read then.
func (s *Set) Need(now Instant, maxAge time.Duration, seen session.Point) (session.Point, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.samples {
		if now.Sub(c.sentAt) <= maxAge {
			return s.current(seen, c.point).Max(c.point), true
		}
	}
	return session.Point{}, false
}

// current replaces a position of an earlier term: what was acknowledged before
// the promotion is in every position sampled after it, and the rest no longer
// exists.
func (s *Set) current(seen, sampled session.Point) session.Point {
	if seen.Term < s.lead.Term && sampled.Term >= s.lead.Term {
		return session.Point{}
	}
	return seen
}

// ReadOrder returns the members that may serve a read, the best first: by
// expected wait, with a penalty for other zones and for the primary. Members
// that broke lately, that lacked what the read needs, or that drain come last;
// promising is the number of the others.
func (s *Set) ReadOrder(now Instant, need session.Point, tried map[EndpointID]bool) (order []Member, promising int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type choice struct {
		m    Member
		cost time.Duration
	}
	var all []choice
	for id, m := range s.members {
		if tried[id] || m.Role == Unknown || s.leaving(now, m) {
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

// leaving reports whether a member may get no new work: it leaves, and others
// stay, or it has been leaving for so long that it may be gone any moment.
func (s *Set) leaving(now Instant, m *state) bool {
	if !m.Draining {
		return false
	}
	if now.Sub(m.drainingSince) > drainLimit {
		return true
	}
	for _, o := range s.members {
		if !o.Draining && o.removedAt == 0 && o.avoidUntil <= now {
			return true
		}
	}
	return false
}

// Leaving reports whether a member has been leaving for too long to get work.
func (s *Set) Leaving(now Instant, id EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	return ok && m.Draining && now.Sub(m.drainingSince) > drainLimit
}

func (s *Set) cost(now Instant, m *state, need session.Point) time.Duration {
	cost := s.decayed(now, m)
	slots := max(m.Slots, 1)
	cost += cost * time.Duration(m.inFlight) / time.Duration(slots)
	cost += s.distance(m.Zone)
	if m.ID == s.lead.ID {
		cost += primaryPenalty
	} else if m.behindUntil > now && m.position.Less(need) && !need.Less(m.behind) {
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

// distance is the penalty for a member's zone.
func (s *Set) distance(zone string) time.Duration {
	if zone == s.Zone {
		return 0
	}
	if region, ok := s.Regions[zone]; ok && region == s.Regions[s.Zone] {
		return zonePenalty
	}
	return regionPenalty
}

// Skipped notes the end of a statement that was not sent, because others wait
// for the member already.
func (s *Set) Skipped(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		m.inFlight = max(m.inFlight-1, 0)
		if m.inFlight == 0 {
			m.waitingSince = 0
		}
		m.busyUntil = now.Add(busyFor)
	}
}

// Overloaded notes that a member refused a statement because it has too many.
func (s *Set) Overloaded(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		if now.Sub(m.pressedAt) > pressedGap {
			m.pressedFrom = now
		}
		m.pressedAt = now
		m.busyUntil = now.Add(busyFor)
	}
}

// Pressed returns for how long the primary has had more work than it can do.
func (s *Set) Pressed(now Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[s.lead.ID]
	if !ok || m.pressedAt == 0 || now.Sub(m.pressedAt) > pressedGap {
		return 0
	}
	return m.pressedAt.Sub(m.pressedFrom)
}

// Behind notes that a member lacked a position that a read needs.
func (s *Set) Behind(now Instant, id EndpointID, need session.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return
	}
	m.behindFor = min(max(2*m.behindFor, behindFirst), behindLast)
	m.behind, m.behindUntil = need, now.Add(m.behindFor)
}

func (s *Set) decayed(now Instant, m *state) time.Duration {
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

// Began notes a statement sent to a member.
func (s *Set) Began(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		if m.inFlight == 0 {
			m.waitingSince = now
		}
		m.inFlight++
	}
}

// Ended notes the end of a statement at a member: its duration if it was
// answered, and the log position in the answer.
func (s *Set) Ended(now Instant, id EndpointID, took time.Duration, answered bool, p session.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return
	}
	m.inFlight = max(m.inFlight-1, 0)
	if m.inFlight == 0 {
		m.waitingSince = 0
	}
	if !answered {
		m.failed(now)
		return
	}
	m.answered(now)
	m.position = m.position.Max(p)
	if m.behindFor != 0 && !m.position.Less(m.behind) {
		m.behindFor, m.behindUntil = 0, 0
	}
	if id != s.lead.ID {
		s.replicaAt(p)
	}
	if m.latency == 0 {
		m.latency = took
	} else {
		m.latency += time.Duration(latencyWeight * float64(took-m.latency))
	}
	m.latencyAt = now
}

// Avoid makes a member that broke or hung the last choice for a while.
func (s *Set) Avoid(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		m.failed(now)
	}
}

func (m *state) failed(now Instant) {
	m.avoidUntil = now.Add(avoidFor)
	if m.failingSince == 0 {
		m.failingSince = now
	}
}

// Answered notes that a member answered something other than a statement.
func (s *Set) Answered(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		m.answered(now)
	}
}

// Silent reports whether a member has not answered anything for a while.
func (s *Set) Silent(now Instant, id EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	return !ok || now.Sub(m.answeredAt) >= silentAfter
}

func (m *state) answered(now Instant) {
	m.avoidUntil, m.failingSince, m.answeredAt = 0, 0, now
	if m.waitingSince != 0 {
		m.waitingSince = now
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
	return s.decayed(now, m)
}
