package failover

import (
	"context"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestSwitchThatCannotEnd guards against switches that cannot complete. In a network
// partition, a host that reached neither the primary nor one of the replicas recorded a
// switch again and again. Until it gave up, no host used the primary, which others still
// reached.
func TestSwitchThatCannotEnd(t *testing.T) {
	tests := []struct {
		name   string
		change func(cluster *fakeCluster, set *replicaset.Set)
	}{
		{"a replica does not answer", func(cluster *fakeCluster, _ *replicaset.Set) { cluster.silent["b"] = true }},
		{"a replica lost its log", func(_ *fakeCluster, set *replicaset.Set) {
			m, _ := set.Member("b")
			m.Started = 2
			set.Register(replicaset.Instant(time.Minute), m)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			m, set := cluster.manager(t)
			cluster.silent["p"] = true
			tt.change(cluster, set)
			set.RecordFailure(m.Engine.BootTime().Add(-time.Second), "p")
			ctx, cancel := context.WithTimeout(context.Background(), deadAfter+2*minReceiveGap+3*surveyInterval)
			defer cancel()
			m.confirmAndSwitch(ctx, set, set.Lead(), reasonSilent)
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			if len(cluster.changes) != 0 {
				t.Errorf("a switch was recorded: %+v", cluster.changes)
			}
		})
	}
}

// TestReliefIsRare guards against two switches of a group in a row: a host relieved the
// primary right after another host had switched the group.
func TestReliefIsRare(t *testing.T) {
	cluster := newFakeCluster()
	m, set := cluster.manager(t)
	set.SetLead(m.Engine.BootTime(), replicaset.Lead{ID: "b", Term: 1, Version: 3})
	if m.reliefAllowed(set) {
		t.Error("a primary that has just been recorded may be relieved")
	}
	set.SetLead(m.Engine.BootTime().Add(-minReliefInterval), replicaset.Lead{ID: "a", Term: 2, Version: 4})
	if !m.reliefAllowed(set) {
		t.Errorf("a primary cannot be relieved %s after it was recorded", minReliefInterval)
	}
}
