package core

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// memberFresh is the silence after which an endpoint gets no new work.
const memberFresh = time.Second

// ReadRequest says what a read needs.
type ReadRequest struct {
	Need   session.Point
	MaxAge time.Duration
	Zone   Zone
	// Avoid lists members that already refused or failed this read.
	Avoid []MemberID
	// Patience is how long the read may wait for a replica to catch up.
	Patience time.Duration
	// Cost estimates the delay of a member; the least one that fits is taken.
	Cost func(MemberID) time.Duration
}

// Choice is where a read goes.
type Choice struct {
	Member  MemberID
	OK      bool
	Replica bool
	// Lawful is true when some replica could serve the read.
	Lawful bool
	// CatchingUp is true when a replica holds what the read needs and will
	// soon have applied it.
	CatchingUp bool
}

// RouteRead chooses the endpoint with the least cost among those that are up,
// stay, hold what the session has seen and are fresh enough. Replicas go before
// the primary, whose work nobody else can do.
func (g *Group) RouteRead(now time.Time, r ReadRequest) Choice {
	var c Choice
	var best time.Duration
	for i := range g.view {
		v := &g.view[i]
		if !g.usable(now, i) || !v.status.Satisfies(r.Need) || !g.FreshEnough(now, v.status, r.MaxAge) {
			c.CatchingUp = c.CatchingUp || g.catchingUp(now, i, r)
			continue
		}
		id := g.Members[i].ID
		replica := i != g.primary
		c.Lawful = c.Lawful || replica
		if avoided(r.Avoid, id) {
			continue
		}
		cost := r.cost(id, g.Members[i].Zone)
		if !c.OK || replica && !c.Replica || replica == c.Replica && cost < best {
			c.Member, c.OK, c.Replica, best = id, true, replica, cost
		}
	}
	return c
}

func avoided(avoid []MemberID, id MemberID) bool {
	for _, a := range avoid {
		if a == id {
			return true
		}
	}
	return false
}

func (r ReadRequest) cost(id MemberID, z Zone) time.Duration {
	const otherZone = time.Millisecond
	var d time.Duration
	if r.Cost != nil {
		d = r.Cost(id)
	}
	if z != r.Zone {
		d += otherZone
	}
	return d
}

func (g *Group) usable(now time.Time, i int) bool {
	v := &g.view[i]
	if !v.heardWithin(now, memberFresh) || v.status.Leaving {
		return false
	}
	return i != g.primary || g.leads(i)
}

// Leaving lists the members that say that they leave.
func (g *Group) Leaving() []MemberID {
	var out []MemberID
	for i := range g.view {
		if g.view[i].known && g.view[i].status.Leaving {
			out = append(out, g.Members[i].ID)
		}
	}
	return out
}

// Silent lists the members that were heard once and are not any more.
func (g *Group) Silent(now time.Time) []MemberID { return g.SilentFor(now, memberFresh) }

// SilentFor lists the members that were heard once, but not for d.
func (g *Group) SilentFor(now time.Time, d time.Duration) []MemberID {
	var out []MemberID
	for i := range g.view {
		v := &g.view[i]
		if v.known && now.Sub(v.heardAt) >= d {
			out = append(out, g.Members[i].ID)
		}
	}
	return out
}

func (g *Group) leads(i int) bool {
	s := g.view[i].status
	return s.leads() && s.Last.Term == g.term
}

// catchingUp reports whether a replica holds what the read needs and will
// have applied it before the read's patience ends.
func (g *Group) catchingUp(now time.Time, i int, r ReadRequest) bool {
	v := &g.view[i]
	if i == g.primary || !g.usable(now, i) || v.status.Last.Term < r.Need.Term {
		return false
	}
	held := v.status.Last.Position >= r.Need.Position && v.status.Applied < r.Need.Position
	return held && v.applyLag(now) < r.Patience
}

// Primary returns the endpoint that takes writes now, if one does.
func (g *Group) Primary(now time.Time) (MemberID, session.Term, bool) {
	if !g.hasPrimary() || !g.usable(now, g.primary) {
		return "", g.term, false
	}
	if !g.FreshEnough(now, g.view[g.primary].status, g.Timing.Confirm) {
		return "", g.term, false
	}
	return g.Members[g.primary].ID, g.term, true
}

// MemberReport is one member's state as this host knows it.
type MemberReport struct {
	Member  Member        `json:"member"`
	Up      bool          `json:"up"`
	Primary bool          `json:"primary"`
	Status  MemberStatus  `json:"status"`
	Age     time.Duration `json:"age_ns"`
	AgeOK   bool          `json:"age_known"`
}

// Report describes all members for an operator.
func (g *Group) Report(now time.Time) []MemberReport {
	out := make([]MemberReport, 0, len(g.view))
	for i := range g.view {
		r := MemberReport{Member: g.Members[i], Status: g.view[i].status, Primary: i == g.primary}
		r.Up = g.view[i].heardWithin(now, memberFresh)
		r.Age, r.AgeOK = g.age(now, r.Status)
		out = append(out, r)
	}
	return out
}
