package failover

import (
	"context"
	"fmt"
	"sync"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// view is what the members of a group answered.
type view struct {
	// primary tells that the recorded primary answered as such, at which
	// position of its log.
	primary bool
	at      session.Point
	// received is what the replicas that answered have received.
	received map[replicaset.EndpointID]session.Point
	reports  map[replicaset.EndpointID]replicaset.Status
}

// behind reports whether the primary has something that no replica received.
func (v view) behind() bool {
	for _, p := range v.received {
		if !p.Less(v.at) {
			return false
		}
	}
	return true
}

// String shows the view in a log line.
func (v view) String() string {
	return fmt.Sprintf("primary answers %t, at %s: %v", v.primary, v.at, v.reports)
}

// survey asks all members at once.
func (m *Manager) survey(ctx context.Context, set *replicaset.Set, lead replicaset.Lead) view {
	v := view{
		reports:  m.ask(ctx, set.Members(), engine.Op{Kind: engine.OpStatus}),
		received: make(map[replicaset.EndpointID]session.Point),
	}
	for id, st := range v.reports {
		if id != lead.ID {
			v.received[id] = st.Received
			continue
		}
		v.primary = st.Role == replicaset.Primary && (lead.Term == 0 || st.Term == lead.Term)
		v.at = st.Received
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
		go guard.Run("question to an endpoint", m.Engine.Panicked, func() {
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
		})
	}
	wg.Wait()
	return out
}
