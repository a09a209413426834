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
	elapsed                                 atomic.Int64
	lookups, requests, fetches, preconnects atomic.Int64
}

// newCostHost returns a host of a fleet in which the given number of groups have an
// endpoint in each of three zones.
func newCostHost(hosts, groups int) *costHost {
	h := &costHost{Engine: &engine.Engine{Zone: "z-0"}}
	h.elapsed.Store(int64(time.Minute))
	start := time.Now()
	clock := func() time.Time { return start.Add(time.Duration(h.elapsed.Load())) }
	h.ring = &lending.Ring{Self: "h-0", Zone: "z-0", Now: clock}
	var peers []lending.Peer
	for i := range hosts {
		peers = append(peers, lending.Peer{Name: fmt.Sprintf("h-%d", i), Zone: fmt.Sprintf("z-%d", i%3), Address: fmt.Sprintf("10.0.%d.%d:9", i/256, i%256), Weight: 0.2})
	}
	h.ring.Set(peers)
	h.Now, h.BootTime, h.Event = clock, func() replicaset.Instant { return replicaset.Instant(h.elapsed.Load()) }, func(engine.Event) {}
	h.Lenders = func(m replicaset.Member, n int) ([]string, int) {
		h.lookups.Add(1)
		return h.ring.Lenders(m, n)
	}
	h.Preconnect = func(string) { h.preconnects.Add(1) }
	h.EndLoan = func(string, uint64) {}
	h.Borrow = func(string, replicaset.Member, uint64, engine.Call) (engine.RemoteResult, error) {
		return engine.RemoteResult{Outcomes: []engine.Outcome{{Rows: []string{"x"}, Digest: "d", Point: session.Point{Term: 1, Position: 7}}}}, nil
	}
	h.FetchKnowledge = func(_ string, g session.Group, _ time.Time) (replicaset.Knowledge, error) {
		h.fetches.Add(1)
		return replicaset.Knowledge{Lead: primaryOf(g), Term: 1, Point: session.Point{Term: 1, Position: 7}}, nil
	}
	h.Dial = func(_ context.Context, m replicaset.Member) (*engine.Conn, error) {
		return &engine.Conn{Endpoint: m.ID, Close: func() {}, Do: func(_ time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
			if ops[0].Kind == engine.OpStatus {
				h.requests.Add(1)
			}
			return []engine.Outcome{{Report: replicaset.Status{Role: m.Role, Term: 1, Received: session.Point{Term: 1, Position: 7}}}}, nil
		}}, nil
	}
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
		s, _ := h.Open(string(groupName(i)))
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
			h.lookups.Store(0)
			h.requests.Store(0)
			h.fetches.Store(0)
			h.preconnects.Store(0)
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				h.second(sessions)
			}
			n := float64(b.N)
			b.ReportMetric(float64(h.lookups.Load())/n, "lookups/op")
			b.ReportMetric(float64(h.requests.Load())/n, "requests/op")
			b.ReportMetric(float64(h.fetches.Load())/n, "fetches/op")
			b.ReportMetric(float64(h.preconnects.Load())/n, "preconnects/op")
		})
	}
}
