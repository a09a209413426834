package failover

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// tick is how often the groups are looked at.
	tick = 100 * time.Millisecond
	// suspectAfter is the silence after which a primary is asked again.
	suspectAfter = 200 * time.Millisecond
	// deadAfter is the silence after which a primary that its replicas don't
	// hear either is replaced.
	deadAfter = 600 * time.Millisecond
	// stuckAfter is how long commits are not answered before a primary whose
	// replicas don't hear it is replaced although it answers.
	stuckAfter = 900 * time.Millisecond
	// maxStagger spreads the hosts that start a promotion at the same time.
	maxStagger = 300 * time.Millisecond
	// probeTimeout bounds one question to an endpoint.
	probeTimeout = 400 * time.Millisecond
	// dutyTime is the lease of the duty.
	dutyTime = 6 * time.Second
)

// Manager watches all groups of one host and replaces primaries.
type Manager struct {
	Self    string
	Engine  *engine.Engine
	Records Records
	// Promote asks the platform to make an endpoint the primary.
	Promote func(ctx context.Context, g session.Group, id replicaset.EndpointID, holder string, token uint64) error

	mu      sync.Mutex
	running map[session.Group]bool
	duty    Duty
	readAt  replicaset.Instant
	storeAt time.Duration
	holding int
	// confirmed is the last token that was confirmed for a group.
	confirmed map[session.Group]uint64
	wg        sync.WaitGroup
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
	if lead.Switching {
		m.confirm(ctx, set, lead)
	}
	reason := m.suspicion(set, lead)
	if reason == "" || !m.begin(set.Name) {
		return
	}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		defer m.end(set.Name)
		m.handle(ctx, set, lead, reason)
	}()
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
)

func (m *Manager) suspicion(set *replicaset.Set, lead replicaset.Lead) string {
	now := m.Engine.Boot()
	if lead.Switching {
		if m.dutyFree() {
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
	case silent != 0 && now.Sub(silent) >= suspectAfter:
		return reasonSilent
	case stuck != 0 && now.Sub(stuck) >= stuckAfter:
		return reasonStuck
	}
	return ""
}

func hasSuccessor(set *replicaset.Set, old replicaset.EndpointID) bool {
	for _, o := range set.Members() {
		if o.ID != old && !o.Draining {
			return true
		}
	}
	return false
}

// dutyFree reports whether nobody holds the duty, or nobody but this host.
func (m *Manager) dutyFree() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.duty.Holder == "" || m.duty.Holder == m.Self || m.storeNow() > m.duty.Until+dutyMargin
}

// confirm answers, once, that this host has seen that a group is switching.
func (m *Manager) confirm(ctx context.Context, set *replicaset.Set, lead replicaset.Lead) {
	m.mu.Lock()
	if m.confirmed == nil {
		m.confirmed = make(map[session.Group]uint64)
	}
	if m.confirmed[set.Name] == lead.Version {
		m.mu.Unlock()
		return
	}
	m.confirmed[set.Name] = lead.Version
	m.mu.Unlock()
	go func() {
		if err := m.Records.Confirm(ctx, m.Self, set.Name, lead.Version); err != nil {
			m.event(set.Name, lead.ID, "confirm_failed", err.Error())
		}
	}()
}

// Saw confirms at once what a change of the records asks to be confirmed.
func (m *Manager) Saw(ctx context.Context, set *replicaset.Set) {
	if lead := set.Lead(); lead.Switching {
		m.confirm(ctx, set, lead)
	}
}

// handle confirms a suspicion and switches.
func (m *Manager) handle(ctx context.Context, set *replicaset.Set, lead replicaset.Lead, reason string) {
	if reason == reasonSilent || reason == reasonStuck || reason == reasonGone {
		if !m.confirmDead(ctx, set, lead, reason) {
			return
		}
	}
	if !sleep(ctx, rand.N(maxStagger)) {
		return
	}
	now := set.Lead()
	if now.Version != lead.Version {
		return
	}
	m.switchover(ctx, set, reason)
}

// confirmDead asks the primary and its replicas: the primary is to be replaced
// if no replica hears it, and if it does not answer or its commits hang.
func (m *Manager) confirmDead(ctx context.Context, set *replicaset.Set, lead replicaset.Lead, reason string) bool {
	view := m.survey(ctx, set, lead)
	m.event(set.Name, lead.ID, "survey_"+reason, view.String())
	silent, stuck := set.Trouble()
	now := m.Engine.Boot()
	switch {
	case view.replicas == 0 || view.hears:
		return false
	case view.primary && reason == reasonStuck:
		return stuck != 0 && now.Sub(stuck) >= stuckAfter
	case view.primary:
		return false
	case reason == reasonGone:
		return true
	}
	return silent != 0 && now.Sub(silent) >= deadAfter
}

func (m *Manager) event(g session.Group, id replicaset.EndpointID, decision, reason string) {
	m.Engine.Event(engine.Event{Group: g, Endpoint: id, Decision: decision, Reason: reason, Age: m.Engine.LeaseAge()})
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
