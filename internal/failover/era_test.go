package failover

import (
	"context"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// restore brings the fake store back with an earlier state, in the next era.
func (f *fakeCluster) restore(copied State, version revision.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state, f.version = copied, version
	f.era++
}

// copyState returns the store's state as a copy would hold it.
func (f *fakeCluster) copyState(t *testing.T) (State, revision.Version) {
	t.Helper()
	st, err := f.read(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return st, f.version
}

// TestTokenAfterRestore guards against two hosts that promote with the same fencing token,
// because the store has lost that it was given out.
func TestTokenAfterRestore(t *testing.T) {
	cluster := newFakeCluster()
	cluster.silent["p"] = true
	copied, version := cluster.copyState(t)
	first, set := cluster.manager(t)
	first.switchover(context.Background(), set, set.Lead().Revision(), reasonSilent)
	cluster.restore(copied, version)
	cluster.state.Openings = map[revision.Era]EraOpening{1: {Version: 1}}
	// The promoted replica has been demoted since; while it leads, the second host would record it.
	cluster.setReport("b", replicaset.Status{Role: replicaset.Replica, Term: 2, Received: at(1, 9)}, false)
	second, set := cluster.manager(t)
	second.HostID = "host-2"
	second.switchover(context.Background(), set, set.Lead().Revision(), reasonSilent)
	if n := len(cluster.tokens); n != 2 || cluster.tokens[1] <= cluster.tokens[0] {
		t.Errorf("promotions before and after the restore have the tokens %v, want a higher one after it", cluster.tokens)
	}
}

// TestTokenAboveStoredOne guards against a lower fencing token where an earlier release has
// counted tokens beyond the store's version.
func TestTokenAboveStoredOne(t *testing.T) {
	tests := []struct {
		last uint64
		read revision.Revision
		want uint64
	}{
		{0, revision.Revision{}, 1},
		{7, revision.Revision{Version: 3}, 8},
		{7, revision.Revision{Era: 1, Version: 3}, revision.Revision{Era: 1, Version: 3}.Pack()},
		{revision.Revision{Era: 1, Version: 9}.Pack(), revision.Revision{Era: 1, Version: 9}, revision.Revision{Era: 1, Version: 10}.Pack()},
		{revision.Revision{Era: 1, Version: 90}.Pack(), revision.Revision{Era: 2, Version: 5}, revision.Revision{Era: 2, Version: 5}.Pack()},
	}
	for _, tt := range tests {
		if got := nextToken(tt.last, tt.read); got != tt.want {
			t.Errorf("the token after %d, read at %v, is %d, want %d", tt.last, tt.read, got, tt.want)
		}
	}
}

// TestNoPromotionBesideLostLease guards against two hosts that promote at the same time: one
// holds a lease that the store has lost, the other one acquires it anew.
func TestNoPromotionBesideLostLease(t *testing.T) {
	cluster := newFakeCluster()
	cluster.silent["p"] = true
	m, set := cluster.manager(t)
	copied, version := cluster.copyState(t)
	cluster.restore(copied, version)
	var skipped time.Duration
	boot := m.Engine.BootTime
	m.Engine.BootTime = func() replicaset.Instant { return boot().Add(skipped) }
	m.switchover(context.Background(), set, set.Lead().Revision(), reasonSilent)
	if len(cluster.promoted) != 0 {
		t.Fatal("a primary is promoted while a lost lease may be in force")
	}
	skipped = eraSettleTime - 500*time.Millisecond
	if m.checkEra(context.Background()); m.era.opening {
		t.Errorf("the era is opened %s after it was first seen, want %s", skipped, eraSettleTime)
	}
	skipped = eraSettleTime + time.Second
	m.checkEra(context.Background())
	m.wg.Wait()
	m.switchover(context.Background(), set, set.Lead().Revision(), reasonSilent)
	if len(cluster.promoted) != 1 {
		t.Errorf("%d promotions after the lost lease has ended, want one", len(cluster.promoted))
	}
}

// TestNoCallWithLostLease guards against a promote call that is sent after another host may
// have acquired the lease, which the store had lost. A call has to follow the last proof of
// the lease so soon that it has ended by the time at which the era is opened.
func TestNoCallWithLostLease(t *testing.T) {
	tests := []struct {
		name string
		// age is how long before the call the lease was acquired.
		age     time.Duration
		restore bool
		calls   int
	}{
		{"just acquired", 0, true, 1},
		{"shown again", 2 * leaseProofTime, false, 1},
		{"lost meanwhile", 2 * leaseProofTime, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			m, set := cluster.manager(t)
			copied, version := cluster.copyState(t)
			r := &replacement{Manager: m, set: set, suspected: set.Lead().Revision()}
			if err := r.claimSwitch(context.Background(), 1); err != nil {
				t.Fatal(err)
			}
			r.leaseShownAt = r.leaseShownAt.Add(-tt.age)
			if tt.restore {
				cluster.restore(copied, version)
			}
			_, _ = r.promote(context.Background(), "b", cluster.reports["b"])
			if len(cluster.promoted) != tt.calls {
				t.Errorf("%d promote calls, want %d", len(cluster.promoted), tt.calls)
			}
			if limit := leaseProofTime + promoteTimeout; limit >= eraSettleTime {
				t.Errorf("a call may end %s after the lease was shown, the era is opened after %s", limit, eraSettleTime)
			}
		})
	}
}

// TestSwitchIsRecordedAfterRestore guards against a promotion that no host records, because
// the store came back without the record of the switch before it was finished.
func TestSwitchIsRecordedAfterRestore(t *testing.T) {
	cluster := newFakeCluster()
	cluster.silent["p"] = true
	m, set := cluster.manager(t)
	copied, version := cluster.copyState(t)
	m.Promote = func(ctx context.Context, g session.Group, id replicaset.EndpointID, holder string, token uint64) error {
		cluster.restore(copied, version)
		return cluster.promote(ctx, g, id, holder, token)
	}
	m.switchover(context.Background(), set, set.Lead().Revision(), reasonSilent)
	if lead := cluster.state.Leads["g"]; lead.ID != "b" || lead.Term != 2 || lead.Switching {
		t.Errorf("the store records %+v, want b with term 2", lead)
	}
	if lead := set.Lead(); lead.ID != "b" || lead.Era != 1 {
		t.Errorf("the host knows %+v, want b, recorded in era 1", lead)
	}
}

// TestLostRecordIsWrittenAgain guards against a primary that hosts which start after a
// restore never learn of: the store holds the record of the promotion before.
func TestLostRecordIsWrittenAgain(t *testing.T) {
	tests := []struct {
		name string
		// knows is set for a host that learned of the promotion before the restore.
		knows bool
		want  string
	}{
		{"a host knows the lost promotion", true, reasonUnrecorded},
		{"only the members know it", false, reasonSuperseded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			cluster.reports["p"] = replicaset.Status{Role: replicaset.Replica, Term: 2, Received: at(2, 9)}
			cluster.reports["a"] = replicaset.Status{Role: replicaset.Primary, Term: 2, Received: at(2, 9)}
			cluster.reports["b"] = replicaset.Status{Role: replicaset.Replica, Term: 2, Received: at(2, 9)}
			cluster.era, cluster.version = 2, 5
			copied := replicaset.Lead{ID: "p", Term: 1, Era: 2, Version: 4}
			cluster.state.Leads["g"] = copied
			m, set := cluster.manager(t)
			if tt.knows {
				set.SetLead(m.Engine.BootTime(), replicaset.Lead{ID: "a", Term: 2, Era: 1, Version: 9})
			}
			set.SetLead(m.Engine.BootTime(), copied)
			if !tt.knows {
				set.ReportTerm(2)
			}
			reason := m.suspicion(set, set.Lead())
			if reason != tt.want {
				t.Fatalf("the reason to check the group is %q, want %q", reason, tt.want)
			}
			m.confirmAndSwitch(context.Background(), set, set.Lead(), reason)
			if lead := cluster.state.Leads["g"]; lead.ID != "a" || lead.Term != 2 {
				t.Errorf("the store records %+v, want a with term 2", lead)
			}
			if len(cluster.promoted) != 0 {
				t.Errorf("%v is promoted, want no promotion", cluster.promoted)
			}
			if lead := set.Lead(); lead.ID != "a" || m.suspicion(set, lead) != "" {
				t.Errorf("the host knows %+v and checks the group again", lead)
			}
		})
	}
}

// TestSupersededPrimaryIsRead guards against the loss of a commit: the primary of a promotion
// that the store has lost is gone, and the recorded one before it, a replica by now, holds the
// only other copy.
func TestSupersededPrimaryIsRead(t *testing.T) {
	cluster := newFakeCluster()
	cluster.reports["p"] = replicaset.Status{Role: replicaset.Replica, Term: 2, Received: at(2, 12)}
	cluster.reports["b"] = replicaset.Status{Role: replicaset.Replica, Term: 2, Received: at(2, 10)}
	m, set := cluster.manager(t)
	lead := replicaset.Lead{ID: "p", Term: 1, Version: 1}
	cluster.state.Leads["g"] = lead
	set.SetLead(m.Engine.BootTime(), lead)
	now := m.Engine.BootTime()
	set.Deregister(now.Add(-time.Minute), "a")
	set.Expire(now.Add(-30 * time.Second))
	set.ReportTerm(2)
	m.switchover(context.Background(), set, lead.Revision(), reasonSuperseded)
	if len(cluster.promoted) != 1 || cluster.promoted[0] != "p" {
		t.Errorf("promoted %v, want p, which has received most", cluster.promoted)
	}
}

// TestConfirmed guards against reads from an old primary: the record that seems to prove that
// it leads comes from a copy of the store, and a promotion since is lost.
func TestConfirmed(t *testing.T) {
	opening := map[revision.Era]EraOpening{2: {Version: 20, Terms: map[session.Group]session.Term{"g": 3}}}
	tests := []struct {
		name     string
		lead     replicaset.Lead
		openings map[revision.Era]EraOpening
		want     bool
	}{
		{"the era is not open", replicaset.Lead{ID: "p", Term: 3, Era: 2, Version: 9}, map[revision.Era]EraOpening{1: {Version: 2}}, false},
		{"the record is of the confirmed term", replicaset.Lead{ID: "p", Term: 3, Era: 2, Version: 9}, opening, true},
		{"a promotion since is lost", replicaset.Lead{ID: "p", Term: 2, Era: 2, Version: 9}, opening, false},
		{"recorded since the era was opened", replicaset.Lead{ID: "p", Term: 4, Era: 2, Version: 21}, opening, true},
		{"nothing is recorded", replicaset.Lead{}, opening, true},
		{"the term was not confirmed", replicaset.Lead{ID: "p", Term: 3, Era: 2, Version: 9}, map[revision.Era]EraOpening{2: {Version: 20}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			st := State{Leads: map[session.Group]replicaset.Lead{}, Openings: tt.openings, Revision: revision.Revision{Era: 2, Version: 30}}
			if tt.lead.Version != 0 {
				st.Leads["g"] = tt.lead
			}
			lead, ok := st.Confirmed("g")
			if ok != tt.want || ok && tt.lead.Version == 0 && lead.Term != 3 {
				t.Errorf("Confirmed returns %+v, %t, want %t", lead, ok, tt.want)
			}
		})
	}
}

// TestClockOfNewEra guards against a lease that seems to have expired, because the store's
// clock is estimated from readings before it came back.
func TestClockOfNewEra(t *testing.T) {
	cluster := newFakeCluster()
	m, _ := cluster.manager(t)
	now := m.Engine.BootTime()
	state := func(era revision.Era, v revision.Version, l Lease, clock time.Duration) State {
		return State{Lease: l, Now: clock, Revision: revision.Revision{Era: era, Version: v}, Openings: map[revision.Era]EraOpening{era: {Version: 1}}}
	}
	m.Observe(state(1, 9, Lease{}, time.Minute), now)
	m.Observe(state(2, 5, Lease{Holder: "host-2", Until: 35 * time.Second, Era: 2, Version: 5}, 30*time.Second), now)
	m.Observe(state(1, 12, Lease{Era: 1, Version: 12}, 2*time.Minute), now)
	if m.leaseFree() {
		t.Error("a lease that another host has just acquired counts as free")
	}
}
