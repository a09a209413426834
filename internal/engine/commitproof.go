package engine

import (
	"errors"
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// commitProofAhead is how long before the end of a commit proof it is renewed. The
	// renewal has to end before the proof expires.
	commitProofAhead = 110 * time.Millisecond
	// commitProofCheck is the minimum time between two checks of a proof.
	commitProofCheck = 20 * time.Millisecond
	// commitProofTimeout bounds one status request, and storeHedge is how long a replica may
	// take before the store is read as well.
	commitProofTimeout = 200 * time.Millisecond
	storeHedge         = 100 * time.Millisecond
	// commitProofRetry is the pause after an attempt that failed.
	commitProofRetry = 30 * time.Millisecond
	// confirmMargin is the time left for the answer to reach a borrowing host.
	confirmMargin = 20 * time.Millisecond
)

// errNoCommitProof reports that nothing shows that a commit was completed before a promotion
// read the positions of the replicas, errSwitchRecorded that the store shows a switch.
var (
	errNoCommitProof  = errors.New("no proof that no switch of the primary is under way")
	errSwitchRecorded = errors.New("the store records another state of the group")
)

// runConfirmed runs a call. On a connection of this host, a synchronous commit is answered
// with InDoubt unless a replica that promotions ask is known to have it, and a commit proof covers
// that time: a promotion may have read the positions of the replicas before, even if this host has
// not heard of it.
func (e *Engine) runConfirmed(g *group, m replicaset.Member, c *Conn, call Call) ([]Outcome, error) {
	if c.RunRemote != nil || !call.commitsWrites() || !e.Policy(g.Name).Synchronous {
		return c.Run(call)
	}
	if err := e.prepareCommit(g); err != nil {
		return nil, NotSent(err)
	}
	out, err := c.Run(call)
	if err != nil || len(out) < len(call.Ops) || out[len(out)-1].Code != Done {
		return out, err
	}
	o := &out[len(out)-1]
	if err := e.confirmCommit(g, m.ID, o.Point, call.Deadline.Add(-confirmMargin)); err != nil {
		o.Code, o.Reason = InDoubt, reasonOf(err)
	}
	return out, nil
}

// prepareCommit renews a commit proof that is about to expire. After a failed attempt it
// waits for the result: a commit that could not be acknowledged is better not sent.
func (e *Engine) prepareCommit(g *group) error {
	now := e.BootTime()
	g.mu.Lock()
	g.committedAt = now
	failed := g.noCommitProof
	g.mu.Unlock()
	e.keepCommitProof(g)
	if g.HasCommitProof(now.Add(commitProofAhead)) {
		return nil
	}
	call := e.startCommitProof(g, g.Lead().Term)
	if !failed {
		return nil
	}
	<-call.done
	if call.err != nil {
		return errors.Join(errNoProof, call.err)
	}
	return nil
}

// confirmCommit confirms a commit at position p that the endpoint has just answered. It waits until
// a replica that each promotion asks has received the commit, and then for a commit proof: no
// promotion has read the positions of the replicas before.
func (e *Engine) confirmCommit(g *group, id replicaset.EndpointID, p session.Point, deadline time.Time) error {
	doneAt := e.BootTime()
	var replicatedAt replicaset.Instant
	for {
		changed, lead := g.Changed(), g.Lead()
		if replicatedAt == 0 && g.Replicated(p) {
			replicatedAt = e.BootTime()
		}
		switch {
		case lead.ID != id || lead.Term != 0 && p.Term != 0 && p.Term != lead.Term:
			return errReplaced
		case replicatedAt != 0 && g.HasCommitProof(replicatedAt):
			// The primary has completed a commit besides, which only a primary does.
			g.RecordProof(lead, min(doneAt, g.CommitProofEnd().Add(-replicaset.CommitProofTime)))
			return nil
		case !e.Now().Before(deadline) && replicatedAt == 0:
			return errNotReplicated
		case !e.Now().Before(deadline):
			return errNoCommitProof
		}
		e.awaitAny(changed, e.pursueCommit(g, lead, p, replicatedAt != 0), deadline.Sub(e.Now()))
	}
}

// pursueCommit requests what is missing to confirm a commit at position p, and returns a channel
// that is closed once the request has ended. It returns nil during a switch whose end the commit
// has to wait for.
func (e *Engine) pursueCommit(g *group, lead replicaset.Lead, p session.Point, replicated bool) <-chan struct{} {
	switch {
	case !replicated && (!lead.Switching || g.HasCommitProof(e.BootTime())):
		return e.startReplicaCheck(g, p).done
	case !lead.Switching:
		return e.startCommitProof(g, max(lead.Term, p.Term)).done
	}
	return nil
}

// awaitAny waits for one of two events, but no longer than d.
func (e *Engine) awaitAny(a, b <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-a:
	case <-b:
	case <-t.C:
	}
}

// startCommitProof requests a commit proof for a primary of the given term, or returns the
// request in progress.
func (e *Engine) startCommitProof(g *group, term session.Term) *sharedCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.provingCommits != nil {
		return g.provingCommits
	}
	call := &sharedCall{done: make(chan struct{}), err: errNoCommitProof}
	g.provingCommits = call
	e.spawn("commit proof", func() {
		defer func() {
			g.mu.Lock()
			g.provingCommits, g.noCommitProof = nil, call.err != nil
			g.mu.Unlock()
			close(call.done)
		}()
		if call.err = e.obtainCommitProof(g, term); call.err != nil {
			time.Sleep(commitProofRetry)
		}
	})
	return call
}

// keepCommitProof renews the commit proof of a group before it expires, as long as commits are
// sent: without an unbroken chain of proofs only the store can give the next one.
func (e *Engine) keepCommitProof(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keeping || e.BootTime().Sub(g.committedAt) > demandWindow {
		return
	}
	g.keeping = true
	rest := g.CommitProofEnd().Add(-commitProofAhead).Sub(e.BootTime())
	if !g.HasCommitProof(e.BootTime()) {
		rest = replicaset.CommitProofTime
	}
	time.AfterFunc(min(max(rest, commitProofCheck), replicaset.CommitProofTime), func() {
		g.mu.Lock()
		g.keeping = false
		g.mu.Unlock()
		now, lead := e.BootTime(), g.Lead()
		if !lead.Switching && g.HasCommitProof(now) && !g.HasCommitProof(now.Add(commitProofAhead)) {
			e.startCommitProof(g, lead.Term)
		}
		e.keepCommitProof(g)
	})
}

// obtainCommitProof asks the replicas, and the store if they give no proof.
func (e *Engine) obtainCommitProof(g *group, term session.Term) error {
	extended := make(chan bool, 1)
	e.spawn("commit proof by replicas", func() {
		ok := false
		defer func() { extended <- ok }()
		ok = e.extendCommitProof(g, term)
	})
	hedge := time.NewTimer(storeHedge)
	defer hedge.Stop()
	select {
	case ok := <-extended:
		if ok {
			return nil
		}
		extended <- false
	case <-hedge.C:
	}
	err := e.proveByStore(g)
	if err == nil || errors.Is(err, errSwitchRecorded) || !<-extended {
		return err
	}
	return nil
}

// extendCommitProof asks a witness whether it follows the primary unpaused. Their answers count
// only while the last proof is valid: the pauses end once a promotion has taken effect. A host
// that does not hear from the store asks all, since its membership record may be out of date.
func (e *Engine) extendCommitProof(g *group, term session.Term) bool {
	lead, sentAt := g.Lead(), e.BootTime()
	witnesses, all := g.Witnesses()
	if len(witnesses) == 0 || term == 0 || !g.HasCommitProof(sentAt) {
		return false
	}
	switch blind := e.blind(); {
	case !blind:
		witnesses = e.nearest(g, witnesses)
	case !all:
		return false
	}
	return e.allFollow(witnesses, term) && g.ExtendCommitProof(lead, sentAt, e.BootTime())
}

// nearest returns the witness that is the cheapest to ask.
func (e *Engine) nearest(g *group, witnesses []replicaset.Member) []replicaset.Member {
	order, _ := g.ReadOrder(e.BootTime(), session.Point{}, nil)
	for _, m := range order {
		if slices.ContainsFunc(witnesses, func(w replicaset.Member) bool { return w.ID == m.ID }) {
			return []replicaset.Member{m}
		}
	}
	return witnesses[:1]
}

// allFollow reports whether all replicas answer as unpaused replicas of a primary of the term.
func (e *Engine) allFollow(replicas []replicaset.Member, term session.Term) bool {
	answers := make(chan bool, len(replicas))
	for _, m := range replicas {
		e.spawn("status request for a commit proof", func() {
			follows := false
			defer func() { answers <- follows }()
			st, err := e.status(m, commitProofTimeout)
			if err != nil {
				e.emit(Event{Group: m.Group, Endpoint: m.ID, Decision: "commit_proof_failed", Reason: err.Error()})
				return
			}
			if follows = st.Follows(term); !follows {
				e.emit(Event{Group: m.Group, Endpoint: m.ID, Decision: "commit_proof_refused", Reason: st.String()})
			}
		})
	}
	for range replicas {
		if !<-answers {
			return false
		}
	}
	return true
}

// proveByStore reads the store's record of the leads, which proves for all groups whose record
// shows no switch that none has stopped the replicas, and that the primary leads: a switch is
// recorded before any replica is paused.
func (e *Engine) proveByStore(g *group) error {
	if e.RecordedLead == nil {
		return errNoCommitProof
	}
	err := e.proveGroupByStore(g)
	if err != nil {
		e.emit(Event{Group: g.Name, Decision: "commit_proof_failed", Reason: err.Error()})
		return err
	}
	// A slow store is read once for each group; nobody waits for the others.
	e.spawn("commit proofs of other groups", func() {
		for _, o := range e.allGroups() {
			if o != g && e.proveGroupByStore(o) != nil {
				return
			}
		}
	})
	return nil
}

func (e *Engine) proveGroupByStore(g *group) error {
	lead := g.Lead()
	current, readAt, err := e.RecordedLead(g.Name)
	if err != nil {
		return errors.Join(errNoCommitProof, err)
	}
	if current.Switching || current.Version != 0 && (current.ID != lead.ID || current.Term != lead.Term) {
		return errSwitchRecorded
	}
	g.RecordCommitProof(lead, readAt)
	if current.Revision() == lead.Revision() && current.Term == lead.Term {
		g.RecordStoreProof(lead, readAt)
	}
	return nil
}
