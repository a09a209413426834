package replicaset

import "time"

// ProofTime is how long a replica's word that it follows the primary remains valid. A host that
// promotes a replica first pauses all replicas, and lets this time pass before it announces the new
// primary and ends the pauses.
const ProofTime = time.Second

// RecordStoreProof records that the store showed the primary, and no switch, at the given time. It
// begins unbroken evidence.
func (s *Set) RecordStoreProof(l Lead, at Instant) {
	s.RecordProof(l, at)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.ID == s.lead.ID && l.Term == s.lead.Term && !s.lead.Switching {
		s.ledAt = max(s.ledAt, at)
	}
}

// RecordWord records a member's status from the answer to a request from sentAt that has just arrived.
// A witness that follows the primary unpaused extends unbroken evidence, and at a host without the store
// only together with all others. After a gap it does not: the pauses of a switch may have ended before the
// request.
func (s *Set) RecordWord(id EndpointID, st Status, sentAt, answeredAt Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if ok && s.isWitness(m) && st.Follows(s.lead.Term) {
		s.extendEvidence(m, sentAt, answeredAt)
	}
}

// RecordNotRunning records that a member refused a connection that was requested at sentAt: it did not
// lead then. At a host without the store this counts like the word of a witness.
func (s *Set) RecordNotRunning(id EndpointID, sentAt, answeredAt Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok && s.blind && s.isWitness(m) {
		s.extendEvidence(m, sentAt, answeredAt)
	}
}

// extendEvidence records that a witness followed the primary unpaused at sentAt, or did not run, which is
// known since answeredAt.
func (s *Set) extendEvidence(m *memberState, sentAt, answeredAt Instant) {
	m.followedAt = max(m.followedAt, sentAt)
	if !s.unbroken(answeredAt) || s.lead.Switching {
		return
	}
	if s.blind {
		sentAt = s.allFollowedAt()
	}
	s.ledAt = max(s.ledAt, sentAt)
}

// allFollowedAt returns a time since when each witness was seen to follow the primary, 0 if one was not.
// A switch that this host can't have heard of may have taken one as gone, and not paused it.
func (s *Set) allFollowedAt() Instant {
	var first Instant
	named := 0
	for _, m := range s.members {
		if !s.isWitness(m) {
			continue
		}
		if named++; named == 1 || m.followedAt < first {
			first = m.followedAt
		}
	}
	if named < s.namedWitnesses() {
		return 0
	}
	return first
}

// RecordConfirmation records that the primary has confirmed itself after a replica's word that was
// requested at sentAt. If strict is set, the proof counts only if evidence is unbroken since then. It
// reports whether the proof counts.
func (s *Set) RecordConfirmation(l Lead, sentAt Instant, strict bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.ID != s.lead.ID || l.Term != s.lead.Term || s.lead.Switching || strict && s.evidence() < sentAt {
		return false
	}
	s.provedAt = max(s.provedAt, sentAt)
	return true
}

// Unbroken reports whether there is unbroken evidence that the primary leads.
func (s *Set) Unbroken(now Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unbroken(now)
}

// evidence returns the time of the last unbroken evidence, 0 if there is none. A commit proof is
// such evidence, too.
func (s *Set) evidence() Instant { return max(s.ledAt, s.commitProvedAt) }

func (s *Set) unbroken(now Instant) bool {
	last := s.evidence()
	return last != 0 && now <= last.Add(ProofTime)
}

// forgetProofs drops what was learned of the primary that led so far.
func (s *Set) forgetProofs() {
	s.samples, s.stuckSince, s.provedAt, s.ledAt, s.commitProvedAt = nil, 0, 0, 0, 0
	for _, m := range s.members {
		m.followedAt = 0
	}
}
