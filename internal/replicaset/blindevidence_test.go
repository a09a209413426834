package replicaset

import (
	"testing"
	"time"
)

// TestEvidenceOfOutdatedRecord guards against stale reads at a host without the store: a replica that
// a promotion did not pause, since its registration had lapsed meanwhile, extended evidence without end.
func TestEvidenceOfOutdatedRecord(t *testing.T) {
	follows := Status{Role: Replica, Term: 1}
	leads := Status{Role: Primary, Term: 2}
	tests := []struct {
		name string
		// other is called with each answer time, when the other recorded replica may answer too.
		other  func(s *Set, sentAt, answeredAt Instant)
		proves bool
	}{
		{"nothing is heard of the other one", func(*Set, Instant, Instant) {}, false},
		{"the other one leads", func(s *Set, sentAt, answeredAt Instant) { s.RecordWord("b", leads, sentAt, answeredAt) }, false},
		{"the other one follows", func(s *Set, sentAt, answeredAt Instant) { s.RecordWord("b", follows, sentAt, answeredAt) }, true},
		{"the other one does not run", func(s *Set, sentAt, answeredAt Instant) { s.RecordNotRunning("b", sentAt, answeredAt) }, true},
		{"the other one was paused for long", func(s *Set, sentAt, answeredAt Instant) {
			if sentAt < at(20000) || sentAt > at(22000) {
				s.RecordWord("b", follows, sentAt, answeredAt)
			}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSet()
			s.SetLead(at(2), Lead{ID: "p", Term: 1, Version: 2})
			s.RecordStoreProof(s.Lead(), at(1000))
			s.SetBlind(true)
			var sentAt Instant
			for ms := 1500; ms <= 61000; ms += 500 {
				sentAt = at(ms)
				s.RecordWord("a", follows, sentAt, sentAt.Add(time.Millisecond))
				tt.other(s, sentAt, sentAt.Add(time.Millisecond))
			}
			if got := s.RecordConfirmation(s.Lead(), sentAt, true); got != tt.proves {
				t.Errorf("after a minute without the store, the word of a recorded replica proves a read: %t, want %t", got, tt.proves)
			}
		})
	}
}

// TestEvidenceOfRestartedReplica guards against evidence by the word that a replica gave before it
// started again.
func TestEvidenceOfRestartedReplica(t *testing.T) {
	s := testSet()
	s.SetLead(at(2), Lead{ID: "p", Term: 1, Version: 2})
	s.RecordStoreProof(s.Lead(), at(1000))
	s.SetBlind(true)
	follows := Status{Role: Replica, Term: 1}
	s.RecordWord("b", follows, at(1600), at(1601))
	b, _ := s.Member("b")
	b.Started++
	s.Register(at(1700), b)
	s.RecordWord("a", follows, at(1800), at(1801))
	if s.RecordConfirmation(s.Lead(), at(1600), true) {
		t.Error("the word of the replica that ran before proves a read")
	}
}
