package failover

import (
	"context"
	"fmt"
	"sync"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// hearsWithin is the lag under which a replica is held to hear its primary.
const hearsWithin = deadAfter

// view is what the members of a group answered.
type view struct {
	// primary tells that the recorded primary answered as such.
	primary bool
	// hears tells that some replica still hears it.
	hears bool
	// replicas is how many replicas answered, of members in all.
	replicas, members int
	reports           map[replicaset.EndpointID]replicaset.Status
}

// String shows the view in a log line.
func (v view) String() string {
	return fmt.Sprintf("primary answers %t, heard by a replica %t, %d replicas of %d members: %v",
		v.primary, v.hears, v.replicas, v.members, v.reports)
}

// survey asks all members at once.
func (m *Manager) survey(ctx context.Context, set *replicaset.Set, lead replicaset.Lead) view {
	v := view{reports: m.ask(ctx, set.Members(), engine.Op{Kind: engine.OpStatus})}
	v.members = len(set.Members())
	for id, st := range v.reports {
		if id == lead.ID {
			v.primary = st.Role == replicaset.Primary && (lead.Term == 0 || st.Term == lead.Term)
			continue
		}
		v.replicas++
		if st.Lag < hearsWithin {
			v.hears = true
		}
	}
	return v
}

// ask sends the same request to several endpoints and returns the answers.
func (m *Manager) ask(ctx context.Context, members []replicaset.Member, op engine.Op) map[replicaset.EndpointID]replicaset.Status {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[replicaset.EndpointID]replicaset.Status)
	for _, member := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			st, err := m.Engine.Control(ctx, member, op)
			if err != nil {
				m.event(member.Group, member.ID, "no_report", err.Error())
				return
			}
			mu.Lock()
			out[member.ID] = st
			mu.Unlock()
		}()
	}
	wg.Wait()
	return out
}
