package replicaset

import (
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestLearned answers the load of many hosts with few statements each: what one
// knows serves the others, and is never taken for younger than it is.
func TestLearned(t *testing.T) {
	teller, s := testSet(), testSet()
	teller.Sample("p", at(1000), point(1, 20))
	teller.Prove(Lead{ID: "p", Term: 1}, at(1100))
	s.Learned(at(5000), teller.Known(at(1300)))
	if _, ok := s.Need(at(5000), 299*time.Millisecond, session.Point{}); ok {
		t.Error("a position that was 300 ms old when it was told serves a read of at most 299 ms")
	}
	if got, ok := s.Need(at(5000), 300*time.Millisecond, session.Point{}); !ok || got != point(1, 20) {
		t.Errorf("the position that was told gives %s, %t", got, ok)
	}
	if !s.Proved(at(5000), 200*time.Millisecond) || s.Proved(at(5000), 199*time.Millisecond) {
		t.Error("the proof that was told has not the age that it had")
	}
}

func TestLearnedOfAnotherLead(t *testing.T) {
	teller, s := testSet(), testSet()
	teller.Sample("p", at(1000), point(1, 20))
	teller.Prove(Lead{ID: "p", Term: 1}, at(1000))
	k := teller.Known(at(1000))
	s.SetLead(at(1), Lead{ID: "a", Term: 2, Version: 2})
	s.Learned(at(5000), k)
	if s.Proved(at(5000), time.Minute) {
		t.Error("a proof for the old primary counts for the new one")
	}
	if _, ok := s.Need(at(5000), time.Minute, session.Point{}); ok {
		t.Error("a position of the old primary counts for the new one")
	}
	s.SetLead(at(1), Lead{ID: "p", Term: 1, Switching: true, Version: 3})
	s.Learned(at(5000), k)
	if s.Proved(at(5000), time.Minute) {
		t.Error("a proof counts while the group is switching")
	}
	if k := s.Known(at(5000)); k.ProofAge >= 0 || k.SampleAge >= 0 {
		t.Errorf("a host that knows of a switch tells %+v", k)
	}
}

// TestLearnWaits reproduces stale reads beside a planned switch: a host that was
// cut off from the store used the new primary as soon as that one led, while
// others still held proofs of the old one.
func TestLearnWaits(t *testing.T) {
	const wait = 1100 * time.Millisecond
	s := New("g", "zone-a")
	s.Register(0, Member{ID: "p", Group: "g", Role: Primary, Started: 1})
	s.Learn(at(1000), Lead{ID: "p", Term: 1}, wait)
	if lead := s.Lead(); lead.Term != 1 {
		t.Fatalf("the first term that is seen does not count at once: %+v", lead)
	}
	for _, now := range []int{5000, 5500, 6099} {
		s.Learn(at(now), Lead{ID: "a", Term: 2}, wait)
		if lead := s.Lead(); lead.ID != "p" {
			t.Fatalf("a later primary counts %d ms after it was first seen", now-5000)
		}
	}
	s.Learn(at(6100), Lead{ID: "a", Term: 2}, wait)
	if lead := s.Lead(); lead.ID != "a" || lead.Term != 2 {
		t.Errorf("a later primary does not count after the time: %+v", lead)
	}
}

// TestLearnedOfAnEarlierTerm checks that what is told of an earlier term of the
// same primary does not count.
func TestLearnedOfAnEarlierTerm(t *testing.T) {
	teller, s := testSet(), testSet()
	teller.Sample("p", at(1000), point(1, 90))
	teller.Prove(Lead{ID: "p", Term: 1}, at(1000))
	s.SetLead(at(1), Lead{ID: "p", Term: 3, Version: 8})
	s.Learned(at(5000), teller.Known(at(1000)))
	if _, ok := s.Need(at(5000), time.Minute, session.Point{}); ok || s.Proved(at(5000), time.Minute) {
		t.Error("a position and a proof of term 1 count in term 3")
	}
}

// TestAnotherPrimaryWaits checks the same for a host that knows a primary and not
// its term: what a registration says does not move the lead either.
func TestAnotherPrimaryWaits(t *testing.T) {
	const wait = 1100 * time.Millisecond
	s := New("g", "zone-a")
	s.Register(0, Member{ID: "p", Group: "g", Role: Primary, Started: 1})
	s.Register(at(4000), Member{ID: "a", Group: "g", Role: Primary, Started: 1})
	if lead := s.Lead(); lead.ID != "p" {
		t.Fatalf("a registration makes %s the primary", lead.ID)
	}
	s.Learn(at(5000), Lead{ID: "a", Term: 2}, wait)
	if lead := s.Lead(); lead.ID != "p" {
		t.Fatal("another primary counts as soon as it is seen")
	}
	s.Learn(at(6100), Lead{ID: "a", Term: 2}, wait)
	if lead := s.Lead(); lead.ID != "a" {
		t.Error("another primary does not count after the time")
	}
}
