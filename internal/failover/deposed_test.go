package failover

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// loseForGood makes an endpoint silent and removes its registration.
func (f *fakeCluster) loseForGood(set *replicaset.Set, now replicaset.Instant, id replicaset.EndpointID) {
	f.setReport(id, f.report(id), true)
	set.Deregister(now, id)
	set.Expire(now.Add(time.Minute))
}

// runUntil runs a manager until the group is led by one of the members, or for d.
func runUntil(t *testing.T, m *Manager, set *replicaset.Set, d time.Duration, leads func(l replicaset.Lead) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	for ctx.Err() == nil && !leads(set.Lead()) {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestDeposedPrimaryIsReplaced guards against a group that is never served again: the recorded primary
// was a replica by its own word, after a DEMOTE whose promotion did not come about or a restart, and
// nothing was a reason to replace it.
func TestDeposedPrimaryIsReplaced(t *testing.T) {
	demoted := replicaset.Status{Role: replicaset.Replica, Term: 1, Received: at(1, 12)}
	reborn := replicaset.Status{Role: replicaset.Replica}
	switching := replicaset.Lead{ID: "p", Term: 1, Switching: true, Holder: "host-2", Token: 4}
	tests := []struct {
		name   string
		old    replicaset.Status
		lost   bool
		record replicaset.Lead
		// stop is the position of the record's StopPoint, opened the version at which the era was opened.
		stop, opened int
		want         []replicaset.EndpointID
	}{
		{"the primary was demoted, and all answer", demoted, false, replicaset.Lead{ID: "p", Term: 1}, 0, 1, []replicaset.EndpointID{"b"}},
		{"a replica is gone, too, and only the old primary has all of its log", demoted, true, replicaset.Lead{ID: "p", Term: 1}, 0, 1, []replicaset.EndpointID{"p"}},
		{"the other one has all that was acknowledged before the switch", demoted, true, switching, 8, 1, []replicaset.EndpointID{"a"}},
		{"the other one may lack what was acknowledged before the switch", demoted, true, switching, 9, 1, []replicaset.EndpointID{"p"}},
		{"the switch is from a copy of the store", demoted, true, switching, 8, 100, []replicaset.EndpointID{"p"}},
		{"the primary started again and holds nothing", reborn, false, replicaset.Lead{ID: "p", Term: 1}, 0, 1, []replicaset.EndpointID{"b"}},
		{"the same, and a replica is gone, too", reborn, true, replicaset.Lead{ID: "p", Term: 1}, 0, 1, nil},
		{"the primary leads", replicaset.Status{Role: replicaset.Primary, Term: 1, Received: at(1, 9)}, false, replicaset.Lead{ID: "p", Term: 1}, 0, 1, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			cluster.state.Openings = map[revision.Era]EraOpening{0: {Version: revision.Version(tt.opened), Terms: map[session.Group]session.Term{"g": 1}}}
			m, set := cluster.manager(t)
			cluster.setReport("p", tt.old, false)
			if tt.stop != 0 {
				tt.record.StopPoint = at(1, tt.stop)
			}
			set.SetLead(m.Engine.BootTime(), cluster.setLead(tt.record))
			cluster.observe(m)
			old, _ := set.Member("p")
			old.Role = replicaset.Replica
			set.Register(m.Engine.BootTime(), old)
			if tt.lost {
				cluster.loseForGood(set, m.Engine.BootTime(), "b")
			}
			runUntil(t, m, set, 9*time.Second, func(l replicaset.Lead) bool { return l.Term == 2 && !l.Switching })
			if got := cluster.promotions(); !slices.Equal(got, tt.want) {
				t.Errorf("promoted %v, want %v", got, tt.want)
			}
			if lead := set.Lead(); tt.want != nil && (lead.ID != tt.want[0] || lead.Switching || lead.StopPoint != (session.Point{})) {
				t.Errorf("the lead is %+v, want %s", lead, tt.want[0])
			}
		})
	}
}

// TestLossOfThePromoted guards against a group that is never served again: the replica to be promoted was
// lost between the call and its effect, when the old primary had been demoted, and that one was
// recorded as the primary again.
func TestLossOfThePromoted(t *testing.T) {
	t.Parallel()
	cluster := newFakeCluster()
	m, set := cluster.manager(t)
	cluster.setReport("a", replicaset.Status{Role: replicaset.Replica, Term: 1, Received: at(1, 9)}, false)
	set.SetLead(m.Engine.BootTime(), cluster.setLead(replicaset.Lead{ID: "p", Term: 1}))
	cluster.observe(m)
	var lost replicaset.EndpointID
	m.Promote = func(ctx context.Context, g session.Group, id replicaset.EndpointID, holder string, token uint64) error {
		if lost != "" {
			return cluster.promote(ctx, g, id, holder, token)
		}
		lost = id
		cluster.setReport(id, cluster.report(id), true)
		time.AfterFunc(time.Second, func() { cluster.loseForGood(set, m.Engine.BootTime(), id) })
		return nil
	}
	// What the primary has written since no replica receives is not acknowledged.
	cluster.setReport("p", replicaset.Status{Role: replicaset.Primary, Term: 1, Received: at(1, 12)}, false)
	m.switchover(context.Background(), set, set.Lead().Revision(), reasonStuck)
	if got := cluster.lead(); !got.Switching || got.StopPoint != at(1, 9) {
		t.Fatalf("the record of the failed switch is %+v, want the bound of what was acknowledged in it", got)
	}
	runUntil(t, m, set, 15*time.Second, func(l replicaset.Lead) bool { return l.Term == 2 && !l.Switching })
	other := replicaset.EndpointID("a")
	if lost == other {
		other = "b"
	}
	if lead := cluster.lead(); lead.ID != other || lead.Switching {
		t.Errorf("%s is lost, and the record is %+v, want %s", lost, lead, other)
	}
}
