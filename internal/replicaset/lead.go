package replicaset

import (
	"time"

	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

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
