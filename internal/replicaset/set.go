package replicaset

import (
	"sort"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// removalGrace is how long a member is kept after its registration lapsed.
	// Registrations lapse while the store is down and come back within 2 s of its return.
	removalGrace = 2500 * time.Millisecond
	// sampleSpacing is the minimum time between two samples.
	sampleSpacing = 20 * time.Millisecond
	// sampleRetention is how long samples are kept.
	sampleRetention = 10 * time.Second
	// avoidTime is how long a member that failed or hung is tried last.
	avoidTime = time.Second
	// latencyWeight is the weight of a new measurement in the average.
	latencyWeight = 0.2
	// latencyHalfLife lets the measured latency of a slow member decay, so that the member
	// is tried again.
	latencyHalfLife = 2 * time.Second
)

type sample struct {
	sentAt Instant
	point  session.Point
}

type memberState struct {
	Member
	// recorded is set if a membership record has named this incarnation.
	recorded  bool
	removedAt Instant
	// registeredAt is when this host first heard of the endpoint, or of its last restart.
	registeredAt Instant
	avoidUntil   Instant
	latency      time.Duration
	latencyAt    Instant
	inFlight     int
	position     session.Point
	// log is what this host has seen of the log of this incarnation.
	log seenLog
	// lackedPoint is the position that the member lacked when it was last tried. Reads that
	// need it avoid the member until behindUntil.
	lackedPoint   session.Point
	behindUntil   Instant
	behindBackoff time.Duration
	busyUntil     Instant
	// overloadedSince and overloadedAt are the times of the first and the last call of
	// RecordOverload during an overload.
	overloadedSince, overloadedAt Instant
	// answeredAt is the time of the last answer of any kind.
	answeredAt Instant
	// unansweredSince is when the wait for an answer began: at the last answer, or at the
	// first statement in flight if that is later. It is 0 while no statement is in flight.
	unansweredSince Instant
	// absentAt is when another endpoint last answered at the member's address, 0 if the member
	// has answered or registered since.
	absentAt Instant
	// drainingSince is when the member was first known to be draining.
	drainingSince Instant
	// failingSince is when the member stopped answering, 0 while it answers.
	failingSince Instant
	// followedAt is when the member, as a witness, was last seen to follow the primary unpaused or not to run.
	followedAt Instant
}

// Set is one database group as seen by one host. It is safe for concurrent use.
type Set struct {
	Name session.Group
	Zone string
	// Regions maps each zone to its region. A zone without an entry is a region of its own.
	Regions map[string]string
	// OnChange, if set, is called for each event that a periodic check may have to act on. The
	// set is locked meanwhile: it must not use the set, nor wait for anything.
	OnChange func(Change)

	mu      sync.Mutex
	members map[EndpointID]*memberState
	lead    Lead
	// recordOutdated is set while the store's record is older than lead, because the
	// store has lost the later one.
	recordOutdated bool
	// unreadableAt is when the store's record was first unreadable, 0 if it is not.
	unreadableAt Instant
	// reportedTerm is the highest term that a member reported.
	reportedTerm session.Term
	// leadChangedAt is when this host learned of the last recorded change of the primary.
	leadChangedAt Instant
	// claimedLead is another primary or a later term that members report while the store
	// records none, first reported at claimedAt.
	claimedLead Lead
	claimedAt   Instant
	samples     []sample
	// ackedPoint is the highest position up to which this host acknowledged commits.
	ackedPoint session.Point
	lost       map[incarnation]*lostReplica
	// replicatedPoint is the highest position that an elector has reported in the term of the
	// primary, or in any while that term is unknown.
	replicatedPoint session.Point
	// earlier stands for the replicas that were lost before this host knew the group.
	earlier loss
	// recorded holds the replicas of the last trusted membership record, membershipAt is the
	// revision of the last record.
	recorded      map[incarnation]RecordedReplica
	recordTrusted bool
	membershipAt  revision.Revision
	// provedAt is the time of the last proof that the primary leads.
	provedAt Instant
	// ledAt is the last time at which unbroken evidence showed that the primary led.
	ledAt Instant
	// commitProvedAt is the last time at which no switch had stopped the replicas.
	commitProvedAt Instant
	// blind is set while this host does not hear from the store.
	blind bool
	// stuckSince is when the primary stopped answering commits, 0 while it answers them.
	stuckSince Instant
	// deposedSince is when this host first heard, from its registration or its reports, that the
	// recorded primary is a replica; 0 if the last word is that it leads.
	deposedSince Instant
	// primaryGoneSince is when PrimaryGoneFor first found none, 0 if there is a primary.
	primaryGoneSince Instant
	changed          chan struct{}
}

// New returns an empty group as seen by a host in the given zone.
func New(name session.Group, zone string) *Set {
	return &Set{Name: name, Zone: zone, members: make(map[EndpointID]*memberState), changed: make(chan struct{})}
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
	s.report(StateChanged)
}

// Register adds or updates a member.
func (s *Set) Register(now Instant, m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.members[m.ID]
	if !ok {
		old = &memberState{}
		s.members[m.ID] = old
	}
	if s.earlier.since == 0 {
		s.earlier.since = now
	}
	if ok && old.Started != m.Started {
		s.recordLoss(now, old)
	}
	if old.Member != m || old.absentAt == 0 {
		old.absentAt = 0
		if !ok || old.Started != m.Started || !old.log.lost {
			delete(s.lost, m.incarnation())
		}
	}
	if !ok || old.Started != m.Started {
		old.registeredAt = now
	}
	if old.Started != m.Started {
		_, old.recorded = s.recorded[m.incarnation()]
		old.position, old.behindBackoff, old.behindUntil = session.Point{}, 0, 0
		old.log, old.followedAt = seenLog{}, 0
		old.avoidUntil = 0
	}
	if m.Draining && !old.Draining {
		old.drainingSince = now
	}
	changed := old.Member != m || old.removedAt != 0
	old.Member, old.removedAt = m, 0
	if s.lead.ID == "" && m.Role == Primary {
		s.lead.ID = m.ID
		s.dropLossOf(m.ID)
	}
	if changed || !ok {
		s.noteRole(now, m.ID, m.Role)
	}
	if changed {
		s.notify()
	}
}

// Deregister records that a member's registration lapsed. The member is removed after
// removalGrace unless it registers again.
func (s *Set) Deregister(now Instant, id EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok && m.removedAt == 0 {
		m.removedAt = now
		s.report(StateChanged)
	}
}

// Expire removes the members whose registration lapsed at least removalGrace ago and
// returns their ids.
func (s *Set) Expire(now Instant) []EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, l := range s.lost {
		if _, ok := s.recorded[i]; !ok && s.recordTrusted && l.covered && now.Sub(l.since) >= coveredRetention {
			delete(s.lost, i)
		}
	}
	var gone []EndpointID
	for id, m := range s.members {
		if m.removedAt != 0 && now.Sub(m.removedAt) >= removalGrace {
			delete(s.members, id)
			s.recordLoss(now, m)
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

// Member returns the member with the given id.
func (s *Set) Member(id EndpointID) (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// RegisteredAt returns when this host first heard of an endpoint, or of its last restart; zero if
// it is no member.
func (s *Set) RegisteredAt(id EndpointID) Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		return m.registeredAt
	}
	return 0
}

// RecordProof records a proof that the primary led at the given time, for example that a
// replica followed it and was not paused.
func (s *Set) RecordProof(l Lead, at Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.ID == s.lead.ID && l.Term == s.lead.Term && !s.lead.Switching {
		s.provedAt = max(s.provedAt, at)
	}
}

// HasProof reports whether the primary was proved to lead at or after the given time, or
// before it by at most the duration within.
func (s *Set) HasProof(at Instant, within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.provedAt != 0 && !s.lead.Switching && at <= s.provedAt.Add(within)
}

// ProofAge returns the age of the last proof, 0 if there is none.
func (s *Set) ProofAge(now Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.provedAt == 0 {
		return 0
	}
	return now.Sub(s.provedAt)
}

// RecordCommitAnswer records whether the primary answered a write or the end of a
// transaction.
func (s *Set) RecordCommitAnswer(now Instant, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		s.stuckSince = 0
	} else if s.stuckSince == 0 {
		s.stuckSince = now
		s.report(WorkChanged)
	}
}

// UnansweredSince returns since when the primary has not answered anything, and since when
// it has not answered commits. Each is 0 if it answers.
func (s *Set) UnansweredSince() (silent, stuck Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[s.lead.ID]; ok {
		silent = m.failingSince
		if silent == 0 || m.unansweredSince != 0 && m.unansweredSince < silent {
			silent = m.unansweredSince
		}
	}
	return silent, s.stuckSince
}
