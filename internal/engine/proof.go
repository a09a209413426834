package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// ProofTime is how long a replica's word that it follows the primary
	// counts. Whoever promotes pauses all replicas first and lets this time
	// pass before the new primary is announced.
	ProofTime = time.Second
	// ProofMargin is added to the time for which proofs count.
	ProofMargin = 100 * time.Millisecond
	// proofTimeout bounds one question to a replica.
	proofTimeout = 300 * time.Millisecond
)

// errNoProof says that nothing shows that the primary still leads.
var errNoProof = errors.New("no proof that the primary still leads")

// question is put to a replica for all callers who came before it was sent.
type question struct {
	done chan struct{}
	err  error
}

// prove shows that what the group's primary does for a caller who came at the
// given moment sees each commit that was acknowledged before: some replica
// follows that primary and has not been paused, or had not a moment before. A
// connection to the primary that the caller has, if any, is used to ask it.
func (e *Engine) prove(g *group, lead replicaset.Lead, came replicaset.Instant, c *Conn) error {
	for {
		now := g.Lead()
		if now.Switching || now.ID != lead.ID {
			return errNoProof
		}
		if g.Proved(came, ProofTime) {
			return nil
		}
		q, mine := g.ask()
		if mine {
			e.put(g, q, now, c)
			if q.err == nil && !g.Proved(came, ProofTime) {
				return errNoProof
			}
		}
		<-q.done
		if q.err != nil {
			return q.err
		}
	}
}

// put asks a question for all who wait for it, who are answered whatever happens.
func (e *Engine) put(g *group, q *question, lead replicaset.Lead, c *Conn) {
	q.err = errNoProof
	defer g.answer(q)
	q.err = e.question(g, lead, c)
}

// ask returns the question under way, or a new one that the caller has to put.
func (g *group) ask() (q *question, mine bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.question != nil {
		return g.question, false
	}
	g.question = &question{done: make(chan struct{})}
	return g.question, true
}

func (g *group) answer(q *question) {
	g.mu.Lock()
	g.question = nil
	g.mu.Unlock()
	close(q.done)
}

func (e *Engine) question(g *group, lead replicaset.Lead, c *Conn) error {
	if lead.Term == 0 {
		if err := e.learnTerm(g, lead, c); err != nil {
			return err
		}
		lead = g.Lead()
	}
	others, _ := g.ReadOrder(e.Boot(), session.Point{}, map[replicaset.EndpointID]bool{lead.ID: true})
	if len(others) == 0 && len(g.Members()) == 1 {
		return e.confirm(g, lead, e.Boot(), c)
	}
	for _, m := range others {
		sentAt := e.Boot()
		st, err := e.status(m, proofTimeout)
		if err != nil {
			e.event(Event{Group: g.Name, Endpoint: m.ID, Decision: "proof_failed", Reason: err.Error()})
			continue
		}
		if st.Role == replicaset.Replica && st.Held <= st.Term && st.Term == lead.Term {
			return e.confirm(g, lead, sentAt, c)
		}
		e.event(Event{Group: g.Name, Endpoint: m.ID, Decision: "proof_refused", Reason: st.String()})
		if leftPaused(lead, st) {
			e.start("resume", func() { e.resume(m) })
		}
		if lead.Version == 0 && st.Term > lead.Term {
			return errors.Join(errNoProof, e.learnTerm(g, lead, c))
		}
	}
	return e.recorded(g, lead)
}

// recorded proves by the store that the primary leads, where no replica does. A
// switch is recorded before replicas are paused, so that a record which shows none
// is worth as much as the word of a replica that is not paused.
func (e *Engine) recorded(g *group, lead replicaset.Lead) error {
	if e.Recorded == nil {
		return errNoProof
	}
	current, readAt, err := e.Recorded(g.Name)
	if err != nil {
		e.event(Event{Group: g.Name, Endpoint: lead.ID, Decision: "proof_failed", Reason: err.Error()})
		return errors.Join(errNoProof, err)
	}
	if current.Switching || current.Version != lead.Version || current.Version != 0 && current.ID != lead.ID {
		e.event(Event{Group: g.Name, Endpoint: lead.ID, Decision: "proof_refused", Reason: "the store records another state of the group"})
		return errNoProof
	}
	g.Prove(lead, readAt)
	return nil
}

// confirm asks the primary itself after a replica said that it follows it: a
// replica that was resumed after a promotion, and has not heard of it, says the
// same, but the old primary was demoted before.
func (e *Engine) confirm(g *group, lead replicaset.Lead, provedAt replicaset.Instant, c *Conn) error {
	m, ok := g.Member(lead.ID)
	if !ok {
		return errNoProof
	}
	sentAt := e.Boot()
	st, err := e.statusOver(g, m, c)
	if err != nil {
		e.event(Event{Group: g.Name, Endpoint: m.ID, Decision: "proof_failed", Reason: err.Error()})
		return errors.Join(errNoProof, err)
	}
	if st.Role != replicaset.Primary || st.Term != lead.Term {
		e.event(Event{Group: g.Name, Endpoint: m.ID, Decision: "proof_refused", Reason: st.String()})
		return errNoProof
	}
	g.Prove(lead, provedAt)
	e.sample(g, m, sentAt, st.Received)
	return nil
}

// leftPaused reports whether a replica is paused by the switch that made the
// recorded primary. A later switch pauses for a later term.
func leftPaused(lead replicaset.Lead, st replicaset.Status) bool {
	return lead.Version != 0 && !lead.Switching && st.Term < lead.Term && st.Held > st.Term && st.Held <= lead.Term+1
}

// resume lets a replica follow its group's primary again.
func (e *Engine) resume(m replicaset.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	reason := "it was left paused by the last switch"
	if _, err := e.Control(ctx, m, Op{Kind: OpResume}); err != nil {
		reason = err.Error()
	}
	e.event(Event{Group: m.Group, Endpoint: m.ID, Decision: "replica_resumed", Reason: reason})
}

func (e *Engine) status(m replicaset.Member, timeout time.Duration) (replicaset.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return e.Control(ctx, m, Op{Kind: OpStatus})
}

// statusOver asks an endpoint over a connection that the caller has, or else over
// another one: an endpoint that has no connection left may be asked all the same.
func (e *Engine) statusOver(g *group, m replicaset.Member, c *Conn) (replicaset.Status, error) {
	if c == nil || c.Far != nil || c.Endpoint != m.ID || c.broken {
		return e.status(m, proofTimeout)
	}
	return e.controlOver(g, m, c, e.Now().Add(proofTimeout), Op{Kind: OpStatus})
}

// learnTerm finds the primary of a group of which no promotion is recorded:
// the member that leads the highest term.
func (e *Engine) learnTerm(g *group, lead replicaset.Lead, c *Conn) error {
	members := g.Members()
	reports := make([]replicaset.Status, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			st, err := e.statusOver(g, m, c)
			if err != nil {
				e.event(Event{Group: g.Name, Endpoint: m.ID, Decision: "term_unknown", Reason: err.Error()})
				return
			}
			reports[i] = st
		})
	}
	wg.Wait()
	found := replicaset.Lead{Version: lead.Version}
	for i, st := range reports {
		if st.Role == replicaset.Primary && st.Term > found.Term {
			found.ID, found.Term = members[i].ID, st.Term
		}
	}
	if found.ID == "" {
		return errNoProof
	}
	g.Learn(e.Boot(), found, ProofTime+ProofMargin)
	if g.Lead().ID != found.ID {
		return errNoProof
	}
	return nil
}
