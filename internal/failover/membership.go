package failover

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// membershipCheckInterval is how often the records of all groups are checked.
	membershipCheckInterval = 500 * time.Millisecond
	// membershipInterval is the time between two updates of a group's membership record by
	// one host.
	membershipInterval = time.Second
	// coveringHosts is how many of the ranked hosts query the endpoints of a group to find
	// out whether a loss is covered.
	coveringHosts = 2
	// missingTimeout is how long a group waits for lost replicas after its primary is gone as well. It
	// is above the time for which an endpoint that has crashed, or is cut off from the store, is away,
	// and leaves time for a switch within the 12 s in which a deployment has to recover.
	missingTimeout = 8 * time.Second
)

// MembershipChange replaces the membership record of a group. It applies only if the record
// and that of the group's lead still are as read: a host that does not know the present
// primary cannot tell what is covered.
type MembershipChange struct {
	Read       State
	Group      session.Group
	Membership replicaset.Membership
}

// adoptMemberships passes the membership records of a state to the groups.
func (m *Manager) adoptMemberships(st State, now replicaset.Instant) {
	for g, ms := range st.Memberships {
		if ms.Unreadable {
			m.Engine.Group(g).MembershipLost(ms.Revision)
			continue
		}
		trusted := m.era.openedAt != 0 && ms.Revision.Era == m.era.era && ms.Revision.Version > m.era.openedAt
		m.Engine.Group(g).SetMembership(now, ms, trusted)
	}
	if !st.Whole {
		return
	}
	for _, set := range m.Engine.Groups() {
		if _, ok := st.Memberships[set.Name]; !ok {
			set.MembershipLost(st.Revision)
		}
	}
}

// checkMemberships checks the records of the groups that are due, at most once in
// membershipCheckInterval.
func (m *Manager) checkMemberships(ctx context.Context) {
	now := m.Engine.BootTime()
	if now < m.nextMembershipCheck {
		return
	}
	m.nextMembershipCheck = now.Add(membershipCheckInterval)
	for _, set := range m.Engine.MembershipChecks.Take() {
		if m.checkMembership(ctx, set) {
			m.Engine.MembershipChecks.Add(set)
		}
	}
}

// checkMembership starts an update of the group's membership record in the background if one
// is due. It reports whether one is or may become due without a further change of the group.
func (m *Manager) checkMembership(ctx context.Context, set *replicaset.Set) bool {
	now := m.Engine.BootTime()
	if !m.Engine.Policy(set.Name).Synchronous || set.Lead().ID == "" {
		return false
	}
	_, differs := set.ProposeMembership(now)
	if set.MissingReplicas() == 0 && !(differs && m.eraOpen()) {
		return differs || set.Lapsing()
	}
	if !m.beginUpdate(set.Name, now) {
		return true
	}
	m.wg.Add(1)
	go guard.Run("membership of "+string(set.Name), m.Engine.ReportPanic, func() {
		defer m.wg.Done()
		defer m.endUpdate(set.Name)
		m.updateMembership(ctx, set)
	})
	return true
}

// beginUpdate marks an update as in progress. It returns false if one is, or if the last one
// was less than membershipInterval ago.
func (m *Manager) beginUpdate(g session.Group, now replicaset.Instant) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.nextUpdate[g] {
		return false
	}
	if m.nextUpdate == nil {
		m.nextUpdate = make(map[session.Group]replicaset.Instant)
	}
	m.nextUpdate[g] = now.Add(time.Hour)
	return true
}

func (m *Manager) eraOpen() bool {
	_, closed := m.closedEra()
	return !closed
}

func (m *Manager) endUpdate(g session.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextUpdate[g] = m.Engine.BootTime().Add(membershipInterval)
}

// updateMembership finds out whether losses are covered, and writes the group's membership
// record if it differs from what this host knows.
func (m *Manager) updateMembership(ctx context.Context, set *replicaset.Set) {
	lead := set.Lead()
	if !pause.For(ctx, m.staggerDelay(set, lead)) || set.Lead().Switching {
		return
	}
	if m.covers(set, lead) {
		// Asks new members, too: another endpoint may answer at the address of one.
		m.controlAll(ctx, set.Members(), engine.Op{Kind: engine.OpStatus})
		if set.MissingReplicas() > 0 {
			m.Engine.RefreshPosition(set.Name)
			m.controlAll(ctx, set.Members(), engine.Op{Kind: engine.OpStatus})
		}
	}
	if _, differs := set.ProposeMembership(m.Engine.BootTime()); !differs || !m.eraOpen() {
		return
	}
	readAt := m.Engine.BootTime()
	st, err := m.Store.Read(ctx)
	if err != nil {
		m.event(set.Name, "", "membership_not_recorded", err.Error())
		return
	}
	m.Observe(st, readAt)
	next, differs := set.ProposeMembership(m.Engine.BootTime())
	now := set.Lead()
	if rec := st.Leads[set.Name]; !differs || now.Switching || now.ID != lead.ID || rec.Revision() != now.Revision() {
		return
	}
	at, err := m.Store.WriteMembership(ctx, MembershipChange{Read: st, Group: set.Name, Membership: next})
	if err != nil {
		if !errors.Is(err, ErrConflict) {
			m.event(set.Name, "", "membership_not_recorded", err.Error())
		}
		return
	}
	next.Revision = at
	set.SetMembership(m.Engine.BootTime(), next, true)
	m.event(set.Name, "", "membership_recorded", fmt.Sprintf("%d replicas, %d of them lost", len(next.Replicas), len(next.Replicas)-len(set.Members())))
}

// covers reports whether this host is one of those that query the endpoints.
func (m *Manager) covers(set *replicaset.Set, lead replicaset.Lead) bool {
	member, ok := set.Member(lead.ID)
	if m.Rank == nil || !ok {
		return true
	}
	rank, ok := m.Rank(member, m.Engine.Policy(set.Name).MaxConnections)
	return !ok || rank < coveringHosts
}

// missingReplicas returns how many lost replicas may hold the only copy of an acknowledged
// commit besides that of the primary, which is lead if no later promotion took place. None is waited
// for any more once the primary has been gone for missingTimeout: nobody is left that could cover
// their loss. Those that still run are asked all the while, and are not passed over.
func (m *Manager) missingReplicas(set *replicaset.Set, lead replicaset.Lead, reports map[replicaset.EndpointID]replicaset.Status) int {
	if !m.Engine.Policy(set.Name).Synchronous || deposedHoldsAll(lead, reports) || stopPointReached(lead.StopPoint, reports) ||
		m.gaveUpMissing(set) {
		return 0
	}
	n := set.MissingReplicas()
	if n > 0 && set.Complete() && primaryIsLost(lead, reports) {
		n--
	}
	return n
}

// gaveUpMissing reports whether lost replicas are not waited for any more.
func (m *Manager) gaveUpMissing(set *replicaset.Set) bool {
	return set.PrimaryGoneFor(m.Engine.BootTime()) >= missingTimeout
}

// deposedHoldsAll reports whether the recorded primary answers as a replica and still has the log
// that it led with, so that it has every commit that was acknowledged.
func deposedHoldsAll(lead replicaset.Lead, reports map[replicaset.EndpointID]replicaset.Status) bool {
	st, ok := reports[lead.ID]
	if !ok || st.Role != replicaset.Replica || lead.Term == 0 || st.Term != lead.Term {
		return false
	}
	for _, o := range reports {
		if o.Term > lead.Term || st.Received.Less(o.Received) {
			return false
		}
	}
	return true
}

// stopPointReached reports whether a replica has everything that was acknowledged before the switch.
func stopPointReached(p session.Point, reports map[replicaset.EndpointID]replicaset.Status) bool {
	if p == (session.Point{}) {
		return false
	}
	for _, st := range reports {
		if st.Role == replicaset.Replica && !st.Received.Less(p) {
			return true
		}
	}
	return false
}

// primaryIsLost reports whether one of the lost members led the group last: the recorded
// primary follows a later one, and no member that reports is a primary.
func primaryIsLost(lead replicaset.Lead, reports map[replicaset.EndpointID]replicaset.Status) bool {
	for _, st := range reports {
		if st.Role != replicaset.Replica {
			return false
		}
	}
	return reports[lead.ID].Term > lead.Term
}

// controlLost sends a control request to the lost replicas of a group that may still run, cut
// off from the store, and returns the answers of those that do.
func (m *Manager) controlLost(ctx context.Context, set *replicaset.Set, op engine.Op) map[replicaset.EndpointID]unregistered {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[replicaset.EndpointID]unregistered)
	for _, member := range set.LostReplicas(m.Engine.BootTime()) {
		wg.Add(1)
		go guard.Run("control request to a lost replica", m.Engine.ReportPanic, func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			st, err := m.Engine.ControlDirect(ctx, member, op)
			if err != nil {
				m.event(member.Group, member.ID, "no_report", err.Error())
			} else {
				m.logOrder(member, op, st)
			}
			if err != nil && !engine.Refused(err) {
				set.RecordSilence(m.Engine.BootTime(), member)
				return
			}
			mu.Lock()
			out[member.ID] = unregistered{member, st, err != nil}
			mu.Unlock()
		})
	}
	wg.Wait()
	return out
}

// unregistered is a replica that answers although its registration has lapsed.
type unregistered struct {
	replicaset.Member
	replicaset.Status
	// refused is set if it runs, but did not tell its status.
	refused bool
}
