package failover

import (
	"errors"
	"fmt"
	"maps"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// chooseCandidate returns the replica to promote, which has every acknowledged commit.
func (r *replacement) chooseCandidate(reports map[replicaset.EndpointID]replicaset.Status) (replicaset.EndpointID, error) {
	candidate, ok := r.mostAdvanced(reports)
	if ok && candidate == r.old.ID {
		candidate = r.preferSuccessor(reports)
	}
	if r.reason == reasonOverloaded {
		candidate, ok = r.mostLagging(reports)
	}
	if !ok {
		return "", errors.New("no replica is eligible for promotion")
	}
	if acked := r.set.Acknowledged(); reports[candidate].Received.Less(acked) && r.Engine.Policy(r.set.Name).Synchronous {
		return "", fmt.Errorf("the most advanced replica is at %s, but commits up to %s were acknowledged", reports[candidate].Received, acked)
	}
	if ahead(r.unregistered, reports[candidate].Received) {
		return "", fmt.Errorf("the most advanced replica is at %s, an unregistered one is ahead: %v", reports[candidate].Received, r.unregistered)
	}
	return candidate, nil
}

// mostAdvanced returns the replica that has received most of the log. Among equals it
// prefers one that is not draining, then the one with the smallest lag.
func (r *replacement) mostAdvanced(reports map[replicaset.EndpointID]replicaset.Status) (replicaset.EndpointID, bool) {
	var best replicaset.Member
	found := false
	for _, m := range r.replicas() {
		st, ok := reports[m.ID]
		if !ok || st.Role != replicaset.Replica {
			continue
		}
		if !found || betterCandidate(m, st, best, reports[best.ID]) {
			best, found = m, true
		}
	}
	return best.ID, found
}

// preferSuccessor returns the replica that is next to the recorded primary, which is the most advanced
// one, if it has every acknowledged commit as well. The platform may take a call for the recorded
// primary as one that changes nothing.
func (r *replacement) preferSuccessor(reports map[replicaset.EndpointID]replicaset.Status) replicaset.EndpointID {
	others := maps.Clone(reports)
	delete(others, r.old.ID)
	next, ok := r.mostAdvanced(others)
	// Acknowledged commits are backed by other members than the primary. All of these answer unless one
	// is missing.
	backed := r.set.MissingReplicas() == 0 && deposedHoldsAll(r.old, reports)
	if p := reports[next].Received; ok && (backed || !p.Less(reports[r.old.ID].Received) || stopPointReached(r.old.StopPoint, others)) {
		return next
	}
	return r.old.ID
}

func betterCandidate(m replicaset.Member, st replicaset.Status, best replicaset.Member, bestStatus replicaset.Status) bool {
	if st.Received != bestStatus.Received {
		return bestStatus.Received.Less(st.Received)
	}
	if m.Draining != best.Draining {
		return best.Draining
	}
	return st.Lag < bestStatus.Lag
}
