package replicaset

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Knowledge is what one host knows of a group that spares others a question: how
// far the primary's log was, and that it was proved to lead. Ages are those at
// the moment at which it is told; negative ones say that nothing is known.
type Knowledge struct {
	Lead      EndpointID
	Term      session.Term
	Point     session.Point
	SampleAge time.Duration
	ProofAge  time.Duration
}

// Fresh reports whether proof and position are not older than given.
func (k Knowledge) Fresh(proof, sample time.Duration) bool {
	return k.ProofAge >= 0 && k.ProofAge <= proof && k.SampleAge >= 0 && k.SampleAge <= sample
}

// Known returns what this host knows of the group.
func (s *Set) Known(now Instant) Knowledge {
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

// Learned takes what another host knows, told in the answer to a question that
// was sent at the given moment: what it tells is at most as old as it says, seen
// from that moment on.
func (s *Set) Learned(asked Instant, k Knowledge) {
	lead := s.Lead()
	if lead.ID == k.Lead && lead.Term == 0 {
		s.Learn(asked, Lead{ID: k.Lead, Term: k.Term}, 0)
		lead = s.Lead()
	}
	if lead.ID != k.Lead || lead.Term != k.Term {
		return
	}
	if k.SampleAge >= 0 {
		s.Sample(k.Lead, asked.Add(-k.SampleAge), k.Point)
	}
	if k.ProofAge >= 0 {
		s.Prove(Lead{ID: k.Lead, Term: k.Term}, asked.Add(-k.ProofAge))
	}
}
