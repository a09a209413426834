package failover

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestMissingReplicaIsAwaited guards against lost commits and against a group that is held back for ever: the
// primary and a replica are gone, and only that one may have received a commit.
func TestMissingReplicaIsAwaited(t *testing.T) {
	tests := []struct {
		name string
		// setUp makes b missing in a group whose primary is silent, and returns it after a while.
		setUp func(f *fakeCluster, set *replicaset.Set, now func() replicaset.Instant)
		// promoted is set if a is promoted, after at least missingTimeout.
		promoted bool
	}{
		{"both are gone", func(f *fakeCluster, set *replicaset.Set, now func() replicaset.Instant) {
			f.loseForGood(set, now(), "p")
			f.loseForGood(set, now(), "b")
		}, true},
		{"the primary is registered", func(f *fakeCluster, set *replicaset.Set, now func() replicaset.Instant) {
			f.setReport("p", f.report("p"), true)
			f.loseForGood(set, now(), "b")
		}, false},
		{"the replica runs, cut off from the store, and is ahead", func(f *fakeCluster, set *replicaset.Set, now func() replicaset.Instant) {
			f.loseForGood(set, now(), "p")
			set.Deregister(now(), "b")
			set.Expire(now().Add(time.Minute))
		}, false},
		{"this host has acknowledged what no other replica has", func(f *fakeCluster, set *replicaset.Set, now func() replicaset.Instant) {
			set.Acknowledge(at(1, 9))
			f.loseForGood(set, now(), "p")
			f.loseForGood(set, now(), "b")
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newFakeCluster()
				m, set := cluster.manager(t)
				cluster.knowLead(m, set)
				cluster.observe(m)
				tt.setUp(cluster, set, m.Engine.BootTime)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- m.Run(ctx) }()
				began := time.Now()
				var after time.Duration
				for time.Since(began) < 30*time.Second && after == 0 {
					set.RecordFailure(m.Engine.BootTime(), "p")
					time.Sleep(100 * time.Millisecond)
					if len(cluster.promotions()) > 0 {
						after = time.Since(began)
					}
				}
				cancel()
				if err := <-done; err != nil {
					t.Fatal(err)
				}
				if after != 0 != tt.promoted || after != 0 && after < missingTimeout {
					t.Errorf("a replica is promoted after %s (0: never), want a promotion: %t, after %s at least", after, tt.promoted, missingTimeout)
				}
			})
		})
	}
}

// TestReplicaWithoutItsLogIsMissing guards against lost commits: the only replica that had received them
// started again with nothing under its old entry, and its answers counted as those of the one before.
func TestReplicaWithoutItsLogIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster()
		m, set := cluster.manager(t)
		lead := cluster.knowLead(m, set)
		cluster.observe(m)
		m.survey(t.Context(), set, lead)
		time.Sleep(2 * time.Second)
		cluster.setReport("b", replicaset.Status{Role: replicaset.Replica, Term: 1}, false)
		cluster.setReport("p", cluster.report("p"), true)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		for ctx.Err() == nil {
			set.RecordFailure(m.Engine.BootTime(), "p")
			time.Sleep(100 * time.Millisecond)
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if got := cluster.promotions(); len(got) > 0 {
			t.Errorf("%v is promoted, and lacks what only b had received", got)
		}
	})
}
