package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/benbjohnson/clock"
	"gopkg.in/tomb.v2"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/declared"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const tickInterval = 25 * time.Millisecond

// Group runs the core of one database group: it passes events of the members
// to the core and carries out the core's actions. The exported fields are set
// before Run.
type Group struct {
	Declared declared.Group
	Core     *core.Group
	Zone     core.Zone
	Dialer   Dialer
	Clock    clock.Clock
	// OnAnnounce is called when there is a new primary.
	OnAnnounce func(core.Announce)

	t        tomb.Tomb
	ctx      context.Context
	controls map[core.MemberID]*Control
	pools    map[core.MemberID]*Pool

	mu sync.Mutex
	// changed is closed and replaced when the state of the core may have
	// changed.
	changed chan struct{}
	waiters []*ackWaiter
	acked   session.Point
}

// ackWaiter waits until the entry at point is known to be safe or lost.
type ackWaiter struct {
	point  session.Point
	result chan core.Durability
}

// Run starts the monitoring of the members.
func (g *Group) Run() {
	g.ctx = g.t.Context(context.Background())
	g.changed = make(chan struct{})
	g.controls = make(map[core.MemberID]*Control)
	g.pools = make(map[core.MemberID]*Pool)
	for _, e := range g.Declared.Members {
		g.pools[e.ID] = &Pool{Member: e.Member, Database: string(g.Declared.Name), Dialer: g.Dialer, Clock: g.Clock}
		g.controls[e.ID] = &Control{Member: e.Member, Dialer: g.Dialer, Clock: g.Clock, OnEvent: g.Handle}
	}
	for _, c := range g.controls {
		c.Run(&g.t)
	}
	g.t.Go(g.runTicker)
}

// Stop closes the group's connections and ends its goroutines.
func (g *Group) Stop() {
	g.t.Kill(nil)
	for _, p := range g.pools {
		p.Close()
	}
	_ = g.t.Wait()
}

func (g *Group) runTicker() error {
	ticker := g.Clock.Ticker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.t.Dying():
			return nil
		case <-ticker.C:
			g.Handle(core.Tick{})
			g.abortSilent()
		}
	}
}

// abortSuspected closes the connections to members that are silent for the
// suspect timeout. After a failover these include a silent old primary: no
// write of its term will be acknowledged.
func (g *Group) abortSuspected() {
	g.mu.Lock()
	silent := g.Core.MembersSilentFor(g.Clock.Now(), g.Core.Timing.SuspectTimeout)
	g.mu.Unlock()
	for _, id := range silent {
		g.pools[id].Abort()
	}
}

// abortSilent closes the connections to members that stopped responding, and
// the idle connections to members that are leaving.
func (g *Group) abortSilent() {
	g.mu.Lock()
	silent := g.Core.SilentMembers(g.Clock.Now())
	leaving := g.Core.LeavingMembers()
	g.mu.Unlock()
	for _, id := range leaving {
		g.pools[id].CloseIdle(true)
	}
	for _, id := range silent {
		g.pools[id].Abort()
	}
}

// Handle passes one event to the core and carries out the resulting actions.
func (g *Group) Handle(e core.Event) {
	g.mu.Lock()
	actions := g.Core.Step(g.Clock.Now(), e)
	_, tick := e.(core.Tick)
	g.resolveWaiters()
	if !tick || len(actions) > 0 {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	g.mu.Unlock()
	if lost, ok := e.(core.MemberLost); ok {
		g.pools[lost.Member].CloseIdle(true)
	}
	for _, a := range actions {
		g.perform(a)
	}
}

// perform carries out one action of the core.
func (g *Group) perform(a core.Action) {
	switch a := a.(type) {
	case core.Announce:
		g.abortSuspected()
		if g.OnAnnounce != nil {
			g.OnAnnounce(a)
		}
	case core.SendFence:
		g.sendToMember(a.Member, a, "")
	case core.SendPromote:
		g.sendToMember(a.Member, a, "")
	case core.SendFollow:
		g.sendToMember(a.Member, a, g.addressOf(a.Primary))
	}
}

func (g *Group) sendToMember(id core.MemberID, a core.Action, address string) {
	if !g.t.Alive() {
		return
	}
	g.t.Go(func() error {
		g.controls[id].Execute(g.ctx, a, address)
		return nil
	})
}

func (g *Group) addressOf(id core.MemberID) string {
	for _, m := range g.Declared.Members {
		if m.ID == id {
			return m.Address
		}
	}
	return ""
}

// resolveWaiters notifies the waiters whose entry has become safe or lost.
// g.mu must be held.
func (g *Group) resolveWaiters() {
	if p := g.Core.AckedPoint(); p == g.acked {
		return
	}
	g.acked = g.Core.AckedPoint()
	kept := g.waiters[:0]
	for _, w := range g.waiters {
		if f := g.Core.DurabilityOf(w.point); f != core.Pending {
			w.result <- f
			continue
		}
		kept = append(kept, w)
	}
	g.waiters = kept
}

// AwaitDurability waits until the entry at p, which member reported, is known
// to be safe or lost, or ctx ends.
func (g *Group) AwaitDurability(ctx context.Context, member core.MemberID, p session.Point) core.Durability {
	g.mu.Lock()
	g.Core.Step(g.Clock.Now(), core.PointReported{Member: member, Point: p})
	g.resolveWaiters()
	if f := g.Core.DurabilityOf(p); f != core.Pending {
		g.mu.Unlock()
		return f
	}
	w := &ackWaiter{point: p, result: make(chan core.Durability, 1)}
	g.waiters = append(g.waiters, w)
	g.mu.Unlock()
	select {
	case f := <-w.result:
		return f
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.waiters {
		if g.waiters[i] == w {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
			break
		}
	}
	return core.Pending
}

// Primary waits for a primary until ctx ends.
func (g *Group) Primary(ctx context.Context) (core.MemberID, session.Term, error) {
	for {
		g.mu.Lock()
		id, term, ok := g.Core.Primary(g.Clock.Now())
		changed := g.changed
		g.mu.Unlock()
		if ok {
			return id, term, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", 0, result.New(result.NoPrimary, "database group %s has no reachable primary", g.Declared.Name)
		}
	}
}

// RouteRead chooses the endpoint for a read. It waits up to wait for a
// replica that is catching up before it falls back to the primary, because a
// short wait costs less than load on the primary.
func (g *Group) RouteRead(ctx context.Context, r core.ReadRequest, wait time.Duration) (core.Choice, error) {
	r.Zone = g.Zone
	r.MaxWait = wait
	r.Cost = func(id core.MemberID) time.Duration { return g.controls[id].RTT() + g.pools[id].EstimateWait() }
	timer := g.Clock.Timer(wait)
	defer timer.Stop()
	mayWait := wait > 0
	for {
		g.mu.Lock()
		c := g.Core.RouteRead(g.Clock.Now(), r)
		changed := g.changed
		g.mu.Unlock()
		if c.OK && (c.Replica || !mayWait || !c.CatchingUp) {
			return c, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			mayWait = false
		case <-ctx.Done():
			return c, result.New(result.NoFreshMember, "no endpoint of %s is known to be at most %s old", g.Declared.Name, r.MaxAge)
		}
	}
}

// ReadIncludes reports whether data read at p includes every entry up to
// need.
func (g *Group) ReadIncludes(p, need session.Point) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Core.ReadIncludes(p, need)
}

// Pool returns the connection pool of a member.
func (g *Group) Pool(id core.MemberID) *Pool { return g.pools[id] }

// Control returns the control connections of a member.
func (g *Group) Control(id core.MemberID) *Control { return g.controls[id] }

// View returns the state of the group as reported to peers.
func (g *Group) View() core.PeerView {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Core.View(g.Clock.Now())
}

// Acked returns the latest log point that is known to be held by a majority.
func (g *Group) Acked() session.Point {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Core.AckedPoint()
}

// Report returns the state of every member.
func (g *Group) Report() []core.MemberReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Core.Report(g.Clock.Now())
}
