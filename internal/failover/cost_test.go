package failover

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// costManager is the manager of a host that knows many healthy groups of three endpoints.
type costManager struct {
	*Manager
	now  replicaset.Instant
	sets []*replicaset.Set
}

func newCostManager(groups int) *costManager {
	c := &costManager{now: replicaset.Instant(time.Minute)}
	e := &engine.Engine{Zone: "z", Now: time.Now, BootTime: func() replicaset.Instant { return c.now }, Event: func(engine.Event) {}}
	c.Manager = &Manager{HostID: "host-1", Engine: e}
	d := &engine.Declared{Version: 1, Groups: make(map[session.Group]engine.GroupPolicy)}
	st := State{
		Revision: revision.Revision{Version: 9}, Openings: map[revision.Era]EraOpening{0: {Version: 1}},
		Leads: make(map[session.Group]replicaset.Lead), Memberships: make(map[session.Group]replicaset.Membership), Whole: true,
	}
	for i := range groups {
		g := session.Group(fmt.Sprintf("g-%d", i))
		d.Groups[g] = engine.GroupPolicy{MaxConnections: 57, Synchronous: true}
		ms := replicaset.Membership{Revision: revision.Revision{Version: 2}}
		for n := range 3 {
			m := replicaset.Member{ID: replicaset.EndpointID(fmt.Sprintf("%s-%d", g, n)), Group: g, Address: fmt.Sprintf("%s-%d", g, n), Zone: "z", Role: replicaset.Replica, Slots: 5, Started: 1}
			if n == 0 {
				m.Role = replicaset.Primary
			}
			e.Group(g).Register(c.now, m)
			ms.Replicas = append(ms.Replicas, replicaset.RecordedReplica{Member: m})
		}
		st.Memberships[g] = ms
		lead := replicaset.Lead{ID: ms.Replicas[0].Member.ID, Term: 1, Version: 5}
		st.Leads[g] = lead
		e.Group(g).SetLead(c.now, lead)
		c.sets = append(c.sets, e.Group(g))
	}
	e.Apply(d)
	c.Observe(st, c.now)
	return c
}

// BenchmarkCheckSecond measures the checks of one second on a host whose clients have 8
// statements in flight each time.
func BenchmarkCheckSecond(b *testing.B) {
	for _, groups := range []int{32, 320} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			c := newCostManager(groups)
			b.ReportAllocs()
			for b.Loop() {
				c.second(8)
			}
		})
	}
}

// second runs the checks of one second. In each interval, a statement is sent to the primary of
// each of the first n groups and answered.
func (c *costManager) second(n int) {
	for end := c.now.Add(time.Second); c.now < end; c.now = c.now.Add(checkInterval) {
		for _, set := range c.sets[:n] {
			id := set.Lead().ID
			set.StatementStarted(c.now, id)
			set.StatementEnded(c.now, id, time.Millisecond, true, session.Point{Term: 1, Position: 7})
		}
		c.check(context.Background())
	}
}
