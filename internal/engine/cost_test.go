package engine_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/lending"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// maintenancePerSecond is how often a host calls Maintain in a second.
const maintenancePerSecond = 5

// costHost is one entry host of a fleet, and counts what it asks of others.
type costHost struct {
	*engine.Engine
	ring *lending.Ring
	// elapsed is the time on the host's clocks, in ns.
	elapsed atomic.Int64
	// term is the term that replicas report.
	term                                                              atomic.Uint64
	lookups, looks, requests, fetches, preconnects, borrows, statuses atomic.Int64
	// lost has the hosts that don't answer.
	lost map[string]bool
}

// newCostHost returns a host of a fleet in which the given number of groups have an
// endpoint in each of three zones.
func newCostHost(hosts, groups int) *costHost {
	h := &costHost{Engine: &engine.Engine{Zone: "z-0"}}
	h.elapsed.Store(int64(time.Minute))
	h.term.Store(1)
	start := time.Now()
	clock := func() time.Time { return start.Add(time.Duration(h.elapsed.Load())) }
	h.ring = &lending.Ring{Self: "h-0", Zone: "z-0", Now: clock}
	var peers []lending.Peer
	for i := range hosts {
		peers = append(peers, lending.Peer{Name: fmt.Sprintf("h-%d", i), Zone: fmt.Sprintf("z-%d", i%3), Address: fmt.Sprintf("10.0.%d.%d:9", i/256, i%256), Weight: 0.2})
	}
	h.ring.Set(peers)
	h.Now, h.BootTime, h.Event = clock, func() replicaset.Instant { return replicaset.Instant(h.elapsed.Load()) }, func(engine.Event) {}
	h.Lenders = func(m replicaset.Member, n int, a session.Account) ([]string, int) {
		h.lookups.Add(1)
		return h.ring.Lenders(m, n, a)
	}
	h.Holds = func(m replicaset.Member, n int) bool {
		h.looks.Add(1)
		return h.ring.Holds(m, n)
	}
	h.Preconnect = func(string) { h.preconnects.Add(1) }
	h.EndLoan = func(string, uint64) {}
	h.connect()
	d := &engine.Declared{Version: 1, Groups: make(map[session.Group]engine.GroupPolicy), Databases: make(map[string]engine.Database)}
	for i := range groups {
		g := groupName(i)
		d.Groups[g] = engine.GroupPolicy{MaxConnections: 57, Synchronous: true}
		d.Databases[string(g)] = engine.Database{Group: g, Consistency: engine.Bounded, MaxAge: 1500 * time.Millisecond, StatementTimeout: 2 * time.Second}
	}
	h.Apply(d)
	for i := range groups {
		h.register(groupName(i))
	}
	return h
}

// connect sets what the host sends to other hosts and to endpoints.
func (h *costHost) connect() {
	h.Borrow = func(address string, m replicaset.Member, _ uint64, call engine.Call) (engine.RemoteResult, error) {
		status := call.Ops[0].Kind == engine.OpStatus
		if status {
			h.statuses.Add(1)
		} else {
			h.borrows.Add(1)
		}
		if h.lost[address] {
			h.ring.MarkDown(address)
			return engine.RemoteResult{}, engine.NotSent(engine.ErrLenderUnavailable)
		}
		if status {
			return engine.RemoteResult{Outcomes: []engine.Outcome{{Report: h.status(m)}}}, nil
		}
		return engine.RemoteResult{Outcomes: []engine.Outcome{{Rows: []string{"x"}, Digest: "d", Point: session.Point{Term: 1, Position: 7}}}}, nil
	}
	h.FetchKnowledge = func(_ string, g session.Group, _ time.Time) (replicaset.Knowledge, error) {
		h.fetches.Add(1)
		return replicaset.Knowledge{Lead: h.Group(g).Lead().ID, Term: 1, Point: session.Point{Term: 1, Position: 7}}, nil
	}
	h.Dial = func(_ context.Context, m replicaset.Member, _ session.Account) (*engine.Conn, error) {
		return &engine.Conn{Endpoint: m.ID, Close: func() {}, Do: func(_ time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
			if ops[0].Kind == engine.OpStatus {
				h.requests.Add(1)
			}
			return []engine.Outcome{{Report: h.status(m)}}, nil
		}}, nil
	}
}

// status returns what an endpoint reports.
func (h *costHost) status(m replicaset.Member) replicaset.Status {
	term := session.Term(1)
	if m.Role == replicaset.Replica {
		term = session.Term(h.term.Load())
	}
	return replicaset.Status{Role: m.Role, Term: term, Received: session.Point{Term: 1, Position: 7}}
}

func groupName(i int) session.Group { return session.Group(fmt.Sprintf("g-%d", i)) }

func primaryOf(g session.Group) replicaset.EndpointID { return replicaset.EndpointID(g) + "-0" }

func (h *costHost) register(g session.Group) {
	for z := range 3 {
		role := replicaset.Replica
		if z == 0 {
			role = replicaset.Primary
		}
		id := replicaset.EndpointID(fmt.Sprintf("%s-%d", g, z))
		h.Group(g).Register(h.BootTime(), replicaset.Member{ID: id, Group: g, Address: string(id), Zone: fmt.Sprintf("z-%d", z), Role: role, Slots: 5})
	}
	h.Group(g).SetLead(h.BootTime(), replicaset.Lead{ID: primaryOf(g), Term: 1, Version: 1})
}

// open opens a session on each of the first n databases.
func (h *costHost) open(n int) []*engine.CallerSession {
	var all []*engine.CallerSession
	for i := range n {
		s, _ := h.Open(string(groupName(i)), "")
		all = append(all, s)
	}
	return all
}

// second runs the maintenance of one second, and one read in each session.
func (h *costHost) second(sessions []*engine.CallerSession) {
	for range maintenancePerSecond {
		h.elapsed.Add(int64(time.Second) / maintenancePerSecond)
		h.Maintain()
	}
	for _, s := range sessions {
		s.Run(engine.Statement{ID: "1", Kind: engine.Read, Text: "READ 7"})
	}
}

// seconds runs some seconds, and leaves what runs in the background the time to end.
func (h *costHost) seconds(n int, sessions []*engine.CallerSession) {
	for range n * maintenancePerSecond {
		h.elapsed.Add(int64(time.Second) / maintenancePerSecond)
		h.Maintain()
		time.Sleep(time.Millisecond)
	}
	for _, s := range sessions {
		s.Run(engine.Statement{ID: "1", Kind: engine.Read, Text: "READ 7"})
	}
}

// reset sets the counts to zero.
func (h *costHost) reset() {
	for _, c := range []*atomic.Int64{&h.lookups, &h.looks, &h.requests, &h.fetches, &h.preconnects, &h.borrows, &h.statuses} {
		c.Store(0)
	}
}

// held returns how many endpoints the host holds, and how many of these are primaries.
func (h *costHost) held(groups int) (endpoints, primaries int64) {
	for i := range groups {
		for _, m := range h.Group(groupName(i)).Members() {
			if h.ring.Holds(m, 57) {
				endpoints++
				if m.Role == replicaset.Primary {
					primaries++
				}
			}
		}
	}
	return endpoints, primaries
}

// TestWorkFollowsDemand guards against work for each endpoint of the fleet: a host looked at all
// of them five times a second, opened links to all holders, and asked the endpoints that it holds
// twice a second although no host borrowed.
func TestWorkFollowsDemand(t *testing.T) {
	const span = 20
	for _, c := range []struct{ hosts, groups, clients int }{{30, 32, 0}, {300, 320, 0}, {300, 320, 8}} {
		t.Run(fmt.Sprintf("hosts=%d/groups=%d/clients=%d", c.hosts, c.groups, c.clients), func(t *testing.T) {
			h := newCostHost(c.hosts, c.groups)
			sessions := h.open(c.clients)
			h.seconds(5, sessions)
			h.reset()
			h.seconds(span, sessions)
			endpoints, primaries := h.held(c.groups)
			// A group that is held or used is looked at each time: up to three members, and
			// a list of lenders for each pool and each link. All groups are looked at once
			// a minute.
			perLook := int64(span * maintenancePerSecond)
			groups := endpoints + int64(c.clients)
			if n, most := h.looks.Load(), perLook*3*groups+3*3*int64(c.groups); n > most {
				t.Errorf("%d looks at endpoints in %d s, want at most %d", n, span, most)
			}
			if n, most := h.lookups.Load(), perLook*6*groups; n > most {
				t.Errorf("%d lists of lenders in %d s, want at most %d", n, span, most)
			}
			// A primary that is held is asked each 5 s, with one of its replicas and once
			// more for its position at most.
			if n, most := h.requests.Load(), primaries*3*(span/5+1); n > most {
				t.Errorf("%d status requests in %d s with %d held primaries, want at most %d", n, span, primaries, most)
			}
			if n := h.preconnects.Load(); (n > 0) != (c.clients > 0) || n > perLook*3*int64(c.clients) {
				t.Errorf("%d links were wanted with %d clients", n, c.clients)
			}
		})
	}
}

// TestWorkDoesNotGrowWithFleet guards requirement 18 of docs/design/accounts-and-load.md: with the
// same clients, a host of a fleet ten times as large does at most 1.5 times the work.
func TestWorkDoesNotGrowWithFleet(t *testing.T) {
	work := func(hosts, groups int) int64 {
		h := newCostHost(hosts, groups)
		sessions := h.open(8)
		h.seconds(5, sessions)
		h.reset()
		h.seconds(60, sessions)
		return h.looks.Load() + h.lookups.Load() + h.preconnects.Load() + h.requests.Load()
	}
	if small, large := work(30, 32), work(300, 320); 2*large > 3*small {
		t.Errorf("looks, lists, links and requests in a minute: %d with 30 hosts, %d with 300, want at most 1.5 times", small, large)
	}
}

// TestLinksFollowClients guards against a first statement that waits for a link: the links of a
// group are opened when its first client connects, and no more once the last one has left.
func TestLinksFollowClients(t *testing.T) {
	h := newCostHost(300, 320)
	h.seconds(1, nil)
	s := h.open(1)[0]
	for end := time.Now().Add(5 * time.Second); h.preconnects.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no link is opened for a client that has connected")
		}
	}
	s.Close()
	h.seconds(1, nil)
	h.reset()
	h.seconds(1, nil)
	if n := h.preconnects.Load(); n > 0 {
		t.Errorf("%d links are wanted without a client", n)
	}
}

// TestHolderIsFoundWithoutDemand guards against endpoints without holders: if the two holders of
// an endpoint go down, the next host prepares for borrowers although it never used the group.
func TestHolderIsFoundWithoutDemand(t *testing.T) {
	h := newCostHost(300, 320)
	h.ring.OnChange = h.HostsChanged
	h.seconds(1, nil)
	held, _ := h.held(320)
	for i := 3; i < 300; i += 3 {
		h.ring.MarkDown(fmt.Sprintf("10.0.%d.%d:9", i/256, i%256))
	}
	h.requests.Store(0)
	h.seconds(1, nil)
	now, _ := h.held(320)
	open := make(map[replicaset.EndpointID]bool)
	h.ReportConnections(func(_ session.Group, id replicaset.EndpointID, n engine.ConnectionCounts) {
		if n.Open > 0 {
			open[id] = true
		}
	})
	if now != 320 || int64(len(open)) != now {
		t.Errorf("this host held %d endpoints, is left with all %d of its zone, and has connections to %d", held, now, len(open))
	}
}

// TestHoldersLostWhileSilent guards against a first statement that fails: both holders of an
// endpoint were lost while nobody used its group, and this host has no link that would have told
// it. The statement is run by this host itself, and the next one by a host that is up.
func TestHoldersLostWhileSilent(t *testing.T) {
	h := newCostHost(300, 320)
	h.seconds(60, nil)
	i := 0
	for m, _ := h.Group(groupName(i)).Member(primaryOf(groupName(i))); h.ring.Holds(m, 57); m, _ = h.Group(groupName(i)).Member(primaryOf(groupName(i))) {
		i++
	}
	s, _ := h.Open(string(groupName(i)), "")
	h.lost = make(map[string]bool)
	for _, m := range h.Group(groupName(i)).Members() {
		lenders, holders := h.ring.Lenders(m, 57, "")
		for _, a := range lenders[:holders] {
			h.lost[a] = true
		}
	}
	for n, want := range []int64{2, 1} {
		h.borrows.Store(0)
		if o := s.Run(engine.Statement{ID: "1", Kind: engine.Read, Text: "READ 7"}); o.Code != engine.Done {
			t.Errorf("statement %d ends with %s: %s", n+1, o.Code, o.Reason)
		}
		if asked := h.borrows.Load(); asked != want {
			t.Errorf("statement %d: %d hosts were asked, want %d", n+1, asked, want)
		}
	}
}

// TestFirstStatementAfterSilence guards against a first statement that waits for more than one
// question: the borrower sends one message, a holder of replicas asks one of the primary's holders,
// and a holder of the primary asks one replica and the primary, as after each idle period before.
func TestFirstStatementAfterSilence(t *testing.T) {
	h := newCostHost(300, 320)
	for i := 0; i < 320; i += 2 {
		// The primaries of half of the groups are in another zone.
		h.Group(groupName(i)).SetLead(h.BootTime(), replicaset.Lead{ID: replicaset.EndpointID(groupName(i)) + "-1", Term: 1, Version: 2})
	}
	h.seconds(70, nil)
	kinds := make(map[string]bool)
	for i := range 320 {
		g := groupName(i)
		for _, m := range h.Group(g).Members() {
			kind := "borrowed"
			primary, _ := h.Group(g).Member(h.Group(g).Lead().ID)
			switch {
			case h.ring.Holds(primary, 57):
				kind = "held primary"
			case h.ring.Holds(m, 57):
				kind = "held replica"
			}
			if kinds[kind] || kind == "borrowed" && m.Zone != "z-0" {
				continue
			}
			kinds[kind] = true
			h.elapsed.Add(int64(10 * time.Second))
			h.reset()
			deadline := h.Now().Add(time.Second)
			if kind == "borrowed" {
				s, _ := h.Open(string(g), "")
				if o := s.Run(engine.Statement{ID: "1", Kind: engine.Read, Text: "READ 7"}); o.Code != engine.Done {
					t.Errorf("%s: a read ends with %s: %s", kind, o.Code, o.Reason)
				}
				s.Close()
			} else if l, err := h.Lend(g, m.ID, engine.Call{QueueDeadline: deadline, Deadline: deadline, Freshness: &engine.Freshness{MaxAge: time.Second}}); err != nil {
				t.Errorf("%s: %v", kind, err)
			} else {
				l.Release()
			}
			want := map[string][3]int64{"borrowed": {1, 0, 0}, "held replica": {0, 1, 0}, "held primary": {0, 0, 2}}[kind]
			if got := [3]int64{h.borrows.Load(), h.fetches.Load(), h.requests.Load() + h.statuses.Load()}; got != want {
				t.Errorf("%s: calls, questions to hosts and status requests %v, want %v", kind, got, want)
			}
		}
	}
	if len(kinds) != 3 {
		t.Errorf("covered only %v", kinds)
	}
}

// TestShareAfterHostsChange guards against a pool that keeps an equal share of the connections
// after the number of hosts was set, in a group that is not due otherwise.
func TestShareAfterHostsChange(t *testing.T) {
	h := newCostHost(300, 320)
	s := h.open(1)[0]
	h.seconds(1, []*engine.CallerSession{s})
	s.Close()
	h.seconds(30, nil)
	h.lookups.Store(0)
	h.Maintain()
	before := h.lookups.Load()
	h.SetHosts(299)
	h.lookups.Store(0)
	h.Maintain()
	if after := h.lookups.Load(); after <= before {
		t.Errorf("%d lists of lenders after the number of hosts was set, %d before; the pools of the group are not looked at", after, before)
	}
}

// TestLapseWithoutDemand guards against a primary that stays although its registration has lapsed,
// in a group that nobody uses and this host doesn't hold.
func TestLapseWithoutDemand(t *testing.T) {
	h := newCostHost(300, 320)
	h.seconds(1, nil)
	for i := range 320 {
		h.Group(groupName(i)).Deregister(h.BootTime(), primaryOf(groupName(i)))
	}
	h.FailoverChecks.Take()
	h.seconds(3, nil)
	for i := range 320 {
		if _, ok := h.Group(groupName(i)).Member(primaryOf(groupName(i))); ok {
			t.Fatalf("the primary of %s is still a member 3 s after its registration lapsed", groupName(i))
		}
	}
	if n := h.FailoverChecks.Len(); n != 320 {
		t.Errorf("%d groups are due for a check of the failover manager, want 320", n)
	}
}

// TestUnrecordedPromotionWithoutDemand guards against a promotion that nobody sees: the store has
// no record of it, no client asks, and no host borrows.
func TestUnrecordedPromotionWithoutDemand(t *testing.T) {
	h := newCostHost(30, 32)
	h.seconds(10, nil)
	_, primaries := h.held(32)
	h.term.Store(2)
	h.seconds(6, nil)
	seen := int64(0)
	for i := range 32 {
		if h.Group(groupName(i)).Superseded() {
			seen++
		}
	}
	if seen != primaries || seen == 0 {
		t.Errorf("a holder sees the later term of %d groups, want the %d whose primary it holds", seen, primaries)
	}
}

// BenchmarkHostSecond measures what a host of the fleet does in one second, besides its
// network: the maintenance, and one read by each of its clients.
func BenchmarkHostSecond(b *testing.B) {
	for _, c := range []struct{ hosts, groups, clients int }{{30, 32, 8}, {300, 320, 8}, {300, 320, 0}} {
		b.Run(fmt.Sprintf("hosts=%d/groups=%d/clients=%d", c.hosts, c.groups, c.clients), func(b *testing.B) {
			h := newCostHost(c.hosts, c.groups)
			sessions := h.open(c.clients)
			for range 5 {
				h.second(sessions)
			}
			h.reset()
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				h.second(sessions)
			}
			n := float64(b.N)
			b.ReportMetric(float64(h.lookups.Load())/n, "lookups/op")
			b.ReportMetric(float64(h.looks.Load())/n, "looks/op")
			b.ReportMetric(float64(h.requests.Load())/n, "requests/op")
			b.ReportMetric(float64(h.fetches.Load())/n, "fetches/op")
			b.ReportMetric(float64(h.preconnects.Load())/n, "preconnects/op")
		})
	}
}
