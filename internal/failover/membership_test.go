package failover

import (
	"context"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestFreshHostAwaitsLostCommits guards against lost commits: a host that started after a
// replica was lost promoted the other one, which lacked what the lost one held, although the
// primary lived, or was only away.
func TestFreshHostAwaitsLostCommits(t *testing.T) {
	tests := []struct {
		name, reason string
		primaryDark  bool
	}{
		{"the primary lives and waits for a replica", reasonStuck, false},
		{"the primary does not answer", reasonSilent, true},
		{"the primary is no longer registered", reasonGone, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			cluster.absent = map[replicaset.EndpointID]bool{"a": true}
			cluster.silent["a"], cluster.silent["p"] = true, tt.primaryDark
			cluster.setLag("p", 0, at(1, 12))
			m, set := cluster.manager(t)
			set.RecordCommitAnswer(m.Engine.BootTime().Add(-time.Second), false)
			set.RecordFailure(m.Engine.BootTime().Add(-time.Second), "p")
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			if m.confirmFailure(ctx, set, set.Lead(), tt.reason) {
				t.Error("the primary is to be replaced")
			}
			m.switchover(context.Background(), set, set.Lead().Revision(), tt.reason)
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			if len(cluster.promoted) > 0 {
				t.Errorf("%v is promoted at 1/9, commits up to 1/12 may be acknowledged", cluster.promoted)
			}
		})
	}
}

// TestReplicaCutFromStoreIsAsked guards against lost commits: a replica that is cut off from
// the store, but not from its primary, was passed over at a promotion once its registration
// had lapsed, although commits were acknowledged with it since.
func TestReplicaCutFromStoreIsAsked(t *testing.T) {
	tests := []struct {
		name string
		// received is the log of the unregistered replica b; a is at 1/9.
		received int
		full     bool
		promoted bool
	}{
		{"it has received more than the others", 12, false, false},
		{"it has received as much as another", 9, false, true},
		{"it runs, and has no connection left", 12, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			cluster.setLag("a", 0, at(1, 9))
			m, set := cluster.manager(t)
			now := m.Engine.BootTime()
			set.Deregister(now.Add(-3*time.Second), "b")
			set.Expire(now)
			set.Sample("p", now.Add(time.Millisecond), at(1, 9))
			set.StatementEnded(now.Add(2*time.Millisecond), "a", time.Millisecond, true, at(1, 9))
			cluster.setLag("b", 0, at(1, tt.received))
			cluster.silent["p"], cluster.full = true, map[replicaset.EndpointID]bool{"b": tt.full}
			m.switchover(context.Background(), set, set.Lead().Revision(), reasonSilent)
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			if got := len(cluster.promoted) > 0; got != tt.promoted {
				t.Errorf("promoted %v, want a promotion: %t", cluster.promoted, tt.promoted)
			}
			if st := cluster.reports["b"]; st.PausedTerm != 0 {
				t.Errorf("the unregistered replica is left paused: %s", st)
			}
		})
	}
}

// TestFailedPauseBesideUnregisteredReplica guards against a switch that ends in a panic: a
// registered replica did not answer, while one whose registration had lapsed did.
func TestFailedPauseBesideUnregisteredReplica(t *testing.T) {
	cluster := newFakeCluster()
	cluster.state.Leads["g"] = replicaset.Lead{ID: "p", Term: 1, Version: 1}
	m, set := cluster.manager(t)
	now := m.Engine.BootTime()
	set.SetLead(now, cluster.state.Leads["g"])
	set.Deregister(now.Add(-3*time.Second), "b")
	set.Expire(now)
	cluster.silent["p"], cluster.silent["a"] = true, true
	m.switchover(context.Background(), set, set.Lead().Revision(), reasonSilent)
	if len(cluster.promoted) > 0 || set.Lead().Switching {
		t.Errorf("promoted %v, the lead is %+v; want none, and the old primary", cluster.promoted, set.Lead())
	}
}

// recordedReplicas returns how many replicas the store's record of the group names, and how
// many of them are covered.
func (f *fakeCluster) recordedReplicas() (total, covered int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.state.Memberships["g"].Replicas {
		total++
		if r.Covered {
			covered++
		}
	}
	return total, covered
}

// eventually waits until the record names the given numbers of replicas.
func (f *fakeCluster) eventually(t *testing.T, total, covered int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		n, c := f.recordedReplicas()
		if n == total && c == covered {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the record names %d replicas, %d covered; want %d and %d", n, c, total, covered)
		}
	}
}

func (f *fakeCluster) observe(m *Manager) {
	st, _ := f.read(context.Background())
	m.Observe(st, m.Engine.BootTime())
}

// TestMembershipIsRecorded checks the life of a membership record: written once the host knows
// that no replica was lost before, with a lost replica until its loss is covered, and adopted
// by a host that starts later.
func TestMembershipIsRecorded(t *testing.T) {
	cluster := newFakeCluster()
	cluster.recorded = false
	m, set := cluster.manager(t)
	cluster.observe(m)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	defer func() { cancel(); <-done }()
	cluster.eventually(t, 3, 0)

	cluster.mu.Lock()
	cluster.setLag("p", 0, at(1, 12))
	cluster.mu.Unlock()
	now := m.Engine.BootTime()
	set.Deregister(now.Add(-2500*time.Millisecond), "b")
	set.Expire(now)
	time.Sleep(membershipInterval)
	if n, covered := cluster.recordedReplicas(); n != 3 || covered != 0 || set.MissingReplicas() != 1 {
		t.Errorf("%d replicas are recorded, %d of them covered, %d missing; want the lost one, not covered", n, covered, set.MissingReplicas())
	}
	late := newFakeCluster()
	late.absent, late.recorded = map[replicaset.EndpointID]bool{"b": true}, false
	fresh, freshSet := late.manager(t)
	cluster.observe(fresh)
	if !freshSet.Complete() || freshSet.MissingReplicas() != 1 {
		t.Errorf("a host that starts later knows of %d lost replicas, want one", freshSet.MissingReplicas())
	}

	cluster.mu.Lock()
	cluster.setLag("a", 0, at(1, 20))
	cluster.mu.Unlock()
	cluster.eventually(t, 3, 1)
	cluster.observe(fresh)
	if got := freshSet.MissingReplicas(); got != 0 {
		t.Errorf("the other host waits for %d lost replicas, want none", got)
	}
}

// TestPrimaryUnderAnotherID guards against a group that is refused for as long as a lost
// replica is missing, although its primary is back with its log, registered under another ID.
func TestPrimaryUnderAnotherID(t *testing.T) {
	cluster := newFakeCluster()
	cluster.absent = map[replicaset.EndpointID]bool{"a": true}
	cluster.reports["b"] = replicaset.Status{Role: replicaset.Primary, Term: 1, Received: at(1, 12)}
	m, set := cluster.manager(t)
	lead := replicaset.Lead{ID: "p", Term: 1, Version: 1}
	cluster.state.Leads["g"] = lead
	set.SetLead(m.Engine.BootTime(), lead)
	now := m.Engine.BootTime()
	set.Deregister(now.Add(-time.Minute), "p")
	set.Expire(now)
	if reason := m.suspicion(set, lead); reason != reasonGone {
		t.Fatalf("the reason to check the group is %q, want %q", reason, reasonGone)
	}
	m.confirmAndSwitch(context.Background(), set, lead, reasonGone)
	if rec := cluster.state.Leads["g"]; rec.ID != "b" || rec.Term != 1 || len(cluster.promoted) != 0 {
		t.Errorf("the store records %+v after the promotions %v, want b with term 1 and none", rec, cluster.promoted)
	}
	if now := set.Lead(); now.ID != "b" || m.suspicion(set, now) != "" {
		t.Errorf("the host knows %+v and checks the group again", now)
	}
}

// TestSwitchEndsWithItsRecord guards against lost commits: a switch went on after another host
// had recorded a promotion from before it, and promoted a replica of the earlier term.
func TestSwitchEndsWithItsRecord(t *testing.T) {
	cluster := newFakeCluster()
	cluster.silent["p"] = true
	m, set := cluster.manager(t)
	cluster.onPause = func() {
		set.SetLead(m.Engine.BootTime(), replicaset.Lead{ID: "a", Term: 2, Version: 50})
	}
	m.switchover(context.Background(), set, set.Lead().Revision(), reasonSilent)
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if len(cluster.promoted) > 0 {
		t.Errorf("%v is promoted, a leads term 2", cluster.promoted)
	}
}
