package failover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// dueHost applies random events to one group, and never acts on a suspicion.
type dueHost struct {
	*rand.Rand
	*Manager
	now     replicaset.Instant
	set     *replicaset.Set
	state   State
	config  uint64
	started int64
}

func newDueHost(seed uint64) *dueHost {
	h := &dueHost{Rand: rand.New(rand.NewPCG(seed, 7)), now: replicaset.Instant(time.Minute)}
	e := &engine.Engine{Zone: "z", Now: time.Now, BootTime: func() replicaset.Instant { return h.now }, Event: func(engine.Event) {}}
	h.Manager = &Manager{
		HostID: "host-1", Engine: e,
		inProgress: map[session.Group]bool{"g": true}, nextUpdate: map[session.Group]replicaset.Instant{"g": 1 << 62},
		nextConfirm: map[session.Group]replicaset.Instant{"g": 1 << 62},
	}
	h.state = State{Openings: make(map[revision.Era]EraOpening), Leads: make(map[session.Group]replicaset.Lead)}
	h.set = e.Group("g")
	return h
}

func (h *dueHost) id() replicaset.EndpointID {
	return []replicaset.EndpointID{"p", "a", "b"}[h.IntN(3)]
}

func (h *dueHost) point() session.Point {
	return session.Point{Term: session.Term(1 + h.IntN(2)), Position: session.Position(h.IntN(30))}
}

func (h *dueHost) revision() revision.Revision {
	h.state.Revision.Version++
	return h.state.Revision
}

func (h *dueHost) lead() replicaset.Lead {
	at := h.revision()
	return replicaset.Lead{
		ID: h.id(), Term: session.Term(1 + h.IntN(2)), Switching: h.IntN(4) == 0, Holder: []string{"host-1", "host-2"}[h.IntN(2)],
		Until: h.state.Now + time.Second, Era: at.Era, Version: at.Version,
	}
}

func (h *dueHost) member() replicaset.Member {
	if h.IntN(5) == 0 {
		h.started++
	}
	return replicaset.Member{
		ID: h.id(), Group: "g", Address: "x", Zone: "z", Started: h.started, Draining: h.IntN(6) == 0,
		Role: []replicaset.Role{replicaset.Primary, replicaset.Replica, replicaset.Replica}[h.IntN(3)],
	}
}

func (h *dueHost) membership() replicaset.Membership {
	ms := replicaset.Membership{Revision: h.revision()}
	for _, m := range h.set.Members() {
		ms.Replicas = append(ms.Replicas, replicaset.RecordedReplica{Member: m, Covered: h.IntN(8) == 0})
	}
	if h.IntN(4) == 0 {
		ms.Replicas = append(ms.Replicas, replicaset.RecordedReplica{Member: h.member()})
	}
	return ms
}

// step applies one random event.
func (h *dueHost) step() string {
	s, id, now := h.set, h.id(), h.now
	events := []struct {
		name string
		run  func()
	}{
		{"register", func() { s.Register(now, h.member()) }},
		{"register", func() { s.Register(now, h.member()) }},
		{"deregister", func() { s.Deregister(now, id) }},
		{"expire", func() { s.Expire(now) }},
		{"lead", func() { s.SetLead(now, h.lead()) }},
		{"unreadable", func() { s.RecordUnreadable(now) }},
		{"record lost", func() { s.RecordLost(h.state.Revision.Era + 1) }},
		{"term", func() { s.ReportTerm(session.Term(1 + h.IntN(3))) }},
		{"adopt", func() { s.AdoptReportedLead(now, replicaset.Lead{ID: id, Term: 2}, 0) }},
		{"commit answer", func() { s.RecordCommitAnswer(now, h.IntN(2) == 0) }},
		{"statement", func() { s.StatementStarted(now, id) }},
		{"answer", func() { s.StatementEnded(now, id, time.Millisecond, true, h.point()) }},
		{"no answer", func() { s.StatementEnded(now, id, time.Millisecond, false, session.Point{}) }},
		{"not sent", func() { s.StatementNotSent(now, id) }},
		{"failure", func() { s.RecordFailure(now, id) }},
		{"control answer", func() { s.RecordAnswer(now, id) }},
		{"overload", func() {
			for range 6 {
				h.now = h.now.Add(230 * time.Millisecond)
				s.RecordOverload(h.now, s.Lead().ID)
			}
		}},
		{"wrong endpoint", func() {
			if m, ok := s.Member(id); ok {
				s.RecordWrongEndpoint(now, m)
			}
		}},
		{"membership", func() { s.SetMembership(now, h.membership(), h.IntN(4) > 0) }},
		{"membership lost", func() { s.MembershipLost(h.revision()) }},
		{"sample", func() { s.Sample(id, now, h.point()) }},
		{"report", func() {
			s.RecordReport(id, replicaset.Status{Role: replicaset.Replica, Term: session.Term(1 + h.IntN(2)), Received: h.point()})
		}},
		{"policy", func() {
			h.config++
			h.Engine.Apply(&engine.Declared{Version: h.config, Groups: map[session.Group]engine.GroupPolicy{"g": {MaxConnections: 9, Synchronous: h.IntN(3) > 0}}})
		}},
		{"era", func() {
			h.state.Revision.Era++
			h.Observe(h.state, now)
		}},
		{"opening", func() {
			h.state.Openings[h.state.Revision.Era] = EraOpening{Version: h.revision().Version}
			h.Observe(h.state, now)
		}},
		{"time", func() { h.now = now.Add(time.Duration(h.IntN(700)) * time.Millisecond) }},
		{"long time", func() { h.now = now.Add(time.Duration(h.IntN(80)) * time.Second) }},
	}
	e := events[h.IntN(len(events))]
	e.run()
	return e.name
}

// missed returns a check that has work to do now and is not due.
func (h *dueHost) missed() string {
	lead := h.set.Lead()
	_, differs := h.set.ProposeMembership(h.now)
	switch {
	case h.Engine.FailoverChecks.Len() == 0 && lead.ID != "" && h.suspicion(h.set, lead) != "":
		return "failover: " + h.suspicion(h.set, lead)
	case h.Engine.MembershipChecks.Len() == 0 && h.Engine.Policy("g").Synchronous && lead.ID != "" && (h.set.MissingReplicas() > 0 || differs):
		return fmt.Sprintf("membership: %d missing, differs: %t", h.set.MissingReplicas(), differs)
	case h.Engine.ConfirmationChecks.Len() == 0 && lead.ID != "" && h.era.unconfirmed("g", lead):
		return "confirmation"
	}
	return ""
}

// TestNothingIsMissed guards against a group that needs the failover manager and is not looked at:
// whatever happens to it, a check that has found no reason to look again must not have one later,
// unless something else happens.
func TestNothingIsMissed(t *testing.T) {
	for seed := range uint64(300) {
		h := newDueHost(seed)
		var trail []string
		for range 300 {
			trail = append(trail, h.step())
			if h.IntN(3) == 0 {
				h.nextMembershipCheck = 0
				h.check(context.Background())
				trail = append(trail, "check")
			}
			at := h.now
			for _, later := range []time.Duration{0, 100 * time.Millisecond, 260 * time.Millisecond, time.Second, 20 * time.Second, 2 * time.Minute} {
				h.now = at.Add(later)
				if what := h.missed(); what != "" {
					t.Fatalf("seed %d: not due although there is a reason after %s: %s\nafter %v", seed, later, what, trail)
				}
			}
			h.now = at
		}
	}
}

// TestHealthyGroupsCostNothing guards against checks of each group of the fleet sixteen times a
// second: healthy groups are not looked at, and those with statements in flight are.
func TestHealthyGroupsCostNothing(t *testing.T) {
	const used = 8
	looks := make(map[int]int)
	for _, groups := range []int{32, 320} {
		c := newCostManager(groups)
		c.second(used)
		clock := c.Engine.BootTime
		c.Engine.BootTime = func() replicaset.Instant {
			looks[groups]++
			return clock()
		}
		c.second(0)
		if looks[groups] > 100 {
			t.Errorf("%d groups that nobody uses: the clock is read %d times in a second of checks, want at most 100", groups, looks[groups])
		}
		looks[groups] = 0
		c.second(used)
	}
	if looks[320] > looks[32] {
		t.Errorf("with %d groups in use the clock is read %d times with 32 groups and %d times with 320", used, looks[32], looks[320])
	}
	c := newCostManager(320)
	c.second(0)
	if n := testing.AllocsPerRun(10, func() { c.check(context.Background()) }); n > 0 {
		t.Errorf("%.0f allocations for a check of healthy groups, want none", n)
	}
}
