package replicaset

import (
	"testing"
	"time"
)

// TestLostLogIsNoticed guards against lost commits: a replica that had started again under its ID with
// nothing, and could not tell the store, counted as the one that was there before.
func TestLostLogIsNoticed(t *testing.T) {
	follows := func(term, n int) Status {
		return Status{Role: Replica, Term: point(term, n).Term, Received: point(term, n)}
	}
	report := func(s *Set, ms int, st Status) { s.CheckLog("b", st, at(ms), at(ms+10)) }
	read := func(s *Set, ms, term, n int) {
		s.StatementEnded(at(ms), "b", time.Millisecond, true, point(term, n))
	}
	tests := []struct {
		name   string
		events func(s *Set)
		lost   bool
	}{
		{"nothing was seen of it", func(s *Set) { report(s, 5000, follows(1, 0)) }, false},
		{"it receives more", func(s *Set) { report(s, 1000, follows(1, 9)); report(s, 5000, follows(1, 12)) }, false},
		{"it has received nothing since", func(s *Set) { report(s, 1000, follows(1, 9)); report(s, 5000, follows(1, 9)) }, false},
		{"it holds less than it has reported", func(s *Set) { report(s, 1000, follows(1, 9)); report(s, 5000, follows(1, 8)) }, true},
		{"it holds less than a read has shown", func(s *Set) { read(s, 1000, 1, 9); report(s, 5000, follows(1, 8)) }, true},
		{"it holds nothing and knows no term", func(s *Set) { report(s, 1000, follows(1, 9)); report(s, 5000, Status{Role: Replica}) }, true},
		{"a later answer of its own came first", func(s *Set) {
			read(s, 1000, 1, 7)
			read(s, 3000, 1, 9)
			s.CheckLog("b", follows(1, 8), at(2900), at(3010))
		}, false},
		{"it was rolled back by a promotion", func(s *Set) {
			report(s, 1000, follows(1, 9))
			report(s, 5000, Status{Role: Replica, Term: 2, Received: point(1, 8)})
		}, false},
		{"it was rolled back a little after it had learned of the promotion", func(s *Set) {
			report(s, 1000, Status{Role: Replica, Term: 2, Received: point(1, 9)})
			report(s, 5000, Status{Role: Replica, Term: 2, Received: point(1, 8)})
		}, false},
		{"another primary leads since", func(s *Set) {
			report(s, 1000, follows(1, 9))
			s.SetLead(at(2000), Lead{ID: "a", Term: 2, Version: 2})
			report(s, 5000, Status{Role: Replica, Term: 2, Received: point(1, 8)})
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSet()
			tt.events(s)
			b, _ := s.Member("b")
			// The old entry is read once more.
			s.Register(at(6000), b)
			s.RecordReport("b", follows(1, 20))
			if got := s.MissingReplicas() > 0; got != tt.lost {
				t.Errorf("the replica counts as lost: %t, want %t", got, tt.lost)
			}
			if s.Lead().Term == 1 && s.Replicated(point(1, 20)) == tt.lost {
				t.Errorf("what it reports backs commits: %t, want %t", !tt.lost, tt.lost)
			}
			b.Started++
			s.Register(at(7000), b)
			s.SetMembership(at(7000), testMembership(2, s.Members()...), true)
			s.RecordReport("b", follows(1, 21))
			if s.Lead().Term == 1 && !s.Replicated(point(1, 21)) {
				t.Error("the next incarnation backs no commits")
			}
		})
	}
}
