package core

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// maxMemberSilence is the time without a report after which an endpoint gets no
// new work.
const maxMemberSilence = time.Second

// ReadRequest describes the requirements of a read.
type ReadRequest struct {
	// Need is the log point that the read must see.
	Need   session.Point
	MaxAge time.Duration
	Zone   Zone
	// Avoid lists members that already refused or failed this read.
	Avoid []MemberID
	// MaxWait is the maximum time to wait for a replica to catch up.
	MaxWait time.Duration
	// Cost estimates the latency of a read on a member, if it is not nil.
	Cost func(MemberID) time.Duration
}

// Choice is the endpoint chosen for a read, if OK is true.
type Choice struct {
	Member  MemberID
	OK      bool
	Replica bool
	// ReplicaEligible is true if a replica meets the requirements, even one in Avoid.
	ReplicaEligible bool
	// CatchingUp is true if a replica has received the entries that the read needs
	// and is expected to apply them within MaxWait.
	CatchingUp bool
}

// RouteRead chooses the endpoint with the lowest cost among those that are
// reachable, are not leaving, have applied r.Need and are at most r.MaxAge stale.
// Replicas are preferred, since only the primary can serve writes.
func (g *Group) RouteRead(now time.Time, r ReadRequest) Choice {
	var c Choice
	var best time.Duration
	for i := range g.views {
		v := &g.views[i]
		if !g.acceptsWork(now, i) || !v.status.Satisfies(r.Need) || !g.FreshEnough(now, v.status, r.MaxAge) {
			c.CatchingUp = c.CatchingUp || g.catchesUpInTime(now, i, r)
			continue
		}
		id := g.Members[i].ID
		replica := i != g.primary
		c.ReplicaEligible = c.ReplicaEligible || replica
		if isAvoided(r.Avoid, id) {
			continue
		}
		cost := r.cost(id, g.Members[i].Zone)
		if !c.OK || replica && !c.Replica || replica == c.Replica && cost < best {
			c.Member, c.OK, c.Replica, best = id, true, replica, cost
		}
	}
	return c
}

func isAvoided(avoid []MemberID, id MemberID) bool {
	for _, a := range avoid {
		if a == id {
			return true
		}
	}
	return false
}

// cost returns the estimate of r.Cost plus a penalty for a member in another zone.
func (r ReadRequest) cost(id MemberID, z Zone) time.Duration {
	const crossZoneCost = time.Millisecond
	var d time.Duration
	if r.Cost != nil {
		d = r.Cost(id)
	}
	if z != r.Zone {
		d += crossZoneCost
	}
	return d
}

// acceptsWork reports whether member i may get new requests.
func (g *Group) acceptsWork(now time.Time, i int) bool {
	v := &g.views[i]
	if !v.heardWithin(now, maxMemberSilence) || v.status.Leaving {
		return false
	}
	return i != g.primary || g.leadsCurrentTerm(i)
}

// LeavingMembers returns the members that report that they are leaving.
func (g *Group) LeavingMembers() []MemberID {
	var out []MemberID
	for i := range g.views {
		if g.views[i].hasStatus && g.views[i].status.Leaving {
			out = append(out, g.Members[i].ID)
		}
	}
	return out
}

// SilentMembers returns the members that have reported before, but not within the time in
// which an endpoint still gets new work.
func (g *Group) SilentMembers(now time.Time) []MemberID {
	return g.MembersSilentFor(now, maxMemberSilence)
}

// MembersSilentFor returns the members that have reported before, but not within d.
func (g *Group) MembersSilentFor(now time.Time, d time.Duration) []MemberID {
	var out []MemberID
	for i := range g.views {
		v := &g.views[i]
		if v.hasStatus && now.Sub(v.heardAt) >= d {
			out = append(out, g.Members[i].ID)
		}
	}
	return out
}

// leadsCurrentTerm reports whether member i is still the primary of the group's
// known term.
func (g *Group) leadsCurrentTerm(i int) bool {
	s := g.views[i].status
	return s.isUnfencedPrimary() && s.Last.Term == g.term
}

// catchesUpInTime reports whether a replica has received the entries that the read
// needs and is expected to apply them within r.MaxWait.
func (g *Group) catchesUpInTime(now time.Time, i int, r ReadRequest) bool {
	v := &g.views[i]
	if i == g.primary || !g.acceptsWork(now, i) || v.status.Last.Term < r.Need.Term {
		return false
	}
	held := v.status.Last.Position >= r.Need.Position && v.status.Applied < r.Need.Position
	return held && v.estimateApplyLag(now) < r.MaxWait
}

// Primary returns the endpoint that accepts writes and its term. It returns false
// while no reachable primary was confirmed by a majority recently.
func (g *Group) Primary(now time.Time) (MemberID, session.Term, bool) {
	if !g.hasPrimary() || !g.acceptsWork(now, g.primary) {
		return "", g.term, false
	}
	if !g.FreshEnough(now, g.views[g.primary].status, g.Timing.MaxConfirmationAge) {
		return "", g.term, false
	}
	return g.Members[g.primary].ID, g.term, true
}

// MemberReport is the state of a member as known to this host.
type MemberReport struct {
	Member   Member        `json:"member"`
	Up       bool          `json:"up"`
	Primary  bool          `json:"primary"`
	Status   MemberStatus  `json:"status"`
	Age      time.Duration `json:"age_ns"`
	AgeKnown bool          `json:"age_known"`
}

// Report returns the state of all members, for operators.
func (g *Group) Report(now time.Time) []MemberReport {
	out := make([]MemberReport, 0, len(g.views))
	for i := range g.views {
		r := MemberReport{Member: g.Members[i], Status: g.views[i].status, Primary: i == g.primary}
		r.Up = g.views[i].heardWithin(now, maxMemberSilence)
		r.Age, r.AgeKnown = g.age(now, r.Status)
		out = append(out, r)
	}
	return out
}
