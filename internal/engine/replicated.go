package engine

import (
	"errors"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// replicatedPause is the pause between two rounds of requests to the replicas of a group.
const replicatedPause = 20 * time.Millisecond

// errNotReplicated reports that no replica that promotions ask was seen to have a commit, errReplaced
// that another primary leads by the time of its answer.
var (
	errNotReplicated = errors.New("no recorded replica is known to have the commit")
	errReplaced      = errors.New("the primary was replaced while the commit ran")
)

// acknowledge returns a commit's answer if no promotion can have taken effect
// before the commit. A synchronous commit was received by a replica that promotions ask, and the
// host that holds the connection has confirmed that none had read the replicas' positions by
// then; after any other commit, a proof is required that the primary still leads. If this host
// knows of a switch or a lapse that the other one may not have heard of, it looks for itself.
func (s *CallerSession) acknowledge(g *group, lead replicaset.Lead, q query, sentAt replicaset.Instant, deadline time.Time, o Outcome) Outcome {
	if o.Code == InDoubt {
		return s.inDoubt(q, replicaset.Member{ID: lead.ID, Group: g.Name}, errors.New(o.Reason))
	}
	if o.Code != Done {
		return o
	}
	if s.e.Policy(g.Name).Synchronous {
		if err := s.e.awaitReplica(g, lead, o.Point, deadline); err != nil {
			return s.inDoubt(q, replicaset.Member{ID: lead.ID, Group: g.Name}, err)
		}
	}
	if !s.e.Policy(g.Name).Synchronous {
		if err := s.e.prove(g, lead, s.e.BootTime(), nil); err != nil {
			return s.inDoubt(q, replicaset.Member{ID: lead.ID, Group: g.Name}, err)
		}
	}
	g.Acknowledge(o.Point)
	g.Sample(lead.ID, sentAt, o.Point)
	s.notePosition(g.Name, o.Point)
	return o
}

// awaitReplica waits until a registered replica has the log of a primary up to a position, if
// the replica that received it may be one that a promotion does not ask. A host that does not
// hear from the store cannot know that a registration has lapsed.
func (e *Engine) awaitReplica(g *group, lead replicaset.Lead, p session.Point, deadline time.Time) error {
	for {
		if now := g.Lead(); now.ID != lead.ID || lead.Term != 0 && now.Term != lead.Term {
			return errReplaced
		}
		if !g.AwaitsReplica(p, e.blind()) {
			return nil
		}
		if !e.Now().Before(deadline) {
			return errNotReplicated
		}
		call := e.startReplicaCheck(g, p)
		t := time.NewTimer(deadline.Sub(e.Now()))
		select {
		case <-call.done:
		case <-t.C:
		}
		t.Stop()
	}
}

// startReplicaCheck asks the replicas of a group for their positions, or returns the round of
// requests in progress, which all commits share. A new round looks for a replica that has p.
func (e *Engine) startReplicaCheck(g *group, p session.Point) *sharedCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.checking != nil {
		return g.checking
	}
	call := &sharedCall{done: make(chan struct{})}
	g.checking = call
	e.spawn("check of replicas", func() {
		defer func() {
			g.mu.Lock()
			g.checking = nil
			g.mu.Unlock()
			close(call.done)
		}()
		e.askReplicas(g, p)
	})
	return call
}

// askReplicas asks the replicas that promotions ask one after the other until one has the log up
// to p. Control records what they report.
func (e *Engine) askReplicas(g *group, p session.Point) {
	lead := g.Lead()
	others, _ := g.ReadOrder(e.BootTime(), session.Point{}, map[replicaset.EndpointID]bool{lead.ID: true})
	for _, m := range others {
		if !g.MayWitness(m.ID) {
			continue
		}
		sentAt := e.BootTime()
		st, err := e.status(m, proofTimeout)
		if err != nil {
			continue
		}
		if !e.blind() && g.IsRecorded(m) && st.Follows(max(lead.Term, p.Term)) {
			g.ExtendCommitProof(lead, sentAt, e.BootTime())
		}
		if g.Replicated(p) {
			return
		}
	}
	time.Sleep(replicatedPause)
}
