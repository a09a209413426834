package failover

import (
	"context"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// callEffectTime is how long after the end of a host's process, or of its last call, a promote
// call may still take effect.
const callEffectTime = 1500 * time.Millisecond

// giveWayTime is how long a host leaves a switch that it could not complete to the others.
const giveWayTime = 2 * time.Second

// noteCalls records that a switch has ended whose promote call may still take effect.
func (m *Manager) noteCalls(g session.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callsEnded == nil {
		m.callsEnded = make(map[session.Group]replicaset.Instant)
	}
	m.callsEnded[g] = m.Engine.BootTime()
}

// formerCallsLeft returns for how long a promote call of an earlier switch of this host, which it
// may have begun before a restart, may still take effect. Those of another host are over by the
// deadline of its switch.
func (m *Manager) formerCallsLeft(g session.Group, earlier replicaset.Lead) time.Duration {
	if !earlier.Switching || earlier.Holder != m.HostID || m.overdue(earlier) {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ended := max(m.firstObserved, m.callsEnded[g])
	return max(0, ended.Add(callEffectTime).Sub(m.Engine.BootTime()))
}

// nonePromoted reports whether no earlier switch has promoted a replica, as far as all of them
// tell.
func (r *replacement) nonePromoted(ctx context.Context) bool {
	if !pause.For(ctx, r.formerCallsLeft(r.set.Name, r.old)) {
		return false
	}
	_, promoted := r.promotedIn(r.askCandidates(ctx))
	return r.allAnswered && !promoted
}

// giveWay ends a switch that must not restore the old primary: it no longer leads, or an earlier switch
// may have promoted a replica. The group stays recorded as switching, for another host to try: one that
// does not reach a replica keeps failing.
func (r *replacement) giveWay(ctx context.Context, reason string) {
	r.event(r.set.Name, r.old.ID, "old_primary_not_restored", reason)
	r.recorded.Until = 0
	r.releaseLease(ctx)
	pause.For(ctx, giveWayTime)
}

// askCandidates asks all replicas for their status, also those whose registration has lapsed.
func (r *replacement) askCandidates(ctx context.Context) map[replicaset.EndpointID]replicaset.Status {
	askedAt, replicas := r.Engine.BootTime(), r.replicas()
	var lost map[replicaset.EndpointID]unregistered
	var wg sync.WaitGroup
	status := engine.Op{Kind: engine.OpStatus}
	wg.Go(func() { lost = r.controlLost(ctx, r.set, status) })
	reports := r.controlAll(ctx, replicas, status)
	wg.Wait()
	r.allAnswered = true
	for _, m := range replicas {
		if _, ok := reports[m.ID]; !ok && !r.set.Absent(m.ID, askedAt) {
			r.allAnswered = false
		}
	}
	for id, o := range lost {
		if o.refused {
			r.allAnswered = false
			continue
		}
		reports[id] = o.Status
	}
	return reports
}
