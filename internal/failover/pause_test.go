package failover

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// order is a control request that a host sent, with the store's record of the group then.
type order struct {
	id     replicaset.EndpointID
	kind   engine.OpKind
	record replicaset.Lead
}

// orders are the control requests of a host in the order in which it sent them.
type orders struct {
	mu   sync.Mutex
	sent []order
}

// watch collects the control requests of a host. If before is set, it is called before each
// request is delivered, with the number of requests of its kind so far.
func (f *fakeCluster) watch(m *Manager, before func(o order, n int)) *orders {
	all := &orders{}
	dial := m.Engine.Dial
	m.Engine.Dial = func(ctx context.Context, member replicaset.Member, a session.Account) (*engine.Conn, error) {
		c, err := dial(ctx, member, a)
		if err != nil {
			return nil, err
		}
		deliver := c.Do
		c.Do = func(deadline time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
			f.mu.Lock()
			o := order{member.ID, ops[0].Kind, f.state.Leads["g"]}
			f.mu.Unlock()
			n := all.add(o)
			if before != nil {
				before(o, n)
			}
			return deliver(deadline, ops...)
		}
		return c, nil
	}
	return all
}

// add appends a request and returns the number of requests of its kind.
func (l *orders) add(o order) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, o)
	n := 0
	for _, other := range l.sent {
		if other.kind == o.kind {
			n++
		}
	}
	return n
}

// count returns the number of requests so far.
func (l *orders) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sent)
}

// after returns the requests of a kind beyond the first n requests of all kinds.
func (l *orders) after(n int, kind engine.OpKind) []order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.sent[n:]), func(o order) bool { return o.kind != kind })
}

// noneDuringSwitch checks that no replica was resumed while the store showed a switch.
func (l *orders) noneDuringSwitch(t *testing.T) {
	t.Helper()
	for _, o := range l.after(0, engine.OpResume) {
		if o.record.Switching {
			t.Errorf("%s is resumed while the store records a switch of %s", o.id, o.record.Holder)
		}
	}
}

// setLead records a lead in the store as the next version and returns it.
func (f *fakeCluster) setLead(l replicaset.Lead) replicaset.Lead {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	l.Version = f.version
	f.state.Leads["g"] = l
	return l
}

// setReport sets what an endpoint reports, and whether it answers.
func (f *fakeCluster) setReport(id replicaset.EndpointID, st replicaset.Status, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[id], f.silent[id] = st, silent
}

func (f *fakeCluster) report(id replicaset.EndpointID) replicaset.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports[id]
}

func (f *fakeCluster) lead() replicaset.Lead {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Leads["g"]
}

// promotions returns the endpoints of the promote calls so far.
func (f *fakeCluster) promotions() []replicaset.EndpointID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.promoted)
}

// startOtherSwitch lets host-2 replace the primary: it records the switch and pauses the
// replicas that still follow the old primary.
func (f *fakeCluster) startOtherSwitch() replicaset.Lead {
	l := f.setLead(replicaset.Lead{ID: "p", Term: 1, Switching: true, Token: 99, Holder: "host-2", Until: time.Minute})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Lease = Lease{Holder: "host-2", Token: 99, Until: time.Minute, Version: l.Version}
	for id, st := range f.reports {
		if st.Role == replicaset.Replica {
			st.PausedTerm = 3
			f.reports[id] = st
		}
	}
	return l
}

// knowLead records p as the primary of term 1 in the store and at the host.
func (f *fakeCluster) knowLead(m *Manager, set *replicaset.Set) replicaset.Lead {
	l := f.setLead(replicaset.Lead{ID: "p", Term: 1})
	set.SetLead(m.Engine.BootTime(), l)
	return l
}

// promotedReplica is the report of a replica that has just been promoted.
func promotedReplica() replicaset.Status {
	return replicaset.Status{Role: replicaset.Primary, Term: 2, Received: at(1, 9)}
}

// TestSwitchLeavesPausesOfAnother guards against lost commits: a switch that had been taken
// over ended with RESUME requests, also to the replicas that the other switch had paused.
func TestSwitchLeavesPausesOfAnother(t *testing.T) {
	for _, tt := range []struct {
		name string
		// heard is set if the host hears of the other switch.
		heard bool
	}{{"the host has heard of the other switch", true}, {"the host has not heard of it", false}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			m, set := cluster.manager(t)
			cluster.knowLead(m, set)
			cluster.setReport("p", cluster.report("p"), true)
			sent := cluster.watch(m, func(o order, n int) {
				if o.kind != engine.OpPause || n != 2 {
					return
				}
				other := cluster.startOtherSwitch()
				if tt.heard {
					set.SetLead(m.Engine.BootTime(), other)
				} else {
					cluster.setReport("a", cluster.report("a"), true)
				}
			})
			m.switchover(context.Background(), set, set.Lead().Revision(), reasonSilent)
			if got := cluster.promotions(); len(got) > 0 {
				t.Errorf("%v is promoted beside the other switch", got)
			}
			if got := sent.after(0, engine.OpResume); len(got) > 0 {
				t.Errorf("replicas that the other switch has paused are resumed: %v", got)
			}
		})
	}
}

// TestSwitchResumesAfterRecord guards against lost commits: a switch resumed the replicas before
// it had recorded its outcome, so that another switch could have begun between the two.
func TestSwitchResumesAfterRecord(t *testing.T) {
	for _, tt := range []struct {
		name string
		// write replaces the operation of the store.
		write   func(cluster *fakeCluster, c Change) (revision.Revision, error)
		resumed bool
	}{
		{"the outcome is recorded", func(cluster *fakeCluster, c Change) (revision.Revision, error) {
			return cluster.write(context.Background(), c)
		}, true},
		{"the answer of the store is lost", func(cluster *fakeCluster, c Change) (revision.Revision, error) {
			at, err := cluster.write(context.Background(), c)
			if !c.Lead.Switching && err == nil {
				return revision.Revision{}, context.DeadlineExceeded
			}
			return at, err
		}, true},
		{"another switch begins before it is recorded", func(cluster *fakeCluster, c Change) (revision.Revision, error) {
			if !c.Lead.Switching && cluster.lead().Holder != "host-2" {
				cluster.startOtherSwitch()
			}
			return cluster.write(context.Background(), c)
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			m, set := cluster.manager(t)
			cluster.knowLead(m, set)
			cluster.setReport("p", cluster.report("p"), true)
			m.Store.Write = func(_ context.Context, c Change) (revision.Revision, error) { return tt.write(cluster, c) }
			sent := cluster.watch(m, nil)
			m.switchover(context.Background(), set, set.Lead().Revision(), reasonSilent)
			sent.noneDuringSwitch(t)
			if got := len(sent.after(0, engine.OpResume)) > 0; got != tt.resumed {
				t.Errorf("replicas are resumed: %t, want %t", got, tt.resumed)
			}
		})
	}
}

// TestFinishResumesAfterRecord guards against lost commits: a host that recorded the promotion of
// another one resumed the replicas before it looked at the store, where a later switch had begun.
func TestFinishResumesAfterRecord(t *testing.T) {
	for _, tt := range []struct {
		name  string
		other bool
	}{{"the switch is as the host knows it", false}, {"another switch has begun", true}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			m, set := cluster.manager(t)
			lead := cluster.setLead(replicaset.Lead{ID: "p", Term: 1, Switching: true, Token: 4, Holder: "host-3"})
			set.SetLead(m.Engine.BootTime(), lead)
			cluster.setReport("a", promotedReplica(), false)
			cluster.setReport("b", replicaset.Status{Role: replicaset.Replica, Term: 1, Received: at(1, 9), PausedTerm: 3}, false)
			if tt.other {
				cluster.startOtherSwitch()
			}
			sent := cluster.watch(m, nil)
			m.finishSwitch(context.Background(), set, lead)
			sent.noneDuringSwitch(t)
			if paused := cluster.report("b").PausedTerm != 0; paused != tt.other {
				t.Errorf("b is paused: %t, want %t", paused, tt.other)
			}
		})
	}
}

// TestRetriedResumeReadsRecord guards against lost commits: a host went on resuming a replica for
// up to 20 s after its switch, by what it knew, while another switch had paused that replica.
func TestRetriedResumeReadsRecord(t *testing.T) {
	for _, tt := range []struct {
		name  string
		other bool
	}{{"the new primary leads", false}, {"another switch has begun", true}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			m, set := cluster.manager(t)
			cluster.knowLead(m, set)
			cluster.setReport("p", cluster.report("p"), true)
			paused := cluster.report("a")
			paused.PausedTerm = 3
			// The replica does not answer from the promotion on, until the switch has been recorded.
			promote := m.Promote
			m.Promote = func(ctx context.Context, g session.Group, id replicaset.EndpointID, holder string, token uint64) error {
				cluster.setReport("a", paused, true)
				return promote(ctx, g, id, holder, token)
			}
			sent := cluster.watch(m, nil)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				m.switchover(ctx, set, set.Lead().Revision(), reasonSilent)
			}()
			for cluster.lead().ID != "b" && ctx.Err() == nil {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(resumeInterval / 5)
			if tt.other {
				cluster.startOtherSwitch()
			}
			before := sent.count()
			cluster.setReport("a", paused, false)
			time.Sleep(2 * resumeInterval)
			cancel()
			<-done
			if tt.other && len(sent.after(before, engine.OpResume)) > 0 {
				t.Error("the replica that another switch has paused is resumed")
			}
			if got := cluster.report("a").PausedTerm != 0; got != tt.other {
				t.Errorf("the replica is paused: %t, want %t", got, tt.other)
			}
		})
	}
}

// stoppedHost is a host that is stopped for longer than its lease, once, while host-2 replaces
// the primary.
type stoppedHost struct {
	*Manager
	cluster *fakeCluster
	stopped atomic.Int64
	sent    *orders
	// before is the number of control requests before the stop, other the record after it.
	before int
	other  replicaset.Lead
}

func newStoppedHost(cluster *fakeCluster, m *Manager) *stoppedHost {
	h := &stoppedHost{Manager: m, cluster: cluster}
	boot := m.Engine.BootTime
	m.Engine.BootTime = func() replicaset.Instant { return boot().Add(time.Duration(h.stopped.Load())) }
	return h
}

func (h *stoppedHost) stop() {
	h.stopped.Store(int64(leaseTime + 2*leaseMargin))
	h.other = h.cluster.startOtherSwitch()
	h.before = h.sent.count()
}

// TestStalledSwitchSendsNothing guards against lost commits: a host that is stopped in the middle
// of a switch, and wakes once its lease has lapsed and another host replaces the primary, must
// not pause or resume replicas, promote or record anything.
func TestStalledSwitchSendsNothing(t *testing.T) {
	for _, tt := range []struct {
		name string
		// The host is stopped at the n-th control request of a kind, in its promote call, or
		// when it has recorded the outcome.
		kind         engine.OpKind
		n            int
		call, record bool
	}{
		{name: "before it pauses the replicas", kind: engine.OpStatus, n: 2},
		{name: "when it has paused the replicas", kind: engine.OpPause, n: 2},
		{name: "in its promote call", call: true},
		{name: "when it has recorded the outcome", record: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cluster := newFakeCluster()
			m, set := cluster.manager(t)
			cluster.knowLead(m, set)
			cluster.setReport("p", cluster.report("p"), true)
			h := newStoppedHost(cluster, m)
			h.sent = cluster.watch(m, func(o order, n int) {
				if o.kind == tt.kind && n == tt.n {
					h.stop()
				}
			})
			m.Promote = func(ctx context.Context, g session.Group, id replicaset.EndpointID, holder string, token uint64) error {
				defer func() {
					if tt.call {
						h.stop()
					}
				}()
				return cluster.promote(ctx, g, id, holder, token)
			}
			m.Store.Write = func(ctx context.Context, c Change) (revision.Revision, error) {
				at, err := cluster.write(ctx, c)
				if tt.record && !c.Lead.Switching && err == nil {
					h.stop()
				}
				return at, err
			}
			m.switchover(context.Background(), set, set.Lead().Revision(), reasonSilent)
			h.check(t, tt.n == 0)
		})
	}
}

// check checks that nothing was sent after the stop, and how often a replica was promoted.
func (h *stoppedHost) check(t *testing.T, promoted bool) {
	t.Helper()
	for _, kind := range []engine.OpKind{engine.OpPause, engine.OpResume} {
		if got := h.sent.after(h.before, kind); len(got) > 0 {
			t.Errorf("requests of kind %v after the stop: %v", kind, got)
		}
	}
	if got := h.cluster.promotions(); (len(got) == 1) != promoted || len(got) > 1 {
		t.Errorf("promoted %v, want one promotion: %t", got, promoted)
	}
	if got := h.cluster.lead(); got != h.other {
		t.Errorf("the record is %+v, want that of the other switch", got)
	}
}
