package failover

import (
	"context"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Replicas that apply their log late serve no read that wants young data, and all
// of those fall to the primary. Where that is more than it can do, and a replica
// lags that has received all of the log, that one takes over: as the primary it
// has everything at once, and the old primary becomes a replica that is not late.

// mayRelieve reports whether a group may be looked at for that reason.
func (m *Manager) mayRelieve(set *replicaset.Set) bool {
	now := m.Engine.Boot()
	if led, ok := set.LedFor(now); ok && led < relieveEvery {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next, ok := m.relieve[set.Name]
	return !ok || now >= next
}

func (m *Manager) restRelief(g session.Group, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.relieve == nil {
		m.relieve = make(map[session.Group]replicaset.Instant)
	}
	m.relieve[g] = m.Engine.Boot().Add(d)
}

// lags reports whether a group has a replica that would be better as the primary.
func (m *Manager) lags(ctx context.Context, set *replicaset.Set, lead replicaset.Lead) bool {
	m.restRelief(set.Name, relieveRest)
	v := m.survey(ctx, set, lead)
	m.event(set.Name, lead.ID, "survey_"+reasonPressed, v.String())
	if len(v.received) < len(set.Members())-1 {
		return false
	}
	r := &run{Manager: m, set: set, old: lead}
	_, ok := r.laggard(v.reports)
	return ok
}

// laggard chooses the replica that lags most among those that have received as
// much of the log as any.
func (r *run) laggard(reports map[replicaset.EndpointID]replicaset.Status) (replicaset.EndpointID, bool) {
	furthest, ok := r.furthest(reports)
	if !ok {
		return "", false
	}
	var best replicaset.EndpointID
	for _, m := range r.replicas() {
		st, ok := reports[m.ID]
		if !ok || st.Role != replicaset.Replica || m.Draining || st.Lag < relieveLag || st.Received.Less(reports[furthest].Received) {
			continue
		}
		if best == "" || st.Lag > reports[best].Lag {
			best = m.ID
		}
	}
	return best, best != ""
}
