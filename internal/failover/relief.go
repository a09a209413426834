package failover

import (
	"context"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Replicas that apply their log late cannot serve reads with a short staleness bound, so
// all of these go to the primary. If they overload it, a lagging replica that has received
// the whole log takes over: as the primary it has the latest state at once, and the old
// primary becomes a replica without lag.

// reliefAllowed reports whether a group may be checked for this kind of switch now.
func (m *Manager) reliefAllowed(set *replicaset.Set) bool {
	now := m.Engine.BootTime()
	if led, ok := set.LeadAge(now); ok && led < minReliefInterval {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next, ok := m.nextRelief[set.Name]
	return !ok || now >= next
}

// postponeRelief postpones the next such check of a group by d.
func (m *Manager) postponeRelief(g session.Group, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nextRelief == nil {
		m.nextRelief = make(map[session.Group]replicaset.Instant)
	}
	m.nextRelief[g] = m.Engine.BootTime().Add(d)
}

// hasReliefCandidate surveys a group and reports whether a replica should take over from
// the overloaded primary.
func (m *Manager) hasReliefCandidate(ctx context.Context, set *replicaset.Set, lead replicaset.Lead) bool {
	m.postponeRelief(set.Name, reliefCheckInterval)
	res := m.survey(ctx, set, lead)
	m.event(set.Name, lead.ID, "survey_"+reasonOverloaded, res.String())
	if len(res.received) < len(set.Members())-1 {
		return false
	}
	r := &replacement{Manager: m, set: set, old: lead}
	_, ok := r.mostLagging(res.reports)
	return ok
}

// mostLagging returns the replica that lags most, by at least minReliefLag, among those
// that have received as much of the log as any other.
func (r *replacement) mostLagging(reports map[replicaset.EndpointID]replicaset.Status) (replicaset.EndpointID, bool) {
	advanced, ok := r.mostAdvanced(reports)
	if !ok {
		return "", false
	}
	var best replicaset.EndpointID
	for _, m := range r.replicas() {
		st, ok := reports[m.ID]
		if !ok || st.Role != replicaset.Replica || m.Draining || st.Lag < minReliefLag || st.Received.Less(reports[advanced].Received) {
			continue
		}
		if best == "" || st.Lag > reports[best].Lag {
			best = m.ID
		}
	}
	return best, best != ""
}
