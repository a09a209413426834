package failover

import (
	"context"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestGroupWithoutKnownPrimary guards against a group that is never served again: its primary was lost
// while all hosts were down, and was not recorded because the group had never been switched.
func TestGroupWithoutKnownPrimary(t *testing.T) {
	follower := replicaset.Status{Role: replicaset.Replica, Term: 1, Received: at(1, 9)}
	tests := []struct {
		name   string
		change func(cluster *fakeCluster)
		lead   replicaset.EndpointID
		// promoted is set if lead has to be promoted.
		promoted bool
	}{
		{"the primary is gone", func(cluster *fakeCluster) { cluster.silent["p"] = true }, "b", true},
		{"the primary is cut off from the store", func(*fakeCluster) {}, "p", false},
		{"a replica does not answer", func(cluster *fakeCluster) {
			cluster.silent["p"], cluster.silent["a"] = true, true
		}, "", false},
		{"a replica is gone as well", func(cluster *fakeCluster) {
			cluster.silent["p"], cluster.silent["a"] = true, true
			cluster.absent["a"] = true
		}, "", false},
		{"no record names the members", func(cluster *fakeCluster) {
			cluster.silent["p"], cluster.recorded = true, false
		}, "", false},
		{"a replica was promoted, and nothing recorded it", func(cluster *fakeCluster) {
			cluster.silent["p"] = true
			cluster.reports["a"] = replicaset.Status{Role: replicaset.Primary, Term: 2, Received: at(1, 9)}
			cluster.reports["b"] = follower
		}, "a", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			cluster.absent = map[replicaset.EndpointID]bool{"p": true}
			tt.change(cluster)
			m, set := cluster.manager(t)
			ctx, cancel := context.WithTimeout(context.Background(), unknownAfter+5*time.Second)
			defer cancel()
			done := make(chan error, 1)
			go func() { done <- m.Run(ctx) }()
			for ctx.Err() == nil && (set.Lead().ID == "" || tt.promoted && (set.Lead().ID != tt.lead || set.Lead().Switching)) {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			got := set.Lead()
			cancel()
			if err := <-done; err != nil {
				t.Fatal(err)
			}
			if got.ID != tt.lead || (len(cluster.promotions()) > 0) != tt.promoted {
				t.Errorf("the lead is %+v after the promotions %v, want %q", got, cluster.promotions(), tt.lead)
			}
		})
	}
}

// TestLatePrimaryIsAwaited guards against a promotion beside a primary that registers a little later
// than its replicas do, for instance when the deployment starts.
func TestLatePrimaryIsAwaited(t *testing.T) {
	cluster := newFakeCluster()
	cluster.absent = map[replicaset.EndpointID]bool{"p": true}
	m, set := cluster.manager(t)
	for _, since := range []time.Duration{0, unknownAfter / 2} {
		now := m.Engine.BootTime().Add(since)
		if got := set.PrimaryUnknownFor(now); got >= unknownAfter {
			t.Errorf("the primary counts as unknown for %s after %s", got, since)
		}
	}
	if got := m.suspicion(set, set.Lead()); got != "" {
		t.Errorf("the reason to check the group is %q before the primary has had time to register", got)
	}
	set.Register(m.Engine.BootTime(), replicaset.Member{ID: "p", Group: "g", Address: "p", Role: replicaset.Primary, Slots: 1, Started: 1})
	if lead := set.Lead(); lead.ID != "p" || set.MissingReplicas() != 0 || set.PrimaryUnknownFor(m.Engine.BootTime().Add(time.Hour)) != 0 {
		t.Errorf("the lead is %+v and %d replicas are missing once the primary has registered", lead, set.MissingReplicas())
	}
}

// TestPrimaryIsRecordedAtOpening guards against hosts that do not know which member led before it was
// lost: a group that was never switched has no record of its own.
func TestPrimaryIsRecordedAtOpening(t *testing.T) {
	cluster := newFakeCluster()
	cluster.state.Openings = nil
	first, _ := cluster.manager(t)
	cluster.observe(first)
	first.openEra(context.Background(), 0)
	cluster.absent = map[replicaset.EndpointID]bool{"p": true}
	cluster.silent["p"] = true
	second, set := cluster.manager(t)
	cluster.observe(second)
	if lead := set.Lead(); lead.ID != "p" || lead.Term != 1 || set.MissingReplicas() != 0 {
		t.Errorf("a host that starts later takes %+v for the primary with %d replicas missing, want p in term 1 and none", lead, set.MissingReplicas())
	}
	if got := second.suspicion(set, set.Lead()); got != reasonGone {
		t.Errorf("the reason to check the group is %q, want %q", got, reasonGone)
	}
}
