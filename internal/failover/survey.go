package failover

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// surveyResult holds the answers of a group's members to a status request.
type surveyResult struct {
	startedAt replicaset.Instant
	// primaryAnswers is set if the recorded primary answered and leads the recorded term.
	// Its log ends at primaryPoint.
	primaryAnswers bool
	primaryPoint   session.Point
	// received is the log position that each answering replica has received.
	received map[replicaset.EndpointID]session.Point
	reports  map[replicaset.EndpointID]replicaset.Status
	// unregistered has the replicas that answer although their registration has lapsed.
	unregistered map[replicaset.EndpointID]unregistered
}

// behindUnregistered reports whether an unregistered replica has received more than each of
// the others. It may hold the only copy of a commit besides the primary's.
func (s surveyResult) behindUnregistered() bool {
	var furthest session.Point
	for _, p := range s.received {
		furthest = furthest.Max(p)
	}
	return ahead(s.unregistered, furthest)
}

// leadsTerm reports whether a replica leads the given term. If the recorded primary is not
// registered, it is that primary under another ID.
func (s surveyResult) leadsTerm(term session.Term) bool {
	for id := range s.received {
		if st := s.reports[id]; st.Role == replicaset.Primary && st.Term == term && term != 0 {
			return true
		}
	}
	return false
}

// primaryFollows reports whether the recorded primary answers as a replica.
func (s surveyResult) primaryFollows(lead replicaset.Lead) bool {
	return s.reports[lead.ID].Role == replicaset.Replica
}

// ahead reports whether one of the replicas has received more than p, or may have.
func ahead(replicas map[replicaset.EndpointID]unregistered, p session.Point) bool {
	for _, o := range replicas {
		if o.refused || p.Less(o.Received) {
			return true
		}
	}
	return false
}

// primaryAhead reports whether the primary has log entries that no replica has received.
func (s surveyResult) primaryAhead() bool {
	for _, p := range s.received {
		if !p.Less(s.primaryPoint) {
			return false
		}
	}
	return true
}

// String formats the result for a log event.
func (s surveyResult) String() string {
	return fmt.Sprintf("primary answered %t, at %s, reports %v, unregistered %v", s.primaryAnswers, s.primaryPoint, s.reports, s.unregistered)
}

// survey requests the status of all members at once, and of lost replicas that may still run.
// While the primary leaves its request unanswered, the replicas are asked a second time after
// minReceiveGap: what they have received by then is what counts.
func (m *Manager) survey(ctx context.Context, set *replicaset.Set, lead replicaset.Lead) surveyResult {
	res := surveyResult{startedAt: m.Engine.BootTime(), received: make(map[replicaset.EndpointID]session.Point)}
	status := engine.Op{Kind: engine.OpStatus}
	others := slices.DeleteFunc(set.Members(), func(o replicaset.Member) bool { return o.ID == lead.ID })
	primary := make(chan map[replicaset.EndpointID]replicaset.Status, 1)
	go guard.Run("survey of a primary", m.Engine.ReportPanic, func() {
		var reports map[replicaset.EndpointID]replicaset.Status
		defer func() {
			primary <- reports
			close(primary)
		}()
		if o, ok := set.Member(lead.ID); ok {
			reports = m.controlAll(ctx, []replicaset.Member{o}, status)
		}
	})
	var wg sync.WaitGroup
	wg.Go(func() { res.unregistered = m.controlLost(ctx, set, status) })
	res.reports = m.controlAll(ctx, others, status)
	wg.Wait()
	answer, answered := m.awaitPrimary(set, lead, res.reports, primary)
	if !answered {
		res.reports = m.controlAll(ctx, others, status)
		select {
		case answer = <-primary:
		default:
		}
	}
	for id, st := range res.reports {
		res.received[id] = st.Received
	}
	if st, ok := answer[lead.ID]; ok {
		res.reports[lead.ID] = st
		res.primaryAnswers = st.Role == replicaset.Primary && (lead.Term == 0 || st.Term == lead.Term)
		res.primaryPoint = st.Received
	}
	return res
}

// awaitPrimary waits for the primary's answer to a survey until minReceiveGap has passed since
// the replicas' answers, and records these in the group's receive gap. It returns false if the
// primary has not answered by then.
func (m *Manager) awaitPrimary(set *replicaset.Set, lead replicaset.Lead, reports map[replicaset.EndpointID]replicaset.Status, primary <-chan map[replicaset.EndpointID]replicaset.Status) (map[replicaset.EndpointID]replicaset.Status, bool) {
	received := make(map[replicaset.EndpointID]session.Point)
	for id, st := range reports {
		received[id] = st.Received
	}
	m.updateReceiveGap(set, lead, surveyResult{received: received})
	t := time.NewTimer(minReceiveGap)
	defer t.Stop()
	select {
	case answer := <-primary:
		if len(answer) > 0 {
			return answer, true
		}
		<-t.C
	case <-t.C:
	}
	return nil, false
}

// updateReceiveGap returns how long no replica has received anything, as of a new survey.
// The measurement restarts with a change of the primary and after a long pause between
// surveys.
func (m *Manager) updateReceiveGap(set *replicaset.Set, lead replicaset.Lead, res surveyResult) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.receiveGaps == nil {
		m.receiveGaps = make(map[session.Group]receiveGap)
	}
	now := m.Engine.BootTime()
	gap := m.receiveGaps[set.Name]
	restart := gap.lead != lead.ID || now.Sub(gap.surveyedAt) > 4*surveyInterval+2*probeTimeout || gap.since == 0
	for id, p := range res.received {
		if before, ok := gap.received[id]; !ok || before.Less(p) {
			restart = true
		}
	}
	if restart {
		gap = receiveGap{since: now, lead: lead.ID, received: res.received}
	}
	gap.surveyedAt = now
	m.receiveGaps[set.Name] = gap
	return now.Sub(gap.since)
}

// controlAll sends the same control request to several endpoints at once and returns the
// answers. Endpoints without an answer are left out.
func (m *Manager) controlAll(ctx context.Context, members []replicaset.Member, op engine.Op) map[replicaset.EndpointID]replicaset.Status {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[replicaset.EndpointID]replicaset.Status)
	for _, member := range members {
		wg.Add(1)
		go guard.Run("control request to an endpoint", m.Engine.ReportPanic, func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			st, err := m.Engine.Control(ctx, member, op)
			if err != nil {
				m.event(member.Group, member.ID, "no_report", err.Error())
				return
			}
			m.logOrder(member, op, st)
			mu.Lock()
			out[member.ID] = st
			mu.Unlock()
		})
	}
	wg.Wait()
	return out
}

// logOrder logs a control request that changes an endpoint, and what the endpoint reports
// after it.
func (m *Manager) logOrder(member replicaset.Member, op engine.Op, st replicaset.Status) {
	decision := map[engine.OpKind]string{engine.OpPause: "paused", engine.OpResume: "resumed", engine.OpDemote: "demoted"}[op.Kind]
	if decision != "" {
		m.event(member.Group, member.ID, decision, st.String())
	}
}
