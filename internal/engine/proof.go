package engine

import (
	"context"
	"errors"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// LeaseTime is how long after a reading of the leadership records no
	// promotion can have begun unseen: whoever promotes waits it out.
	LeaseTime = 2500 * time.Millisecond
	// proofTimeout bounds one question to a replica.
	proofTimeout = 300 * time.Millisecond
)

// errNoProof says that nothing shows that the primary still leads.
var errNoProof = errors.New("no proof that the primary still leads")

// Renew notes that the leadership records were read at the given moment.
func (e *Engine) Renew(readAt replicaset.Instant) {
	for {
		old := e.lease.Load()
		if old >= int64(readAt) || e.lease.CompareAndSwap(old, int64(readAt)) {
			return
		}
	}
}

// LeaseAge returns how long ago the leadership records were read.
func (e *Engine) LeaseAge() time.Duration {
	return e.Boot().Sub(replicaset.Instant(e.lease.Load()))
}

// leased reports whether no promotion can have begun unseen, as of now.
func (e *Engine) leased() bool {
	at := e.lease.Load()
	return at != 0 && e.Boot().Sub(replicaset.Instant(at)) < LeaseTime
}

// proof is a question to a replica that serves all who came before it was sent.
type proof struct {
	done chan struct{}
	err  error
}

// prove reports whether the group's primary still led when prove was called:
// by the lease, or else by a replica that has not been told to stop receiving.
func (e *Engine) prove(g *group, lead replicaset.Lead) error {
	now := g.Lead()
	if now.ID != lead.ID || now.Term != lead.Term && lead.Term != 0 {
		return errNoProof
	}
	if e.leased() && !now.Switching {
		return nil
	}
	g.mu.Lock()
	p := g.proof
	if p == nil {
		p = &proof{done: make(chan struct{})}
		g.proof = p
		g.mu.Unlock()
		go e.ask(g, lead, p)
		<-p.done
		return p.err
	}
	g.mu.Unlock()
	<-p.done
	return e.proveAnew(g, lead)
}

// proveAnew asks once more: a question that was under way already may have been
// sent too early to speak for this caller.
func (e *Engine) proveAnew(g *group, lead replicaset.Lead) error {
	g.mu.Lock()
	p := g.proof
	if p == nil {
		p = &proof{done: make(chan struct{})}
		g.proof = p
		go e.ask(g, lead, p)
	}
	g.mu.Unlock()
	<-p.done
	return p.err
}

func (e *Engine) ask(g *group, lead replicaset.Lead, p *proof) {
	defer func() {
		g.mu.Lock()
		g.proof = nil
		g.mu.Unlock()
		close(p.done)
	}()
	p.err = errNoProof
	replicas := 0
	for _, m := range g.ReadOrder(e.Boot(), session.Point{}, map[replicaset.EndpointID]bool{lead.ID: true}) {
		replicas++
		ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
		st, err := e.Control(ctx, m, Op{Kind: OpStatus})
		cancel()
		if err != nil {
			e.event(Event{Group: g.Name, Endpoint: m.ID, Decision: "proof_failed", Reason: err.Error()})
			continue
		}
		if st.Role == replicaset.Replica && st.Held <= st.Term && (lead.Term == 0 || st.Term == lead.Term) {
			p.err = nil
		}
		e.event(Event{Group: g.Name, Endpoint: m.ID, Decision: "proof", Reason: st.String(), Age: e.LeaseAge()})
		return
	}
	if replicas == 0 && len(g.Members()) == 1 {
		p.err = nil
	}
}
