package replicaset

import (
	"testing"
	"time"
)

// TestEvidenceOfOutdatedRecord guards against stale reads at a host without the store: a replica that
// a promotion did not pause, since its registration had lapsed meanwhile, extended evidence without end.
func TestEvidenceOfOutdatedRecord(t *testing.T) {
	s := testSet()
	s.SetLead(at(2), Lead{ID: "p", Term: 1, Version: 2})
	s.RecordStoreProof(s.Lead(), at(1000))
	s.SetBlind(true)
	// Nothing is heard of the other recorded replica, which leads by now.
	var sentAt Instant
	for ms := 1500; ms <= 61000; ms += 500 {
		sentAt = at(ms)
		s.RecordWord("a", Status{Role: Replica, Term: 1}, sentAt, sentAt.Add(time.Millisecond))
	}
	if s.RecordConfirmation(s.Lead(), sentAt, true) {
		t.Error("after a minute without the store, the word of one of two recorded replicas proves a read")
	}
}
