package replicaset

import (
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// freshSet returns the group of testSet as a host sees it that started after replica b was
// lost.
func freshSet() *Set {
	s := New("g", "zone-a")
	for _, m := range testSet().Members() {
		if m.ID != "b" {
			s.Register(at(1000), m)
		}
	}
	s.SetLead(at(1000), Lead{ID: "p", Term: 1, Version: 1})
	return s
}

// fullRecord returns a membership record of all members of testSet.
func fullRecord(coveredID EndpointID) Membership {
	m := testMembership(5, testSet().Members()...)
	for i := range m.Replicas {
		m.Replicas[i].Covered = m.Replicas[i].Member.ID == coveredID
	}
	return m
}

// reach notes the primary's position 9, and position n of replica a.
func reach(s *Set, sentAt Instant, n int) {
	s.Sample("p", sentAt, point(1, 9))
	s.StatementEnded(sentAt+1, "a", time.Millisecond, true, point(1, n))
}

// freshHostTests are what a host may learn of the lost replica b, with the number of replicas
// that it counts as missing then.
func freshHostTests() []lossTest {
	full, covered := fullRecord(""), fullRecord("b")
	return []lossTest{
		{"nothing is recorded", func(*Set) {}, 1},
		{"the record names a lost replica", func(s *Set) { s.SetMembership(at(1001), full, true) }, 1},
		{"the record names a lost replica, whose loss is covered", func(s *Set) { s.SetMembership(at(1001), covered, true) }, 0},
		{"the record names the registered members", func(s *Set) { s.SetMembership(at(1001), testMembership(5, s.Members()...), true) }, 0},
		{"the record may be from a copy of the store", func(s *Set) { s.SetMembership(at(1001), testMembership(5, s.Members()...), false) }, 1},
		{"a replica has reached the primary's position since the start", func(s *Set) { reach(s, at(1500), 9) }, 0},
		{"no replica has reached it", func(s *Set) { reach(s, at(1500), 8) }, 1},
		{"the position is from before the start", func(s *Set) { reach(s, at(900), 9) }, 1},
		{"a replica has reached the position from after the record was read", func(s *Set) {
			s.SetMembership(at(1001), full, true)
			reach(s, at(1500), 9)
		}, 0},
		{"the position is from before the record was read", func(s *Set) {
			s.SetMembership(at(1501), full, true)
			reach(s, at(1500), 9)
		}, 1},
		{"the lost replica registers", func(s *Set) {
			s.SetMembership(at(1001), full, true)
			b, _ := testSet().Member("b")
			s.Register(at(1002), b)
		}, 0},
		{"the lost replica registers without its log", func(s *Set) {
			s.SetMembership(at(1001), full, true)
			b, _ := testSet().Member("b")
			b.Started++
			s.Register(at(1002), b)
		}, 1},
		{"another host has struck the lost replica off", func(s *Set) {
			s.SetMembership(at(1001), full, true)
			s.SetMembership(at(1002), testMembership(6, s.Members()...), true)
		}, 0},
		{"the record without the lost replica is from a copy of the store", func(s *Set) {
			s.SetMembership(at(1001), full, true)
			old := testMembership(3, s.Members()...)
			old.Revision.Era = 1
			s.SetMembership(at(1002), old, false)
		}, 1},
		{"a replica is promoted", func(s *Set) {
			s.SetMembership(at(1001), full, true)
			s.SetLead(at(1002), Lead{ID: "a", Term: 2, Version: 7})
		}, 0},
	}
}

type lossTest struct {
	name   string
	events func(s *Set)
	want   int
}

// TestFreshHostKnowsLosses guards against lost commits: a host that has just started took the
// replicas that it saw for all that may hold commits.
func TestFreshHostKnowsLosses(t *testing.T) {
	for _, tt := range freshHostTests() {
		t.Run(tt.name, func(t *testing.T) {
			s := freshSet()
			tt.events(s)
			if got := s.MissingReplicas(); got != tt.want {
				t.Errorf("%d lost replicas may hold commits, want %d", got, tt.want)
			}
		})
	}
}

// TestLossIsNotCoveredByEarlierAnswers guards against lost commits: other hosts hear of the lapse
// of a registration later, and may acknowledge commits that only the lost replica has until then.
func TestLossIsNotCoveredByEarlierAnswers(t *testing.T) {
	s := testSet()
	s.Deregister(at(1000), "b")
	s.Sample("p", at(1500), point(1, 9))
	s.StatementEnded(at(1600), "a", time.Millisecond, true, point(1, 9))
	s.Expire(at(1000).Add(removalGrace))
	if got := s.MissingReplicas(); got != 1 {
		t.Errorf("%d lost replicas may hold commits, want one", got)
	}
	if got := s.LostReplicas(at(4000)); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("the lost replicas to ask are %v, want b", got)
	}
}

// TestAwaitsReplica checks when a commit waits for a registered replica.
func TestAwaitsReplica(t *testing.T) {
	tests := []struct {
		name   string
		events func(s *Set)
		want   bool
	}{
		{"all replicas are registered", func(*Set) {}, false},
		{"a registration has lapsed", func(s *Set) { s.Deregister(at(1000), "b") }, true},
		{"the replica is lost", func(s *Set) {
			s.Deregister(at(1000), "b")
			s.Expire(at(1000).Add(removalGrace))
		}, true},
		{"another replica has the commit", func(s *Set) {
			s.Deregister(at(1000), "b")
			s.RecordReport("a", Status{Role: Replica, Term: 1, Received: point(1, 9)})
		}, false},
		{"the lapsed replica itself has it", func(s *Set) {
			s.Deregister(at(1000), "b")
			s.StatementEnded(at(1100), "b", time.Millisecond, true, point(1, 9))
			s.RecordReport("b", Status{Role: Replica, Term: 1, Received: point(1, 9)})
		}, true},
		{"another replica has less", func(s *Set) {
			s.Deregister(at(1000), "b")
			s.RecordReport("a", Status{Role: Replica, Term: 1, Received: point(1, 8)})
		}, true},
		{"the report is of another term", func(s *Set) {
			s.Deregister(at(1000), "b")
			s.RecordReport("a", Status{Role: Replica, Term: 2, Received: point(1, 9)})
		}, true},
		{"the primary is being replaced", func(s *Set) { s.SetLead(at(1000), Lead{ID: "p", Term: 1, Switching: true, Version: 2}) }, true},
		{"the primary is being replaced, and a replica has the commit", func(s *Set) {
			s.SetLead(at(1000), Lead{ID: "p", Term: 1, Switching: true, Version: 2})
			s.RecordReport("a", Status{Role: Replica, Term: 1, PausedTerm: 3, Received: point(1, 9)})
		}, false},
		{"the primary's registration has lapsed", func(s *Set) { s.Deregister(at(1000), "p") }, false},
		{"the replica restarted without its log", func(s *Set) {
			m, _ := s.Member("b")
			m.Started++
			s.Register(at(1000), m)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSet()
			tt.events(s)
			if got := s.AwaitsReplica(point(1, 9), false); got != tt.want {
				t.Errorf("AwaitsReplica gives %t, want %t", got, tt.want)
			}
		})
	}
}

// TestReplicatedByElectors guards against lost commits: the host acknowledged what only a replica had
// received that a promotion by another host does not ask, or that has another log.
func TestReplicatedByElectors(t *testing.T) {
	has := func(term int) Status {
		return Status{Role: Replica, Term: session.Term(term), Received: point(term, 9)}
	}
	tests := []struct {
		name   string
		events func(s *Set)
		want   bool
	}{
		{"no replica has reported", func(*Set) {}, false},
		{"a recorded replica has it", func(s *Set) { s.RecordReport("a", has(1)) }, true},
		{"the primary has it", func(s *Set) { s.RecordReport("p", has(1)) }, false},
		{"one that is neither registered nor recorded has it", func(s *Set) { s.RecordReport("c", has(1)) }, false},
		{"one that is registered and not recorded has it", func(s *Set) {
			s.Register(at(1000), Member{ID: "c", Role: Replica, Started: 1})
			s.RecordReport("c", has(1))
		}, false},
		{"the same, as read from the position of an answer", func(s *Set) {
			s.Register(at(1000), Member{ID: "c", Role: Replica, Started: 1})
			s.StatementEnded(at(1100), "c", time.Millisecond, true, point(1, 9))
		}, false},
		{"no record is known, and a registered replica has it", func(s *Set) {
			s.MembershipLost(revision.Revision{Era: 1, Version: 1})
			s.Register(at(1000), Member{ID: "c", Role: Replica, Started: 1})
			s.RecordReport("c", has(1))
		}, true},
		{"a recorded replica whose registration has lapsed has it", func(s *Set) {
			s.Deregister(at(1000), "a")
			s.RecordReport("a", has(1))
		}, false},
		{"a recorded replica is in a later term", func(s *Set) { s.RecordReport("a", has(2)) }, false},
		{"the same, as read from the position of an answer", func(s *Set) {
			s.StatementEnded(at(1100), "a", time.Millisecond, true, point(2, 9))
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSet()
			tt.events(s)
			if got := s.Replicated(point(1, 9)); got != tt.want {
				t.Errorf("Replicated gives %t, want %t", got, tt.want)
			}
		})
	}
}

// TestHostWithoutStoreAwaitsReplica guards against lost commits: a host that was cut off from
// the store did not hear that the registration of a replica had lapsed, and acknowledged
// commits that only this replica had received.
func TestHostWithoutStoreAwaitsReplica(t *testing.T) {
	s := testSet()
	if !s.AwaitsReplica(point(1, 9), true) {
		t.Error("a commit is acknowledged though no registered replica is known to have it")
	}
	s.RecordReport("a", Status{Role: Replica, Term: 1, Received: point(1, 9)})
	if s.AwaitsReplica(point(1, 9), true) {
		t.Error("a commit that a registered replica has is not acknowledged")
	}
}

// TestProposedMembership checks when a host proposes a new membership record.
func TestProposedMembership(t *testing.T) {
	tests := []struct {
		name   string
		events func(s *Set)
		// want is the number of replicas proposed, 0 if the record is as it should be.
		want int
	}{
		{"nothing has changed", func(*Set) {}, 0},
		{"a replica registers", func(s *Set) { s.Register(at(2), Member{ID: "c", Role: Replica, Started: 1}) }, 4},
		{"a replica restarts without its log", func(s *Set) {
			b, _ := s.Member("b")
			b.Started++
			s.Register(at(2), b)
		}, 4},
		{"a registration lapses", func(s *Set) { s.Deregister(at(2), "b") }, 0},
		{"a replica is lost", func(s *Set) {
			s.Deregister(at(2), "b")
			s.Expire(at(2).Add(removalGrace))
		}, 0},
		{"the loss is covered", func(s *Set) {
			s.Deregister(at(2), "b")
			s.Expire(at(2).Add(removalGrace))
			s.Sample("p", at(4000), point(1, 9))
			s.StatementEnded(at(4001), "a", time.Millisecond, true, point(1, 9))
		}, 3},
		{"the record is lost", func(s *Set) { s.MembershipLost(revision.Revision{Era: 1, Version: 1}) }, 3},
		{"too many replicas restart", func(s *Set) {
			b, _ := s.Member("b")
			for range 2 * MaxRecordedReplicas {
				b.Started++
				s.Register(at(2), b)
			}
			s.Sample("p", at(4000), point(1, 9))
			s.StatementEnded(at(4001), "a", time.Millisecond, true, point(1, 9))
		}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSet()
			tt.events(s)
			got, differs := s.ProposeMembership(at(5000))
			if len(got.Replicas) != tt.want || differs != (tt.want > 0) {
				t.Errorf("proposed %v, want %d replicas", got.Replicas, tt.want)
			}
		})
	}
}
