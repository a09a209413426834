package replicaset

import (
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestLearned checks that a host can serve reads with the Knowledge of another one, as
// many hosts with few statements each do, and that it never underestimates its age.
func TestLearned(t *testing.T) {
	source, s := testSet(), testSet()
	source.Sample("p", at(1000), point(1, 20))
	source.RecordProof(Lead{ID: "p", Term: 1}, at(1100))
	s.MergeKnowledge(at(5000), source.Knowledge(at(1300)))
	if _, ok := s.RequiredPoint(at(5000), 299*time.Millisecond, session.Point{}); ok {
		t.Error("a position that was 300 ms old when it was shared serves a read that allows 299 ms")
	}
	if got, ok := s.RequiredPoint(at(5000), 300*time.Millisecond, session.Point{}); !ok || got != point(1, 20) {
		t.Errorf("RequiredPoint gives %s, %t for a read that allows 300 ms, want the shared position", got, ok)
	}
	if !s.HasProof(at(5000), 200*time.Millisecond) || s.HasProof(at(5000), 199*time.Millisecond) {
		t.Error("the shared proof does not count as 200 ms old")
	}
}

func TestLearnedOfAnotherLead(t *testing.T) {
	source, s := testSet(), testSet()
	source.Sample("p", at(1000), point(1, 20))
	source.RecordProof(Lead{ID: "p", Term: 1}, at(1000))
	k := source.Knowledge(at(1000))
	s.SetLead(at(1), Lead{ID: "a", Term: 2, Version: 2})
	s.MergeKnowledge(at(5000), k)
	if s.HasProof(at(5000), time.Minute) {
		t.Error("a proof for the old primary counts for the new one")
	}
	if _, ok := s.RequiredPoint(at(5000), time.Minute, session.Point{}); ok {
		t.Error("a position of the old primary counts for the new one")
	}
	s.SetLead(at(1), Lead{ID: "p", Term: 1, Switching: true, Version: 3})
	s.MergeKnowledge(at(5000), k)
	if s.HasProof(at(5000), time.Minute) {
		t.Error("a proof counts while the group is switching")
	}
	if k := s.Knowledge(at(5000)); k.ProofAge >= 0 || k.SampleAge >= 0 {
		t.Errorf("a host that knows of a switch shares %+v", k)
	}
}

// TestLearnWaits guards against stale reads during a planned switch: a host without a
// connection to the store used the new primary as soon as that one led, while other
// hosts still held proofs that the old one leads.
func TestLearnWaits(t *testing.T) {
	const wait = 1100 * time.Millisecond
	s := New("g", "zone-a")
	s.Register(0, Member{ID: "p", Group: "g", Role: Primary, Started: 1})
	s.AdoptReportedLead(at(1000), Lead{ID: "p", Term: 1}, wait)
	if lead := s.Lead(); lead.Term != 1 {
		t.Fatalf("the first reported term is not adopted at once: %+v", lead)
	}
	for _, now := range []int{5000, 5500, 6099} {
		s.AdoptReportedLead(at(now), Lead{ID: "a", Term: 2}, wait)
		if lead := s.Lead(); lead.ID != "p" {
			t.Fatalf("a later primary is adopted %d ms after it was first reported", now-5000)
		}
	}
	s.AdoptReportedLead(at(6100), Lead{ID: "a", Term: 2}, wait)
	if lead := s.Lead(); lead.ID != "a" || lead.Term != 2 {
		t.Errorf("a later primary is not adopted after the wait: %+v", lead)
	}
}

// TestLearnedOfAnEarlierTerm checks that Knowledge of an earlier term of the same
// primary is ignored.
func TestLearnedOfAnEarlierTerm(t *testing.T) {
	source, s := testSet(), testSet()
	source.Sample("p", at(1000), point(1, 90))
	source.RecordProof(Lead{ID: "p", Term: 1}, at(1000))
	s.SetLead(at(1), Lead{ID: "p", Term: 3, Version: 8})
	s.MergeKnowledge(at(5000), source.Knowledge(at(1000)))
	if _, ok := s.RequiredPoint(at(5000), time.Minute, session.Point{}); ok || s.HasProof(at(5000), time.Minute) {
		t.Error("a position and a proof of term 1 count in term 3")
	}
}

// TestAnotherPrimaryWaits checks that a host that knows a primary without its term also
// waits before it adopts another one, and that a registration as primary does not
// replace the known primary.
func TestAnotherPrimaryWaits(t *testing.T) {
	const wait = 1100 * time.Millisecond
	s := New("g", "zone-a")
	s.Register(0, Member{ID: "p", Group: "g", Role: Primary, Started: 1})
	s.Register(at(4000), Member{ID: "a", Group: "g", Role: Primary, Started: 1})
	if lead := s.Lead(); lead.ID != "p" {
		t.Fatalf("a registration replaces the primary by %s", lead.ID)
	}
	s.AdoptReportedLead(at(5000), Lead{ID: "a", Term: 2}, wait)
	if lead := s.Lead(); lead.ID != "p" {
		t.Fatal("another primary is adopted as soon as it is reported")
	}
	s.AdoptReportedLead(at(6100), Lead{ID: "a", Term: 2}, wait)
	if lead := s.Lead(); lead.ID != "a" {
		t.Error("another primary is not adopted after the wait")
	}
}
