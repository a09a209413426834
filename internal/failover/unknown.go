package failover

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// unknownAfter is how long no member may be known as the primary before this host looks for one.
	// Registrations that lapsed while the store was down are back within 2 s of its return.
	unknownAfter = 3 * time.Second
	// unknownInterval is the pause after an attempt that found none.
	unknownInterval = time.Second
)

// findPrimary looks for the primary of a group that neither a registration nor the store names, and
// adopts it. It may be a member that is cut off from the store. If none leads, it is the one that
// the membership record names and that is gone or, if none is, the one with most of the log; the
// group is then checked like any other whose primary is gone or deposed.
func (m *Manager) findPrimary(ctx context.Context, set *replicaset.Set) {
	members, reports := set.Members(), m.askAllKnown(ctx, set)
	found := reportedPrimary(reports)
	if found.ID == "" && len(members) > 0 && len(unanswered(members, reports)) == 0 {
		found.ID = presumedPrimary(set, reports, m.gaveUpMissing(set))
	}
	if found.ID == "" {
		m.event(set.Name, "", "primary_unknown", fmt.Sprintf("%d members, reports %v, %d lost replicas may hold commits", len(members), reports, set.MissingReplicas()))
		pause.For(ctx, unknownInterval)
		return
	}
	m.event(set.Name, found.ID, "primary_found", fmt.Sprintf("term %d, reports %v", found.Term, reports))
	set.AdoptReportedLead(m.Engine.BootTime(), found, 0)
}

// askAllKnown requests the status of all members, and of lost replicas that may still run.
func (m *Manager) askAllKnown(ctx context.Context, set *replicaset.Set) map[replicaset.EndpointID]replicaset.Status {
	status := engine.Op{Kind: engine.OpStatus}
	var lost map[replicaset.EndpointID]unregistered
	var wg sync.WaitGroup
	wg.Go(func() { lost = m.controlLost(ctx, set, status) })
	reports := m.controlAll(ctx, set.Members(), status)
	wg.Wait()
	for id, o := range lost {
		if !o.refused {
			reports[id] = o.Status
		}
	}
	return reports
}

// reportedPrimary returns the member that leads the latest term by its own word. Without one, it
// returns the latest term only.
func reportedPrimary(reports map[replicaset.EndpointID]replicaset.Status) replicaset.Lead {
	var lead replicaset.Lead
	var latest session.Term
	for id, st := range reports {
		latest = max(latest, st.Term)
		if st.Role == replicaset.Primary && (lead.ID == "" || st.Term > lead.Term) {
			lead = replicaset.Lead{ID: id, Term: st.Term}
		}
	}
	if lead.ID == "" {
		lead.Term = latest
	}
	return lead
}

// presumedPrimary returns the member that led last, as far as the membership record tells. If none of
// those that are gone is waited for, it is the one with most of the log.
func presumedPrimary(set *replicaset.Set, reports map[replicaset.EndpointID]replicaset.Status, gaveUp bool) replicaset.EndpointID {
	id, ok := set.PresumedPrimary()
	if id != "" || !ok && !gaveUp {
		return id
	}
	for o, st := range reports {
		best := reports[id]
		if id == "" || best.Received.Less(st.Received) || best.Received == st.Received && best.Term < st.Term {
			id = o
		}
	}
	return id
}
