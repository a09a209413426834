package replicaset

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// CommitProofTime is how long a commit proof lets commits be acknowledged. A host that replaces
// a primary lets this time pass after it has paused the replicas, and reads their positions
// only then.
const CommitProofTime = 350 * time.Millisecond

// isWitness reports whether a member is a replica that a promotion has to pause: the membership
// record names it, and it is neither covered nor the primary.
func (s *Set) isWitness(m *memberState) bool {
	r, ok := s.recorded[m.incarnation()]
	return ok && s.recordTrusted && !r.Covered && m.ID != s.lead.ID && m.removedAt == 0
}

// MayWitness reports whether the word of a member tells that no promotion has stopped the replicas:
// it is a witness, or no membership record is known that could name it.
func (s *Set) MayWitness(id EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	return ok && (!s.recordTrusted || s.isWitness(m))
}

// Witnesses returns the replicas that a promotion has to pause and that answer statements. all
// is set if these are all that the membership record names.
func (s *Set) Witnesses() (healthy []Member, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		if s.isWitness(m) && m.failingSince == 0 {
			healthy = append(healthy, m.Member)
		}
	}
	named := s.namedWitnesses()
	return healthy, named > 0 && len(healthy) == named
}

// namedWitnesses returns how many replicas a promotion has to pause by the membership record.
func (s *Set) namedWitnesses() int {
	named := 0
	for i, r := range s.recorded {
		if !r.Covered && i.id != s.lead.ID {
			named++
		}
	}
	return named
}

// SetBlind sets whether this host does not hear from the store. Its membership record may be
// out of date then, and one witness is not enough.
func (s *Set) SetBlind(blind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blind = blind
}

// RecordCommitProof records that the store showed no switch of the primary at the given time.
func (s *Set) RecordCommitProof(l Lead, at Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.ID == s.lead.ID && l.Term == s.lead.Term {
		s.commitProvedAt = max(s.commitProvedAt, at)
	}
}

// ExtendCommitProof records that a witness followed the primary unpaused, in its answer to a
// request from sentAt that had arrived at answeredAt. It reports whether the last proof was still
// valid by then. Otherwise the pauses of a switch may have ended before the request, and only
// the store can tell.
func (s *Set) ExtendCommitProof(l Lead, sentAt, answeredAt Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.ID == s.lead.ID && l.Term == s.lead.Term && s.extendCommitProof(sentAt, answeredAt)
}

func (s *Set) extendCommitProof(provedAt, answeredAt Instant) bool {
	if s.commitProvedAt == 0 || answeredAt > s.commitProvedAt.Add(CommitProofTime) {
		return false
	}
	s.commitProvedAt = max(s.commitProvedAt, provedAt)
	return true
}

// witnessPosition extends the evidence by the position p in a witness's answer. The
// primary has written what follows a sample after the sample was requested, so a witness that
// has received it was not paused then.
func (s *Set) witnessPosition(now Instant, m *memberState, p session.Point) {
	if p.Term != s.lead.Term || !s.isWitness(m) {
		return
	}
	for i := len(s.samples) - 1; i >= 0; i-- {
		if c := s.samples[i]; c.point.Less(p) {
			s.extendEvidence(m, c.sentAt, now)
			if !s.blind {
				s.extendCommitProof(c.sentAt, now)
			}
			return
		}
	}
}

// HasCommitProof reports whether a commit that the primary completed at the given time is
// covered by a commit proof. A switch that this host has heard of since does not matter: it
// reads the positions of the replicas later.
func (s *Set) HasCommitProof(at Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commitProvedAt != 0 && at <= s.commitProvedAt.Add(CommitProofTime)
}

// CommitProofEnd returns when the last commit proof expires, 0 if there is none.
func (s *Set) CommitProofEnd() Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.commitProvedAt == 0 {
		return 0
	}
	return s.commitProvedAt.Add(CommitProofTime)
}

// IsRecorded reports whether the membership record names a member as it runs now.
func (s *Set) IsRecorded(m Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.recorded[m.incarnation()]
	return ok
}
