package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// ProofTime is how long a replica's word that it follows the primary remains valid.
	ProofTime = replicaset.ProofTime
	// ProofMargin is added to ProofTime where the expiry of proofs is awaited.
	ProofMargin = 100 * time.Millisecond
	// proofTimeout bounds one status request.
	proofTimeout = 300 * time.Millisecond
)

// errNoProof reports that there is no proof that the primary still leads.
var errNoProof = errors.New("no proof that the primary still leads")

// sharedCall is a request in progress whose result is shared by all callers that
// wait for it.
type sharedCall struct {
	done chan struct{}
	err  error
}

// prove ensures that what the group's primary does for a statement that arrived
// at arrivedAt sees every commit acknowledged before: some replica followed that
// primary and was not paused at that time, or at most ProofTime before. c is a
// connection of the caller, or nil; if it goes to the primary, the primary is
// queried over it.
func (e *Engine) prove(g *group, lead replicaset.Lead, arrivedAt replicaset.Instant, c *Conn) error {
	for {
		now := g.Lead()
		if now.Switching || now.ID != lead.ID {
			return errNoProof
		}
		if g.HasProof(arrivedAt, ProofTime) {
			if !g.HasProof(arrivedAt, proofRefreshAge) {
				e.startRenewal(g, now)
			}
			return nil
		}
		call, isNew := g.joinProof()
		if isNew {
			e.runProof(g, call, func() error { return e.obtainProof(g, now, c) })
			if call.err == nil && !g.HasProof(arrivedAt, ProofTime) {
				return errNoProof
			}
		}
		<-call.done
		if call.err != nil {
			return call.err
		}
	}
}

// runProof obtains a proof for all waiters of call, and releases them even after
// a panic.
func (e *Engine) runProof(g *group, call *sharedCall, obtain func() error) {
	call.err = errNoProof
	defer g.finishProof(call)
	call.err = obtain()
}

// startRenewal renews a proof before it expires, unless one is being obtained: once evidence is
// broken, a host without the store can't prove anything.
func (e *Engine) startRenewal(g *group, lead replicaset.Lead) {
	if call, isNew := g.joinProof(); isNew {
		e.spawn("renewal of a proof", func() { e.runProof(g, call, func() error { return e.renewProof(g, lead) }) })
	}
}

// renewProof extends unbroken evidence by the word of a replica. If there is none, it begins it by a
// read of the store, for which nobody waits.
func (e *Engine) renewProof(g *group, lead replicaset.Lead) error {
	if !e.blind() && !g.Unbroken(e.BootTime()) {
		e.spawn("read of the store for a proof", func() { _ = e.proveByRecord(g, lead) })
	}
	return e.obtainProof(g, lead, nil)
}

// joinProof returns the request for a proof in progress, or a new one that the
// caller has to run.
func (g *group) joinProof() (call *sharedCall, isNew bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proving != nil {
		return g.proving, false
	}
	g.proving = &sharedCall{done: make(chan struct{})}
	return g.proving, true
}

// finishProof ends a request for a proof and releases its waiters.
func (g *group) finishProof(call *sharedCall) {
	g.mu.Lock()
	g.proving = nil
	g.mu.Unlock()
	close(call.done)
}

// obtainProof asks the replicas in turn whether one follows the primary, and the
// store if none does. A host that does not hear from the store needs the word of all.
func (e *Engine) obtainProof(g *group, lead replicaset.Lead, c *Conn) error {
	if lead.Term == 0 {
		if err := e.learnTerm(g, lead, c); err != nil {
			return err
		}
		lead = g.Lead()
	}
	others, _ := g.ReadOrder(e.BootTime(), session.Point{}, map[replicaset.EndpointID]bool{lead.ID: true})
	if len(others) == 0 && len(g.Members()) == 1 {
		return e.confirmPrimary(g, lead, e.BootTime(), c)
	}
	others = slices.DeleteFunc(others, func(m replicaset.Member) bool { return !g.MayWitness(m.ID) })
	done, err := false, errNoProof
	words, blind := gatheredWords{needed: 1}, e.blind()
	if blind {
		words.needed = len(others)
	}
	e.askWords(others, func(w word) bool {
		switch {
		case w.follows(lead):
			words.add(w)
			words.followed = true
		case blind && w.notRunning():
			words.add(w)
			g.RecordNotRunning(w.member.ID, w.sentAt, e.BootTime())
		default:
			done, err = e.refuseWord(g, lead, w, c)
			return done || blind
		}
		if !words.suffice() {
			return false
		}
		done, err = true, e.confirmPrimary(g, lead, words.firstAt, c)
		return true
	})
	if done {
		return err
	}
	return e.proveByRecord(g, lead)
}

// gatheredWords are the answers of replicas that together give a proof. One that follows the primary is
// enough, if the membership record is up to date. Otherwise a switch may have paused only the others, so
// that each has to follow it, or not to run.
type gatheredWords struct {
	needed, got int
	followed    bool
	firstAt     replicaset.Instant
}

func (g *gatheredWords) add(w word) {
	if g.got++; g.got == 1 || w.sentAt < g.firstAt {
		g.firstAt = w.sentAt
	}
}

func (g *gatheredWords) suffice() bool { return g.followed && g.got >= g.needed }

// refuseWord notes a replica's answer that gives no proof. It returns false if another one may give it.
func (e *Engine) refuseWord(g *group, lead replicaset.Lead, w word, c *Conn) (done bool, err error) {
	if w.err != nil {
		e.emit(Event{Group: g.Name, Endpoint: w.member.ID, Decision: "proof_failed", Reason: w.err.Error()})
		return false, errNoProof
	}
	e.emit(Event{Group: g.Name, Endpoint: w.member.ID, Decision: "proof_refused", Reason: w.status.String()})
	g.ReportTerm(w.status.Term)
	if lead.Version == 0 && w.status.Term > lead.Term {
		return true, errors.Join(errNoProof, e.learnTerm(g, lead, c))
	}
	return false, errNoProof
}

// proveByRecord proves by the record in the store that the primary leads, where
// no replica confirms it. A switch is recorded before replicas are paused, so a
// record without a switch proves as much as the answer of a replica that is not
// paused.
func (e *Engine) proveByRecord(g *group, lead replicaset.Lead) error {
	if e.RecordedLead == nil {
		return errNoProof
	}
	current, readAt, err := e.RecordedLead(g.Name)
	if err != nil {
		e.emit(Event{Group: g.Name, Endpoint: lead.ID, Decision: "proof_failed", Reason: err.Error()})
		return errors.Join(errNoProof, err)
	}
	if current.Switching || current.Revision() != lead.Revision() || current.Term != lead.Term || current.Version != 0 && current.ID != lead.ID {
		e.emit(Event{Group: g.Name, Endpoint: lead.ID, Decision: "proof_refused", Reason: "the store records another state of the group"})
		return errNoProof
	}
	g.RecordStoreProof(lead, readAt)
	return nil
}

// confirmPrimary queries the primary itself after a replica has confirmed that
// it follows it. A replica that was resumed after a promotion, and does not know
// of the promotion yet, still confirms the old primary. That one was demoted before, or
// could not be reached; then only unbroken evidence tells.
func (e *Engine) confirmPrimary(g *group, lead replicaset.Lead, provedAt replicaset.Instant, c *Conn) error {
	m, ok := g.Member(lead.ID)
	if !ok {
		return errNoProof
	}
	sentAt := e.BootTime()
	st, err := e.statusOver(g, m, c)
	if err != nil {
		e.emit(Event{Group: g.Name, Endpoint: m.ID, Decision: "proof_failed", Reason: err.Error()})
		return errors.Join(errNoProof, err)
	}
	if st.Role != replicaset.Primary || st.Term != lead.Term {
		e.emit(Event{Group: g.Name, Endpoint: m.ID, Decision: "proof_refused", Reason: st.String()})
		return errNoProof
	}
	// A group of one has no replica that could be promoted.
	if strict := e.blind() && len(g.Members()) > 1; !g.RecordConfirmation(lead, provedAt, strict) {
		e.emit(Event{Group: g.Name, Endpoint: m.ID, Decision: "proof_refused", Reason: "a promotion may have passed since the last evidence, and the store is lost"})
		return errNoProof
	}
	e.recordSample(g, m, sentAt, st.Received)
	return nil
}

func (e *Engine) status(m replicaset.Member, timeout time.Duration) (replicaset.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return e.Control(ctx, m, Op{Kind: OpStatus})
}

// statusOver requests an endpoint's status over the caller's connection if it
// goes there, and otherwise over another one. An endpoint without a free
// connection can thus still be queried.
func (e *Engine) statusOver(g *group, m replicaset.Member, c *Conn) (replicaset.Status, error) {
	if c == nil || c.RunRemote != nil || c.Endpoint != m.ID || c.broken {
		return e.status(m, proofTimeout)
	}
	return e.controlOver(g, m, c, e.Now().Add(proofTimeout), Op{Kind: OpStatus})
}

// learnTerm finds the primary of a group without a recorded promotion: the
// member that is primary in the highest term.
func (e *Engine) learnTerm(g *group, lead replicaset.Lead, c *Conn) error {
	members := g.Members()
	reports := make([]replicaset.Status, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			st, err := e.statusOver(g, m, c)
			if err != nil {
				e.emit(Event{Group: g.Name, Endpoint: m.ID, Decision: "term_unknown", Reason: err.Error()})
				return
			}
			reports[i] = st
		})
	}
	wg.Wait()
	found := replicaset.Lead{Era: lead.Era, Version: lead.Version}
	for i, st := range reports {
		if st.Role == replicaset.Primary && st.Term > found.Term {
			found.ID, found.Term = members[i].ID, st.Term
		}
	}
	if found.ID == "" {
		return errNoProof
	}
	g.AdoptReportedLead(e.BootTime(), found, ProofTime+ProofMargin)
	if g.Lead().ID != found.ID {
		return errNoProof
	}
	return nil
}
