package replicaset

import (
	"sort"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// removalGrace keeps a member whose registration lapsed: registrations
	// lapse while the store is down and come back within 2 s of its return.
	removalGrace = 2500 * time.Millisecond
	// sampleSpacing is the least time between two kept samples.
	sampleSpacing = 20 * time.Millisecond
	// sampleKeep is how long samples are kept.
	sampleKeep = 10 * time.Second
	// avoidFor is how long a member that broke or hung is tried last.
	avoidFor = time.Second
	// latencyWeight is the share of a new observation in the average.
	latencyWeight = 0.2
	// latencyHalfLife forgets a slow member, so that it is tried again.
	latencyHalfLife = 2 * time.Second
)

type sample struct {
	sentAt Instant
	point  session.Point
}

type state struct {
	Member
	removedAt  Instant
	avoidUntil Instant
	latency    time.Duration
	latencyAt  Instant
	inFlight   int
	position   session.Point
	// behind is the position that the member lacked when it was last asked;
	// until behindUntil it is passed over for what needs it.
	behind      session.Point
	behindUntil Instant
	behindFor   time.Duration
	busyUntil   Instant
	// pressedFrom and pressedAt are the first and the last refusal of an overload.
	pressedFrom, pressedAt Instant
	// answeredAt is when the member last answered anything.
	answeredAt Instant
	// waitingSince is since when a statement waits and nothing was answered.
	waitingSince Instant
	// drainingSince is when the member was first known to leave.
	drainingSince Instant
	// failingSince is when the member stopped to answer, 0 while it answers.
	failingSince Instant
}

// Set is one database group as this host sees it. It is safe for concurrent use.
type Set struct {
	Name session.Group
	Zone string
	// Regions tells the region of each zone; nil takes each zone for a region.
	Regions map[string]string

	mu      sync.Mutex
	members map[EndpointID]*state
	lead    Lead
	// ledFrom is when this host learned of the last change of the primary.
	ledFrom Instant
	// seen is a later primary that members told of, first at seenAt.
	seen    Lead
	seenAt  Instant
	samples []sample
	// acked is how far this host acknowledged commits.
	acked session.Point
	lost  map[incarnation]loss
	// provedAt is when the primary was last proved to lead.
	provedAt Instant
	// stuckSince is when commits stopped to be answered, 0 while they are.
	stuckSince Instant
	changed    chan struct{}
}

// New returns an empty group, seen from a host in the given zone.
func New(name session.Group, zone string) *Set {
	return &Set{Name: name, Zone: zone, members: make(map[EndpointID]*state), changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change of members or
// leadership.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Set) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Register adds or updates a member.
func (s *Set) Register(now Instant, m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.members[m.ID]
	if !ok {
		old = &state{}
		s.members[m.ID] = old
	}
	if ok && old.Started != m.Started {
		s.lose(now, old.Member)
	}
	s.back(m)
	if old.Started != m.Started {
		old.position, old.behindFor, old.behindUntil = session.Point{}, 0, 0
		old.avoidUntil = 0
	}
	if m.Draining && !old.Draining {
		old.drainingSince = now
	}
	changed := old.Member != m || old.removedAt != 0
	old.Member, old.removedAt = m, 0
	if s.lead.ID == "" && m.Role == Primary {
		s.lead.ID = m.ID
	}
	if changed {
		s.notify()
	}
}

// Deregister notes that a registration is gone. The member is forgotten after
// a grace period unless it registers again.
func (s *Set) Deregister(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok && m.removedAt == 0 {
		m.removedAt = now
	}
}

// Expire forgets members whose registration has been gone for the grace period
// and returns their ids.
func (s *Set) Expire(now Instant) []EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []EndpointID
	for id, m := range s.members {
		if m.removedAt != 0 && now.Sub(m.removedAt) >= removalGrace {
			s.lose(m.removedAt, m.Member)
			delete(s.members, id)
			gone = append(gone, id)
		}
	}
	if gone != nil {
		s.notify()
	}
	return gone
}

// Members returns all members, ordered by id.
func (s *Set) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		all = append(all, m.Member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Member returns one member.
func (s *Set) Member(id EndpointID) (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// Lead returns the leadership as known.
func (s *Set) Lead() Lead {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lead
}

// SetLead takes a recorded leadership. Older records are ignored.
func (s *Set) SetLead(now Instant, l Lead) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Version <= s.lead.Version {
		return false
	}
	// A term that only was not known before is no change of the primary.
	if l.ID != s.lead.ID || s.lead.Term != 0 && l.Term != s.lead.Term {
		s.samples, s.stuckSince, s.provedAt = nil, 0, 0
		s.lost = nil
		s.ledFrom = now
	}
	s.lead = l
	s.notify()
	return true
}

// LedFor returns how long ago this host learned of the last change of the
// primary that was recorded; false if it knows of none.
func (s *Set) LedFor(now Instant) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.ledFrom), s.ledFrom != 0
}

// Learn takes what members say of themselves while no promotion is recorded. A
// later term or another primary than was known counts only once the given time
// has passed since it was first seen: until then other hosts may hold proofs that
// the earlier primary leads.
func (s *Set) Learn(now Instant, l Lead, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead.Version != 0 || l.Term < s.lead.Term {
		return
	}
	if s.lead.Term != 0 && l.Term > s.lead.Term || s.lead.ID != "" && l.ID != s.lead.ID {
		if s.seen.ID != l.ID || s.seen.Term != l.Term {
			s.seen, s.seenAt = l, now
		}
		if now.Sub(s.seenAt) < wait {
			return
		}
	}
	if l.ID != s.lead.ID {
		s.samples, s.stuckSince, s.provedAt = nil, 0, 0
	}
	s.lead = l
	s.notify()
}

// Prove notes that, at the given moment, some replica followed the primary and
// was not paused.
func (s *Set) Prove(l Lead, at Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.ID == s.lead.ID && l.Term == s.lead.Term && !s.lead.Switching {
		s.provedAt = max(s.provedAt, at)
	}
}

// Proved reports whether the primary was proved to lead within the given time
// before a moment, or after it.
func (s *Set) Proved(at Instant, within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.provedAt != 0 && !s.lead.Switching && at <= s.provedAt.Add(within)
}

// ProofAge returns the age of the last proof, 0 without one.
func (s *Set) ProofAge(now Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.provedAt == 0 {
		return 0
	}
	return now.Sub(s.provedAt)
}

// Committed notes whether a write or the end of a transaction was answered by
// the primary.
func (s *Set) Committed(now Instant, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		s.stuckSince = 0
	} else if s.stuckSince == 0 {
		s.stuckSince = now
	}
}

// Trouble returns since when the primary does not answer, and since when its
// commits are not answered; 0 for no trouble.
func (s *Set) Trouble() (silent, stuck Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[s.lead.ID]; ok {
		silent = m.failingSince
		if silent == 0 || m.waitingSince != 0 && m.waitingSince < silent {
			silent = m.waitingSince
		}
	}
	return silent, s.stuckSince
}
