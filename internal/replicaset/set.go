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

// Lead returns the primary that this host knows of.
func (s *Set) Lead() Lead {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lead
}

// SetLead adopts a leadership record from the store. It ignores a record that is not newer
// than the known one and returns false. Of a record from a copy of the store that the known
// lead outlasts, it adopts only the revision.
func (s *Set) SetLead(now Instant, l Lead) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lead.Revision().Less(l.Revision()) {
		return false
	}
	s.unreadableAt = 0
	if l.Era > s.lead.Era && s.lead.outlasts(l) {
		s.lead.Era, s.lead.Version = l.Era, l.Version
		s.recordOutdated = true
		s.releaseSwitch()
		return false
	}
	s.recordOutdated = false
	// Learning the term of a known primary is not a change of the primary.
	if l.ID != s.lead.ID || s.lead.Term != 0 && l.Term != s.lead.Term {
		s.forgetProofs()
		s.leadChangedAt = now
		s.lead = l
		s.replicatedPoint = session.Point{}
		s.dropLosses(now)
		s.deposedSince = 0
	}
	s.lead = l
	s.noteRegisteredRole(now)
	s.notify()
	return true
}

// PrimaryGoneFor returns for how long no primary has been registered, or a deposed one only, as far as
// this host has heard from the store meanwhile. The time counts from the first call, and anew after each gap: registrations
// that lapsed while the store was down come back after its return.
func (s *Set) PrimaryGoneFor(now Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, registered := s.members[s.lead.ID]; registered && s.deposedSince == 0 || s.blind {
		s.primaryGoneSince = 0
		return 0
	}
	if s.primaryGoneSince == 0 {
		s.primaryGoneSince = now
	}
	return now.Sub(s.primaryGoneSince)
}

// noteRole notes the role of a member by its registration or its report.
func (s *Set) noteRole(now Instant, id EndpointID, r Role) {
	switch {
	case id != s.lead.ID || r == Unknown:
	case r == Primary:
		s.deposedSince = 0
	case s.deposedSince == 0:
		s.deposedSince = now
		s.report(WorkChanged)
	}
}

// noteRegisteredRole notes the role that the primary has registered with. A new primary registers
// anew a little after its promotion.
func (s *Set) noteRegisteredRole(now Instant) {
	if m, ok := s.members[s.lead.ID]; ok {
		s.noteRole(now, m.ID, m.Role)
	}
}

// RecordRole records the role in a member's report.
func (s *Set) RecordRole(now Instant, id EndpointID, r Role) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteRole(now, id, r)
}

// DeposedFor returns for how long the recorded primary has been a replica by its own word, 0 if it
// is not.
func (s *Set) DeposedFor(now Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deposedSince == 0 {
		return 0
	}
	return now.Sub(s.deposedSince)
}

// RecordUnreadable records that the store's leadership record of this group cannot be read.
// The known lead stays.
func (s *Set) RecordUnreadable(now Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreadableAt == 0 {
		s.unreadableAt = now
		s.report(StateChanged)
	}
}

// UnreadableFor returns for how long the store's record has been unreadable, 0 if it is not,
// or if no primary is known that could be recorded.
func (s *Set) UnreadableFor(now Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreadableAt == 0 || s.lead.ID == "" || s.lead.Term == 0 {
		return 0
	}
	return now.Sub(s.unreadableAt)
}

// RecordLost records that the store has no leadership record of this group since the given
// era. The known lead stays, as one without a record.
func (s *Set) RecordLost(era revision.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead.Version == 0 || s.lead.Era >= era {
		return
	}
	s.lead.Era, s.lead.Version = 0, 0
	s.recordOutdated = false
	s.releaseSwitch()
}

// releaseSwitch lets any host end a switch whose record the store has lost: its deadline is
// on the clock of an era that is over. The switch itself goes on.
func (s *Set) releaseSwitch() {
	if s.lead.Switching {
		s.lead.Until = 0
	}
	s.notify()
}

// RecordOutdated reports whether the store's record is older than the known lead.
func (s *Set) RecordOutdated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordOutdated
}

// ReportTerm records the term in a member's report.
func (s *Set) ReportTerm(t session.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t > s.reportedTerm {
		s.reportedTerm = t
		s.report(WorkChanged)
	}
}

// Superseded reports whether a member is in a later term than the recorded primary, so that
// a promotion took place that is not recorded.
func (s *Set) Superseded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lead.Version != 0 && s.lead.Term != 0 && s.reportedTerm > s.lead.Term
}

// LeadAge returns how long ago this host learned of the last recorded change of the
// primary, false if it knows of none.
func (s *Set) LeadAge(now Instant) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.leadChangedAt), s.leadChangedAt != 0
}

// AdoptReportedLead adopts the primary that members report while no promotion is recorded.
// A later term or another primary than the known one is adopted only once wait has passed
// since it was first reported: until then other hosts may hold proofs that the earlier
// primary leads.
func (s *Set) AdoptReportedLead(now Instant, l Lead, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead.Version != 0 || l.Term < s.lead.Term {
		return
	}
	if s.lead.Term != 0 && l.Term > s.lead.Term || s.lead.ID != "" && l.ID != s.lead.ID {
		if s.claimedLead.ID != l.ID || s.claimedLead.Term != l.Term {
			s.claimedLead, s.claimedAt = l, now
		}
		if now.Sub(s.claimedAt) < wait {
			return
		}
	}
	if l.ID != s.lead.ID {
		s.forgetProofs()
		s.dropLossOf(l.ID)
		s.deposedSince = 0
	}
	s.lead = l
	s.noteRegisteredRole(now)
	s.notify()
}

// PrimaryUnknownFor returns for how long this host has known members of the group, but not who
// leads; 0 if it knows.
func (s *Set) PrimaryUnknownFor(now Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead.ID != "" || s.earlier.since == 0 {
		return 0
	}
	return now.Sub(s.earlier.since)
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
