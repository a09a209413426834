package replicaset

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Knowledge is what a host shares with other hosts about a group, so that they need not
// query the endpoints themselves: a sample of the primary's log position and a proof that
// the primary leads. The ages are relative to the time at which Set.Knowledge returned
// them; a negative age means that there is no sample or no proof.
type Knowledge struct {
	Lead      EndpointID
	Term      session.Term
	Point     session.Point
	SampleAge time.Duration
	ProofAge  time.Duration
}

// Fresh reports whether the proof and the sample are at most as old as the given limits.
func (k Knowledge) Fresh(maxProofAge, maxSampleAge time.Duration) bool {
	return k.ProofAge >= 0 && k.ProofAge <= maxProofAge && k.SampleAge >= 0 && k.SampleAge <= maxSampleAge
}

// Knowledge returns the knowledge of this host. It has neither a sample nor a proof while
// a promotion is in progress.
func (s *Set) Knowledge(now Instant) Knowledge {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := Knowledge{Lead: s.lead.ID, Term: s.lead.Term, SampleAge: -1, ProofAge: -1}
	if s.lead.Switching {
		return k
	}
	if n := len(s.samples); n > 0 {
		k.Point, k.SampleAge = s.samples[n-1].point, now.Sub(s.samples[n-1].sentAt)
	}
	if s.provedAt != 0 {
		k.ProofAge = now.Sub(s.provedAt)
	}
	return k
}

// MergeKnowledge merges knowledge that another host sent in answer to a request from
// sentAt. Its ages are counted from sentAt, which is before the other host computed them,
// so that they are never underestimated. Knowledge about another primary or term is
// ignored. A host that knows the same primary without a term adopts the term, provided
// that no promotion is recorded.
func (s *Set) MergeKnowledge(sentAt Instant, k Knowledge) {
	lead := s.Lead()
	if lead.ID == k.Lead && lead.Term == 0 {
		s.AdoptReportedLead(sentAt, Lead{ID: k.Lead, Term: k.Term}, 0)
		lead = s.Lead()
	}
	if lead.ID != k.Lead || lead.Term != k.Term {
		return
	}
	if k.SampleAge >= 0 {
		s.Sample(k.Lead, sentAt.Add(-k.SampleAge), k.Point)
	}
	if k.ProofAge >= 0 {
		s.RecordProof(Lead{ID: k.Lead, Term: k.Term}, sentAt.Add(-k.ProofAge))
	}
}
