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
	// tick is how often the groups are looked at.
	tick = 100 * time.Millisecond
	// suspectAfter is the silence after which a primary is asked itself.
	suspectAfter = 300 * time.Millisecond
	// deadAfter is the silence after which a primary that its replicas don't
	// hear either is replaced.
	deadAfter = 600 * time.Millisecond
	// stuckAfter is the same for a primary that answers, but not to commits.
	stuckAfter = 500 * time.Millisecond
	// unheardAfter is how long no replica may have received anything.
	unheardAfter = 350 * time.Millisecond
	// surveyEvery is the least time between two surveys of a group.
	surveyEvery = 250 * time.Millisecond
	// staggerHost is the spread of the first survey for each host that may
	// suspect the same primary, up to maxStagger.
	staggerHost = 20 * time.Millisecond
	// maxStagger bounds the spread.
	maxStagger = 400 * time.Millisecond
	// rankStep is the head start of a host over the next one where hosts have
	// ranks, and lastRank the rank of those who have none.
	rankStep = 60 * time.Millisecond
	lastRank = 8
	// pressedAfter is how long a primary has more work than it can do before a
	// replica that lags takes over from it.
	pressedAfter = time.Second
	// relieveLag is the least lag of such a replica: a switch stops writes for
	// about a second and a half, and has to win more than that.
	relieveLag = 5 * time.Second
	// relieveEvery is the least time from a change of the primary to such a switch,
	// and relieveRest that between two looks at a group.
	relieveEvery = 8 * time.Second
	relieveRest  = 3 * time.Second
	// aliveFor is how long a primary that answered is not asked again.
	aliveFor = 500 * time.Millisecond
	// probeTimeout bounds one question to an endpoint.
	probeTimeout = 400 * time.Millisecond
	// dutyTime is the lease of the duty.
	dutyTime = 5 * time.Second
)

// Manager watches all groups of one host and replaces primaries.
type Manager struct {
	Self    string
	Engine  *engine.Engine
	Records Records
	// Promote asks the platform to make an endpoint the primary.
	Promote func(ctx context.Context, g session.Group, id replicaset.EndpointID, holder string, token uint64) error

	// Rank tells how many hosts see more of an endpoint's work than this one does;
	// false where no host does. It is nil where hosts have no ranks.
	Rank func(m replicaset.Member, maxConnections int) (rank int, ok bool)

	mu      sync.Mutex
	alive   map[session.Group]replicaset.Instant
	relieve map[session.Group]replicaset.Instant
	running map[session.Group]bool
	// switching counts the switches of this host that hold the duty.
	switching int
	quiet     map[session.Group]quiet
	duty      Duty
	readAt    replicaset.Instant
	storeAt   time.Duration
	hosts     int
	wg        sync.WaitGroup
}

// quiet is since when a group's replicas have not received anything.
type quiet struct {
	since    replicaset.Instant
	asked    replicaset.Instant
	lead     replicaset.EndpointID
	received map[replicaset.EndpointID]session.Point
}

// SetHosts tells how many hosts may suspect the same primary.
func (m *Manager) SetHosts(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts = n
}

// Observe takes what was read from the store: readAt is when, on this host's
// clock, at the earliest.
func (m *Manager) Observe(d Duty, storeNow time.Duration, readAt replicaset.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Version >= m.duty.Version {
		m.duty = d
	}
	m.storeAt, m.readAt = storeNow, readAt
}

// storeNow estimates the store's clock, never ahead of it.
func (m *Manager) storeNow() time.Duration {
	return m.storeAt + m.Engine.Boot().Sub(m.readAt)
}

// Run watches until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	defer m.wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			for _, set := range m.Engine.Groups() {
				m.look(ctx, set)
			}
		}
	}
}

// look starts a check of a group that seems to need one.
func (m *Manager) look(ctx context.Context, set *replicaset.Set) {
	lead := set.Lead()
	if lead.ID == "" {
		return
	}
	reason := m.suspicion(set, lead)
	if reason == "" || !m.begin(set.Name) {
		return
	}
	m.wg.Add(1)
	go guard.Run("failover of "+string(set.Name), m.Engine.Panicked, func() {
		defer m.wg.Done()
		defer m.end(set.Name)
		m.handle(ctx, set, lead, reason)
	})
}

func (m *Manager) begin(g session.Group) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running[g] {
		return false
	}
	if m.running == nil {
		m.running = make(map[session.Group]bool)
	}
	m.running[g] = true
	return true
}

func (m *Manager) end(g session.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, g)
}

// The reasons to look closer at a group.
const (
	reasonSilent   = "silent"
	reasonStuck    = "stuck"
	reasonDraining = "draining"
	reasonGone     = "gone"
	reasonOrphaned = "orphaned"
	// reasonPressed says that reads that replicas are too far behind for are more
	// than the primary can serve.
	reasonPressed = "pressed"
)

func (m *Manager) suspicion(set *replicaset.Set, lead replicaset.Lead) string {
	now := m.Engine.Boot()
	if lead.Switching {
		if m.abandoned(lead) || promotedElsewhere(set, lead) {
			return reasonOrphaned
		}
		return ""
	}
	member, ok := set.Member(lead.ID)
	silent, stuck := set.Trouble()
	switch {
	case !ok:
		return reasonGone
	case member.Draining && hasSuccessor(set, lead.ID):
		return reasonDraining
	case m.answered(set.Name):
		return ""
	case silent != 0 && now.Sub(silent) >= suspectAfter:
		return reasonSilent
	case stuck != 0 && now.Sub(stuck) >= stuckAfter:
		return reasonStuck
	case set.Pressed(now) >= pressedAfter && m.mayRelieve(set):
		return reasonPressed
	}
	return ""
}

// promotedElsewhere reports whether another member says that it leads now.
func promotedElsewhere(set *replicaset.Set, lead replicaset.Lead) bool {
	for _, o := range set.Members() {
		if o.ID != lead.ID && o.Role == replicaset.Primary {
			return true
		}
	}
	return false
}

func hasSuccessor(set *replicaset.Set, old replicaset.EndpointID) bool {
	for _, o := range set.Members() {
		if o.ID != old && !o.Draining {
			return true
		}
	}
	return false
}

// abandoned reports whether the host that switches a group has taken too long, or
// was this host before it started again.
func (m *Manager) abandoned(lead replicaset.Lead) bool {
	if lead.Holder == m.Self {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeNow() > lead.Until+dutyMargin
}

// dutyFree reports whether nobody holds the duty, or nobody but this host.
func (m *Manager) dutyFree() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.duty.Holder == "" || m.duty.Holder == m.Self || m.storeNow() > m.duty.Until+dutyMargin
}

// handle confirms a suspicion and switches.
func (m *Manager) handle(ctx context.Context, set *replicaset.Set, lead replicaset.Lead, reason string) {
	if !pause.For(ctx, m.stagger(set, lead)) {
		return
	}
	if set.Lead().Version != lead.Version || m.suspicion(set, lead) == "" {
		return
	}
	switch reason {
	case reasonSilent, reasonStuck, reasonGone:
		if !m.unheard(ctx, set, lead, reason) {
			return
		}
	case reasonPressed:
		if !m.lags(ctx, set, lead) {
			return
		}
	case reasonOrphaned:
		if m.finish(ctx, set, lead) || !m.abandoned(lead) || !m.dutyFree() {
			return
		}
	}
	if set.Lead().Version == lead.Version {
		m.switchover(ctx, set, lead.Version, reason)
	}
}

// stagger is how long this host leaves a suspicion to others. Those who hold the
// primary's connections see all of its work and go first: an endpoint that is
// merely slow must not be asked by every host.
func (m *Manager) stagger(set *replicaset.Set, lead replicaset.Lead) time.Duration {
	m.mu.Lock()
	spread := min(time.Duration(m.hosts+1)*staggerHost, maxStagger)
	m.mu.Unlock()
	member, known := set.Member(lead.ID)
	if m.Rank == nil || !known {
		return rand.N(spread)
	}
	rank, ok := m.Rank(member, m.Engine.Policy(set.Name).MaxConnections)
	switch {
	case !ok:
		return rand.N(spread)
	case rank < lastRank:
		return time.Duration(rank)*rankStep + rand.N(staggerHost)
	}
	return lastRank*rankStep + rand.N(3*maxStagger)
}

// unheard surveys a group until the primary answers again or its replicas have
// heard nothing of it for long enough.
func (m *Manager) unheard(ctx context.Context, set *replicaset.Set, lead replicaset.Lead, reason string) bool {
	for set.Lead().Version == lead.Version {
		asked := m.Engine.Boot()
		v := m.survey(ctx, set, lead)
		rest := m.quietFor(set, lead, v)
		silent, stuck := set.Trouble()
		now := m.Engine.Boot()
		m.event(set.Name, lead.ID, "survey_"+reason, v.String())
		switch {
		case len(v.received) == 0:
			return false
		case v.primary && reason != reasonStuck, v.primary && !v.behind():
			m.answers(set.Name)
			return false
		case reason == reasonStuck && stuck == 0:
			return false
		case reason == reasonSilent && silent == 0:
			return false
		}
		long := reason == reasonGone || reason == reasonSilent && now.Sub(silent) >= deadAfter ||
			reason == reasonStuck && now.Sub(stuck) >= stuckAfter
		if long && rest >= unheardAfter && m.canEnd(set, lead, v) {
			return true
		}
		if !pause.For(ctx, surveyEvery-now.Sub(asked)) {
			return false
		}
	}
	return false
}

// canEnd reports whether a switch could come to its end: each replica that may hold
// the only other copy of a commit has to answer. One that cannot would only keep
// everybody from a primary that may live where other hosts reach it.
func (m *Manager) canEnd(set *replicaset.Set, lead replicaset.Lead, v view) bool {
	replicas := 0
	for _, o := range set.Members() {
		if o.ID != lead.ID {
			replicas++
		}
	}
	missing := 0
	if m.Engine.Policy(set.Name).Synchronous {
		missing = set.Missing(m.Engine.Boot())
	}
	if len(v.received) == replicas && missing == 0 {
		return true
	}
	m.event(set.Name, lead.ID, "switch_held_back", fmt.Sprintf("%d of %d replicas answer, %d more may hold commits", len(v.received), replicas, missing))
	return false
}

// answers notes that a suspected primary answers.
func (m *Manager) answers(g session.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.alive == nil {
		m.alive = make(map[session.Group]replicaset.Instant)
	}
	m.alive[g] = m.Engine.Boot()
}

// answered reports whether a suspected primary answered a moment ago.
func (m *Manager) answered(g session.Group) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.alive[g]
	return ok && m.Engine.Boot().Sub(at) < aliveFor
}

// quietFor returns how long no replica has received anything.
func (m *Manager) quietFor(set *replicaset.Set, lead replicaset.Lead, v view) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.quiet == nil {
		m.quiet = make(map[session.Group]quiet)
	}
	now := m.Engine.Boot()
	q := m.quiet[set.Name]
	fresh := q.lead != lead.ID || now.Sub(q.asked) > 4*surveyEvery+2*probeTimeout || q.since == 0
	for id, p := range v.received {
		if before, ok := q.received[id]; !ok || before.Less(p) {
			fresh = true
		}
	}
	if fresh {
		q = quiet{since: now, lead: lead.ID, received: v.received}
	}
	q.asked = now
	m.quiet[set.Name] = q
	return now.Sub(q.since)
}

func (m *Manager) event(g session.Group, id replicaset.EndpointID, decision, reason string) {
	m.Engine.Event(engine.Event{Failover: true, Group: g, Endpoint: id, Decision: decision, Reason: reason, Age: m.Engine.Group(g).ProofAge(m.Engine.Boot())})
}
