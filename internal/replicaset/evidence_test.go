package replicaset

import "testing"

// TestUnbrokenEvidence guards against stale reads: a replica's word counted after a gap in which a
// promotion fits, or though no promotion asks that replica.
func TestUnbrokenEvidence(t *testing.T) {
	follows := Status{Role: Replica, Term: 1}
	tests := []struct {
		name                string
		id                  EndpointID
		st                  Status
		sentAt, answeredAt  Instant
		strict, unconfirmed bool
	}{
		{"the last evidence is valid", "a", follows, at(1900), at(2000), true, false},
		{"it has expired before the answer", "a", follows, at(1990), at(2001), true, true},
		{"the host hears from the store", "a", follows, at(1990), at(2001), false, false},
		{"the replica is paused", "a", Status{Role: Replica, Term: 1, PausedTerm: 3}, at(1900), at(2000), true, true},
		{"it is of a later term", "a", Status{Role: Replica, Term: 2}, at(1900), at(2000), true, true},
		{"it is not recorded", "c", follows, at(1900), at(2000), true, true},
		{"it is the primary", "p", follows, at(1900), at(2000), true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSet()
			s.Register(at(2), Member{ID: "c", Role: Replica, Started: 1})
			s.RecordStoreProof(s.Lead(), at(1000))
			s.RecordWord(tt.id, tt.st, tt.sentAt, tt.answeredAt)
			if got := s.RecordConfirmation(s.Lead(), tt.sentAt, tt.strict); got == tt.unconfirmed {
				t.Errorf("the primary's confirmation counts: %t, want %t", got, !tt.unconfirmed)
			}
		})
	}
}
