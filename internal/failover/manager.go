package failover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// suspectAfter is how long a primary may leave requests unanswered before it is
	// suspected.
	suspectAfter = 250 * time.Millisecond
	// deadAfter is how long a primary may be silent before it is replaced, provided that
	// its replicas receive nothing from it either.
	deadAfter = 600 * time.Millisecond
	// stuckAfter is how long a primary may answer other requests, but no commits, before it
	// is suspected and replaced.
	stuckAfter = 500 * time.Millisecond
	// deposedAfter is how long the recorded primary must have been a replica by its own word before it
	// is replaced. A primary that has just been promoted is still registered as a replica.
	deposedAfter = time.Second
	// minReceiveGap is how long the replicas must have received nothing before the primary
	// counts as failed.
	minReceiveGap = 350 * time.Millisecond
	// surveyInterval is the minimum time between two surveys of a group. It is above
	// minReceiveGap, so that two surveys can confirm a failure.
	surveyInterval = 360 * time.Millisecond
	// Hosts delay their first survey at random, so that they don't survey all at once: over
	// staggerPerHost for each host that may suspect the same primary, but at most over
	// maxStagger.
	staggerPerHost = 20 * time.Millisecond
	maxStagger     = 400 * time.Millisecond
	// staggerPerRank is the delay between hosts of consecutive ranks. Hosts of rank
	// rankedHosts and above follow after these, with a random delay.
	staggerPerRank = 60 * time.Millisecond
	rankedHosts    = 8
	// overloadAfter is how long a primary must have been overloaded before a replica that
	// lags takes over from it.
	overloadAfter = time.Second
	// minReliefLag is the minimum lag of such a replica. A switch stops writes for about
	// 1.5 s and must gain more than that.
	minReliefLag = 5 * time.Second
	// minReliefInterval is the minimum time between a change of the primary and such a
	// switch, and reliefCheckInterval that between two checks of a group.
	minReliefInterval   = 8 * time.Second
	reliefCheckInterval = 3 * time.Second
	// aliveTime is how long a primary that answered a survey is not suspected again.
	aliveTime = 500 * time.Millisecond
	// probeTimeout bounds one control request to an endpoint.
	probeTimeout = 400 * time.Millisecond
	// leaseTime is the duration of the promotion lease.
	leaseTime = 5 * time.Second
)

// Manager watches all groups of one host and replaces their primaries.
type Manager struct {
	// HostID is the id of this host.
	HostID string
	Engine *engine.Engine
	Store  Store
	// Promote asks the platform to make an endpoint the primary.
	Promote func(ctx context.Context, g session.Group, id replicaset.EndpointID, holder string, token uint64) error

	// Rank returns how many hosts see more of an endpoint's work than this one, or false if
	// the hosts are not ranked for that endpoint. It may be nil.
	Rank func(m replicaset.Member, maxConnections int) (rank int, ok bool)

	mu         sync.Mutex
	aliveAt    map[session.Group]replicaset.Instant
	nextRelief map[session.Group]replicaset.Instant
	// nextUpdate is when the membership record of a group may be updated next.
	nextUpdate map[session.Group]replicaset.Instant
	// nextConfirm is when a group may be confirmed next.
	nextConfirm map[session.Group]replicaset.Instant
	// nextMembershipCheck is used by Run only.
	nextMembershipCheck replicaset.Instant
	inProgress          map[session.Group]bool
	// activeSwitches is the number of switches that this host has claimed and not ended.
	activeSwitches int
	// claims is the number of switches that this host claims or has claimed, and not ended.
	claims int
	// firstObserved is when this process first saw the store, callsEnded when its last switch
	// of a group ended that had sent a promote call and not recorded the outcome.
	firstObserved replicaset.Instant
	callsEnded    map[session.Group]replicaset.Instant

	receiveGaps map[session.Group]receiveGap
	knownLease  Lease
	storeReadAt replicaset.Instant
	storeTime   time.Duration
	era         eraState
	hostCount   int
	wg          sync.WaitGroup
}

// receiveGap records since when the replicas of a group have received nothing.
type receiveGap struct {
	since      replicaset.Instant
	surveyedAt replicaset.Instant
	lead       replicaset.EndpointID
	received   map[replicaset.EndpointID]session.Point
}

// SetHosts sets the number of hosts that may suspect the same primary.
func (m *Manager) SetHosts(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hostCount = n
}

// Observe updates the known lease, the era and the store's clock, which was st.Now when this
// host's clock was at readAt. It ignores a state of an earlier era.
func (m *Manager) Observe(st State, readAt replicaset.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstObserved == 0 {
		m.firstObserved = m.Engine.BootTime()
	}
	era, openedAt := m.era.era, m.era.openedAt
	if !m.era.observe(st, m.Engine.BootTime()) {
		return
	}
	if st.Whole {
		m.adoptPrimaries(m.Engine.BootTime())
	}
	if m.era.era != era || m.era.openedAt != openedAt {
		// Switches that were recorded before are over, and groups may be unconfirmed.
		m.Engine.CheckAll()
	}
	if m.knownLease.Era < st.Revision.Era {
		m.knownLease = Lease{Era: st.Revision.Era}
	}
	if !st.Lease.revision().Less(m.knownLease.revision()) {
		m.knownLease = st.Lease
	}
	m.storeTime, m.storeReadAt = st.Now, readAt
	m.adoptMemberships(st, m.Engine.BootTime())
}

// storeNow estimates the store's clock from the last reading.
func (m *Manager) storeNow() time.Duration {
	return m.storeTime + m.Engine.BootTime().Sub(m.storeReadAt)
}

// checkGroup starts a goroutine that confirms and handles a suspicion about a group, if
// there is one and none is being handled.
func (m *Manager) checkGroup(ctx context.Context, set *replicaset.Set) {
	lead := set.Lead()
	reason := m.suspicion(set, lead)
	if reason == "" || !m.beginCheck(set.Name) {
		return
	}
	m.wg.Add(1)
	go guard.Run("failover of "+string(set.Name), m.Engine.ReportPanic, func() {
		defer m.wg.Done()
		defer m.endCheck(set.Name)
		m.confirmAndSwitch(ctx, set, lead, reason)
	})
}

// beginCheck marks a check of the group as in progress. It returns false if one already is.
func (m *Manager) beginCheck(g session.Group) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inProgress[g] {
		return false
	}
	if m.inProgress == nil {
		m.inProgress = make(map[session.Group]bool)
	}
	m.inProgress[g] = true
	return true
}

func (m *Manager) endCheck(g session.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inProgress, g)
}

// The reasons to check a group.
const (
	reasonSilent   = "silent"
	reasonStuck    = "stuck"
	reasonDraining = "draining"
	reasonGone     = "gone"
	reasonOrphaned = "orphaned"
	// reasonSuperseded means that a member is in a later term than the recorded primary.
	reasonSuperseded = "superseded"
	// reasonDeposed means that the recorded primary is a replica by its own word.
	reasonDeposed = "deposed"
	// reasonUnknown means that neither the store nor a registration tells who leads.
	reasonUnknown = "unknown"
	// reasonUnrecorded means that the store has lost the record of the primary.
	reasonUnrecorded = "unrecorded"
	// reasonOverloaded means that replicas lag too far for many reads, and that the primary
	// cannot serve all of those.
	reasonOverloaded = "pressed"
)

// suspicion returns the reason why a group needs a check, or "" if it needs none.
func (m *Manager) suspicion(set *replicaset.Set, lead replicaset.Lead) string {
	now := m.Engine.BootTime()
	if lead.ID == "" {
		if set.PrimaryUnknownFor(now) >= unknownAfter {
			return reasonUnknown
		}
		return ""
	}
	if lead.Switching && set.UnreadableFor(now) < unreadableTime {
		// Only the first switch is known to be that which promoted the member.
		if m.abandoned(lead) || !lead.TakenOver && promotedElsewhere(set, lead) {
			return reasonOrphaned
		}
		return ""
	}
	member, ok := set.Member(lead.ID)
	silent, stuck := set.UnansweredSince()
	switch {
	case set.RecordOutdated() || set.UnreadableFor(now) >= unreadableTime:
		return reasonUnrecorded
	case !ok:
		return reasonGone
	case member.Draining && hasSuccessor(set, lead.ID):
		return reasonDraining
	case m.recentlyAlive(set.Name):
		return ""
	case set.Superseded():
		return reasonSuperseded
	case silent != 0 && now.Sub(silent) >= suspectAfter:
		return reasonSilent
	case stuck != 0 && now.Sub(stuck) >= stuckAfter:
		return reasonStuck
	case set.DeposedFor(now) >= deposedAfter:
		return reasonDeposed
	case set.OverloadedFor(now) >= overloadAfter && m.reliefAllowed(set):
		return reasonOverloaded
	}
	return ""
}

// promotedElsewhere reports whether another member is registered as the primary.
func promotedElsewhere(set *replicaset.Set, lead replicaset.Lead) bool {
	for _, o := range set.Members() {
		if o.ID != lead.ID && o.Role == replicaset.Primary {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether there is another member that is not draining.
func hasSuccessor(set *replicaset.Set, old replicaset.EndpointID) bool {
	for _, o := range set.Members() {
		if o.ID != old && !o.Draining {
			return true
		}
	}
	return false
}

// abandoned reports whether a switch is past its deadline or was started by this host
// before a restart.
func (m *Manager) abandoned(lead replicaset.Lead) bool {
	return lead.Holder == m.HostID || m.overdue(lead)
}

// overdue reports whether a switch is past its deadline: none of its promote calls can take effect
// any more.
func (m *Manager) overdue(lead replicaset.Lead) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era.over(lead.Revision()) || m.storeNow() > lead.Until+leaseMargin
}

// leaseFree reports whether the promotion lease is free, has ended or is held by this host.
func (m *Manager) leaseFree() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era.over(m.knownLease.revision()) || m.knownLease.Holder == "" || m.knownLease.Holder == m.HostID || m.storeNow() > m.knownLease.Until+leaseMargin
}

// confirmAndSwitch confirms a suspicion and replaces the primary, or ends an orphaned
// switch.
func (m *Manager) confirmAndSwitch(ctx context.Context, set *replicaset.Set, lead replicaset.Lead, reason string) {
	if !pause.For(ctx, m.staggerDelay(set, lead)) {
		return
	}
	if set.Lead().Revision() != lead.Revision() || m.suspicion(set, lead) == "" {
		return
	}
	switch reason {
	case reasonSuperseded, reasonDeposed:
		if m.finishSwitch(ctx, set, lead) || !m.confirmFailure(ctx, set, lead, reason) {
			return
		}
	case reasonUnrecorded:
		m.recordAgain(ctx, set)
		return
	case reasonUnknown:
		m.findPrimary(ctx, set)
		return
	case reasonSilent, reasonStuck, reasonGone:
		if !m.confirmFailure(ctx, set, lead, reason) {
			return
		}
	case reasonOverloaded:
		if !m.hasReliefCandidate(ctx, set, lead) {
			return
		}
	case reasonOrphaned:
		if m.finishSwitch(ctx, set, lead) || !m.abandoned(lead) || !m.leaseFree() {
			return
		}
	}
	if set.Lead().Revision() == lead.Revision() {
		m.switchover(ctx, set, lead.Revision(), reason)
	}
}

// staggerDelay returns how long this host waits before it acts on a suspicion. Hosts that
// hold the primary's connections see all of its work and go first: an endpoint that is
// merely slow must not be queried by every host.
func (m *Manager) staggerDelay(set *replicaset.Set, lead replicaset.Lead) time.Duration {
	m.mu.Lock()
	spread := min(time.Duration(m.hostCount+1)*staggerPerHost, maxStagger)
	m.mu.Unlock()
	member, known := set.Member(lead.ID)
	if m.Rank == nil || !known {
		return rand.N(spread)
	}
	rank, ok := m.Rank(member, m.Engine.Policy(set.Name).MaxConnections)
	switch {
	case !ok:
		return rand.N(spread)
	case rank < rankedHosts:
		return time.Duration(rank)*staggerPerRank + rand.N(staggerPerHost)
	}
	return rankedHosts*staggerPerRank + rand.N(3*maxStagger)
}

// confirmFailure surveys a group until the primary answers again or its replicas have
// received nothing for long enough. It reports whether the primary is to be replaced.
func (m *Manager) confirmFailure(ctx context.Context, set *replicaset.Set, lead replicaset.Lead, reason string) bool {
	for set.Lead().Revision() == lead.Revision() {
		surveyStart := m.Engine.BootTime()
		res := m.survey(ctx, set, lead)
		gap := m.updateReceiveGap(set, lead, res)
		silent, stuck := set.UnansweredSince()
		now := m.Engine.BootTime()
		m.event(set.Name, lead.ID, "survey_"+reason, res.String())
		switch {
		case len(res.received) == 0 && !res.primaryFollows(lead):
			return false
		case reason == reasonGone && res.leadsTerm(lead.Term):
			m.finishSwitch(ctx, set, lead)
			return false
		case res.primaryAnswers && reason != reasonStuck, res.primaryAnswers && !res.primaryAhead():
			m.markAlive(set.Name)
			return false
		case reason == reasonStuck && stuck == 0, reason == reasonDeposed && !res.primaryFollows(lead):
			return false
		case reason == reasonSilent && silent == 0:
			return false
		}
		overdue := reason == reasonGone || reason == reasonSuperseded || reason == reasonDeposed || reason == reasonSilent && now.Sub(silent) >= deadAfter ||
			reason == reasonStuck && now.Sub(stuck) >= stuckAfter
		if overdue && gap >= minReceiveGap && m.canComplete(set, lead, res) {
			return true
		}
		if !pause.For(ctx, surveyInterval-now.Sub(surveyStart)) {
			return false
		}
	}
	return false
}

// canComplete reports whether a switch could complete: each replica that may hold the only
// other copy of a commit has to answer. A switch that cannot complete would only keep all
// hosts from a primary that some of them may still reach.
func (m *Manager) canComplete(set *replicaset.Set, lead replicaset.Lead, res surveyResult) bool {
	replicas := 0
	for _, o := range set.Members() {
		if o.ID != lead.ID && !set.Absent(o.ID, res.startedAt) {
			replicas++
		}
	}
	missing := m.missingReplicas(set, lead, res.reports)
	if len(res.received) == replicas && missing == 0 && !res.behindUnregistered() {
		if n := set.MissingReplicas(); n > 0 && m.gaveUpMissing(set) {
			m.event(set.Name, lead.ID, "lost_replicas_given_up", fmt.Sprintf("%d, after %s without a primary", n, set.PrimaryGoneFor(m.Engine.BootTime())))
		}
		return true
	}
	m.event(set.Name, lead.ID, "switch_held_back", fmt.Sprintf("%d of %d replicas answered, %d lost replicas may hold commits, unregistered: %v",
		len(res.received), replicas, missing, res.unregistered))
	return false
}

// markAlive records that a suspected primary answered.
func (m *Manager) markAlive(g session.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.aliveAt == nil {
		m.aliveAt = make(map[session.Group]replicaset.Instant)
	}
	m.aliveAt[g] = m.Engine.BootTime()
}

// recentlyAlive reports whether a suspected primary answered within aliveTime.
func (m *Manager) recentlyAlive(g session.Group) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.aliveAt[g]
	return ok && m.Engine.BootTime().Sub(at) < aliveTime
}

func (m *Manager) event(g session.Group, id replicaset.EndpointID, decision, reason string) {
	v := engine.Event{Failover: true, Group: g, Endpoint: id, Decision: decision, Reason: reason}
	if g != "" {
		v.Age = m.Engine.Group(g).ProofAge(m.Engine.BootTime())
	}
	m.Engine.Event(v)
}
