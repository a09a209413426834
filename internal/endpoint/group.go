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

// Group runs the core of one database group: it feeds it with what the
// members report and carries out what it decides. The exported fields are set
// before Run.
type Group struct {
	Declared declared.Group
	Core     *core.Group
	Zone     core.Zone
	Dialer   Dialer
	Clock    clock.Clock
	// OnAnnounce is told of each new primary.
	OnAnnounce func(core.Announce)

	t        tomb.Tomb
	ctx      context.Context
	controls map[core.MemberID]*Control
	pools    map[core.MemberID]*Pool

	mu      sync.Mutex
	changed chan struct{}
	waiters []*ackWaiter
	acked   session.Point
}

type ackWaiter struct {
	point session.Point
	fate  chan core.Fate
}

// Run starts watching the members.
func (g *Group) Run() {
	g.ctx = g.t.Context(context.Background())
	g.changed = make(chan struct{})
	g.controls = make(map[core.MemberID]*Control)
	g.pools = make(map[core.MemberID]*Pool)
	for _, e := range g.Declared.Members {
		g.pools[e.ID] = &Pool{Member: e.Member, Database: string(g.Declared.Name), Dialer: g.Dialer, Clock: g.Clock}
		g.controls[e.ID] = &Control{Member: e.Member, Dialer: g.Dialer, Clock: g.Clock, Deliver: g.Handle}
	}
	for _, c := range g.controls {
		c.Run(&g.t)
	}
	g.t.Go(g.tick)
}

// Stop ends the group's connections.
func (g *Group) Stop() {
	g.t.Kill(nil)
	for _, p := range g.pools {
		p.Close()
	}
	_ = g.t.Wait()
}

func (g *Group) tick() error {
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

// abortOld breaks what still runs on a primary that was replaced because it
// was silent: nothing of its term is acknowledged any more.
func (g *Group) abortOld() {
	g.mu.Lock()
	silent := g.Core.SilentFor(g.Clock.Now(), g.Core.Timing.Suspect)
	g.mu.Unlock()
	for _, id := range silent {
		g.pools[id].Abort()
	}
}

// abortSilent breaks the connections to members that are not heard any more,
// and closes the idle ones to members that leave.
func (g *Group) abortSilent() {
	g.mu.Lock()
	silent := g.Core.Silent(g.Clock.Now())
	leaving := g.Core.Leaving()
	g.mu.Unlock()
	for _, id := range leaving {
		g.pools[id].Reap(true)
	}
	for _, id := range silent {
		g.pools[id].Abort()
	}
}

// Handle gives one event to the core and carries out its actions.
func (g *Group) Handle(e core.Event) {
	g.mu.Lock()
	actions := g.Core.Step(g.Clock.Now(), e)
	_, tick := e.(core.Tick)
	g.settle()
	if !tick || len(actions) > 0 {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	g.mu.Unlock()
	if lost, ok := e.(core.MemberLost); ok {
		g.pools[lost.Member].Reap(true)
	}
	for _, a := range actions {
		g.act(a)
	}
}

func (g *Group) act(a core.Action) {
	switch a := a.(type) {
	case core.Announce:
		g.abortOld()
		if g.OnAnnounce != nil {
			g.OnAnnounce(a)
		}
	case core.SendFence:
		g.do(a.Member, a, "")
	case core.SendPromote:
		g.do(a.Member, a, "")
	case core.SendFollow:
		g.do(a.Member, a, g.addressOf(a.Primary))
	}
}

func (g *Group) do(id core.MemberID, a core.Action, address string) {
	if !g.t.Alive() {
		return
	}
	g.t.Go(func() error {
		g.controls[id].Do(g.ctx, a, address)
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

// settle answers those that wait for the fate of an entry. The caller holds mu.
func (g *Group) settle() {
	if p := g.Core.AckedPoint(); p == g.acked {
		return
	}
	g.acked = g.Core.AckedPoint()
	kept := g.waiters[:0]
	for _, w := range g.waiters {
		if f := g.Core.FateOf(w.point); f != core.Pending {
			w.fate <- f
			continue
		}
		kept = append(kept, w)
	}
	g.waiters = kept
}

// WaitAcked waits until the entry at p, which member reported, is safe or lost,
// or ctx ends.
func (g *Group) WaitAcked(ctx context.Context, member core.MemberID, p session.Point) core.Fate {
	g.mu.Lock()
	g.Core.Step(g.Clock.Now(), core.PointSeen{Member: member, Point: p})
	g.settle()
	if f := g.Core.FateOf(p); f != core.Pending {
		g.mu.Unlock()
		return f
	}
	w := &ackWaiter{point: p, fate: make(chan core.Fate, 1)}
	g.waiters = append(g.waiters, w)
	g.mu.Unlock()
	select {
	case f := <-w.fate:
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

// RouteRead chooses the endpoint for a read. A replica that is only catching
// up is waited for as long as wait, which is cheaper than the primary's work.
func (g *Group) RouteRead(ctx context.Context, r core.ReadRequest, wait time.Duration) (core.Choice, error) {
	r.Zone = g.Zone
	r.Patience = wait
	r.Cost = func(id core.MemberID) time.Duration { return g.controls[id].RTT() + g.pools[id].Wait() }
	timer := g.Clock.Timer(wait)
	defer timer.Stop()
	patient := wait > 0
	for {
		g.mu.Lock()
		c := g.Core.RouteRead(g.Clock.Now(), r)
		changed := g.changed
		g.mu.Unlock()
		if c.OK && (c.Replica || !patient || !c.CatchingUp) {
			return c, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			patient = false
		case <-ctx.Done():
			return c, result.New(result.NoFreshMember, "no endpoint of %s is known to be at most %s old", g.Declared.Name, r.MaxAge)
		}
	}
}

// Sees reports whether data read at p holds everything up to need.
func (g *Group) Sees(p, need session.Point) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Core.Sees(p, need)
}

// Pool returns the connections to a member.
func (g *Group) Pool(id core.MemberID) *Pool { return g.pools[id] }

// Control returns the control connections of a member.
func (g *Group) Control(id core.MemberID) *Control { return g.controls[id] }

// View returns what peers are told of the group.
func (g *Group) View() core.PeerView {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Core.View(g.Clock.Now())
}

// Acked returns the latest point that a majority is known to hold.
func (g *Group) Acked() session.Point {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Core.AckedPoint()
}

// Report describes the members.
func (g *Group) Report() []core.MemberReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Core.Report(g.Clock.Now())
}
