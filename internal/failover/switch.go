package failover

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// leaseMargin is the time between the end of a lease and the start of the next holder.
	// It is longer than a call of the previous holder can be in flight.
	leaseMargin = 1500 * time.Millisecond
	// minLeaseToPromote is the lease time that must be left to send a promote call.
	minLeaseToPromote = 1500 * time.Millisecond
	// leaseProofTime is how long before a promote call the store must have shown the lease.
	// A store that comes back from a copy may have lost it, and another host may acquire it
	// after eraSettleTime.
	leaseProofTime = time.Second
	// promoteTimeout bounds one promote call. When it expires, the connection is reset, so
	// that the call is not delivered later.
	promoteTimeout = time.Second
	// effectTimeout is how long a promotion may take until the endpoint reports that it
	// leads.
	effectTimeout = 4 * time.Second
	// effectInterval is the pause between two questions whether a promotion has taken effect.
	effectInterval = 25 * time.Millisecond
	// pollInterval is the pause between two attempts of a repeated request.
	pollInterval = 60 * time.Millisecond
	// drainDelay lets statements that run at a draining primary end before it is replaced.
	drainDelay = 100 * time.Millisecond
	// pauseTimeout is how long a switch tries to pause all replicas before it gives up.
	pauseTimeout = 2500 * time.Millisecond
	// pauseTermOffset is how many terms beyond the current one replicas are paused for. A
	// promotion ends the pauses for its own term, which is one ahead: a replica that has
	// not learned of the new primary would follow the old one again and prove that it
	// leads.
	pauseTermOffset = 2
	// pauseTermsPerSwitch is how many terms a switch reserves in the group's record for its
	// requests to pause, one for each.
	pauseTermsPerSwitch = 128
)

var (
	errLeaseHeld     = errors.New("another host holds the promotion lease")
	errRecordChanged = errors.New("the group's record has changed since the primary was suspected")
	errLeaseLost     = errors.New("the store no longer has the lease of this host")
	errEraNotOpen    = errors.New("a lease from before the store came back may be in force")
)

// replacement is one replacement of a primary in progress.
type replacement struct {
	*Manager
	set    *replicaset.Set
	reason string
	// suspected is the revision of the group's record when the primary was suspected.
	suspected revision.Revision
	old       replicaset.Lead
	// oldFollows is set if the recorded primary is a replica by now: a promotion that is not recorded
	// has made it one, or a DEMOTE of a switch whose promotion did not come about. It may hold the
	// only copy of a commit.
	oldFollows bool
	heldLease  Lease
	leaseStart replicaset.Instant
	// leaseShownAt is when the last read was requested that showed the lease in the store.
	leaseShownAt replicaset.Instant
	// claimed is the state of the store that the lease was acquired in.
	claimed State
	// recorded is the group's record as last written by this host.
	recorded replicaset.Lead
	// unregistered has the paused replicas whose registration has lapsed.
	unregistered map[replicaset.EndpointID]unregistered
	// allAnswered is set if each replica that may have been promoted told its status.
	allAnswered bool
	// asked holds the last reports of the replicas, requested at askedAt, until they are used.
	asked   map[replicaset.EndpointID]replicaset.Status
	askedAt replicaset.Instant
	// pauseOp is the last request to pause. Each has a term of its own, of which pauseTerm is
	// the next one: an earlier request may arrive late.
	pauseOp   engine.Op
	pauseTerm session.Term
	// promoteSent is set once a promotion may take effect. The old primary must not be
	// restored after that.
	promoteSent bool
}

// switchover replaces a group's primary, which was suspected when the group's record had
// the given revision.
func (m *Manager) switchover(ctx context.Context, set *replicaset.Set, suspected revision.Revision, reason string) {
	r := &replacement{
		Manager: m, set: set, suspected: suspected, reason: reason, unregistered: make(map[replicaset.EndpointID]unregistered),
	}
	m.addClaims(1)
	defer m.addClaims(-1)
	if err := r.claimSwitch(ctx, r.currentTerm(ctx)); err != nil {
		m.event(set.Name, "", "switch_not_started", err.Error())
		return
	}
	m.addActiveSwitches(1)
	defer m.addActiveSwitches(-1)
	m.event(set.Name, r.old.ID, "switch_started", fmt.Sprintf("%s, token %d", reason, r.heldLease.Token))
	next, err := r.replacePrimary(ctx)
	if err != nil {
		m.event(set.Name, r.old.ID, "switch_failed", err.Error())
		switch {
		case r.promoteSent:
			m.noteCalls(set.Name)
		case r.recorded.TakenOver && !r.nonePromoted(ctx):
			r.giveWay(ctx, "an earlier switch may have promoted a replica that does not answer")
		case r.oldFollows:
			r.giveWay(ctx, "it is a replica by now")
		default:
			r.conclude(ctx, r.old, r.replicas())
		}
		return
	}
	m.event(set.Name, next.ID, "switched", fmt.Sprintf("%s, term %d, token %d", reason, next.Term, r.heldLease.Token))
	r.retryResume(ctx, next, r.conclude(ctx, next, r.followers(next)))
}

// currentTerm returns the term that is to end. It asks the members if the term is not
// known, but not a primary that is silent. Their term may belong to another primary unless the
// store shows that no promotion was recorded. If another member leads it, the term to end is an
// earlier one.
func (r *replacement) currentTerm(ctx context.Context) session.Term {
	lead := r.set.Lead()
	if lead.Term != 0 {
		return lead.Term
	}
	members := slices.DeleteFunc(r.set.Members(), func(m replicaset.Member) bool {
		return m.ID == lead.ID && r.reason == reasonSilent
	})
	found := reportedPrimary(r.controlAll(ctx, members, engine.Op{Kind: engine.OpStatus}))
	if found.ID != "" && found.ID != lead.ID {
		return found.Term - 1
	}
	return found.Term
}

// replacePrimary promotes another member, unless a promotion by another host has taken
// effect already.
func (r *replacement) replacePrimary(ctx context.Context) (replicaset.Lead, error) {
	if r.reason == reasonDraining && !pause.For(ctx, drainDelay) {
		return replicaset.Lead{}, ctx.Err()
	}
	lead, promoted := r.findPromoted(ctx)
	var reports map[replicaset.EndpointID]replicaset.Status
	var pausedAt replicaset.Instant
	if !promoted {
		r.checkOld(ctx)
		var err error
		if reports, pausedAt, err = r.stopReplicas(ctx); err != nil {
			return replicaset.Lead{}, err
		}
		lead, promoted = r.promotedIn(reports)
	}
	if promoted {
		r.demoteAndAwaitProofs(ctx, lead)
		return lead, nil
	}
	candidate, err := r.chooseCandidate(reports)
	if err != nil {
		return replicaset.Lead{}, err
	}
	r.noteStopPoint(reports)
	if !r.Engine.Policy(r.set.Name).Synchronous {
		r.awaitProofExpiry(ctx, pausedAt)
	}
	next, err := r.promote(ctx, candidate, reports[candidate])
	if err == nil {
		r.awaitProofExpiry(ctx, pausedAt)
	}
	return next, err
}

// awaitProofExpiry waits until all proofs from before the pause have expired.
func (r *replacement) awaitProofExpiry(ctx context.Context, pausedAt replicaset.Instant) {
	if d := engine.ProofTime + engine.ProofMargin - r.Engine.BootTime().Sub(pausedAt); d > 0 {
		pause.For(ctx, d)
	}
}

// finishSwitch records a promotion that another host ordered and did not record. It returns
// false if there is none or if the record could not be written.
func (m *Manager) finishSwitch(ctx context.Context, set *replicaset.Set, lead replicaset.Lead) bool {
	r := &replacement{Manager: m, set: set, old: lead}
	next, ok := r.findPromoted(ctx)
	if !ok {
		return false
	}
	r.demoteAndAwaitProofs(ctx, next)
	if set.Lead().Revision() != lead.Revision() {
		return true
	}
	st, err := r.Store.Read(ctx)
	if rec := st.Leads[set.Name]; err == nil && !st.Unreadable[set.Name] && rec.Revision() != lead.Revision() && !sameSwitch(rec, lead) {
		// The promotion may be from before a switch that is under way, whose own promotion would
		// follow the record.
		set.SetLead(r.Engine.BootTime(), rec)
		return true
	}
	endedAt := r.Engine.BootTime()
	if err == nil {
		r.heldLease = Lease{Token: lead.Token}
		err = r.recordLead(ctx, st, next)
	}
	if err != nil {
		r.event(set.Name, next.ID, "finish_failed", err.Error())
		return false
	}
	r.event(set.Name, next.ID, "switch_finished", fmt.Sprintf("started by %s, term %d", lead.Holder, next.Term))
	r.retryResume(ctx, next, r.resume(ctx, r.followers(next), endedAt))
	return true
}

// sameSwitch reports whether two records are of one switch, which may be written again when its
// lease is released.
func sameSwitch(a, b replicaset.Lead) bool {
	return a.Switching && b.Switching && a.Holder == b.Holder && a.Token == b.Token
}

// demoteAndAwaitProofs demotes the old primary after another host promoted a new one, and
// waits for the full proof time, since it is unknown when that host paused the replicas.
func (r *replacement) demoteAndAwaitProofs(ctx context.Context, next replicaset.Lead) {
	since := r.Engine.BootTime()
	r.demote(ctx, next.Term)
	r.awaitProofExpiry(ctx, since)
}

// checkOld finds out whether the recorded primary is a replica by now, if there is a reason to think
// so: its own word, a later term, or an earlier switch that may have demoted it.
func (r *replacement) checkOld(ctx context.Context) {
	old, ok := r.set.Member(r.old.ID)
	if !ok || r.reason != reasonDeposed && !r.recorded.TakenOver && !r.set.Superseded() {
		return
	}
	st, ok := r.controlAll(ctx, []replicaset.Member{old}, engine.Op{Kind: engine.OpStatus})[old.ID]
	r.oldFollows = ok && st.Role == replicaset.Replica && st.Term >= r.old.Term
}

// noteStopPoint notes the bound of what can have been acknowledged, from what the replicas reported
// once nothing could be acknowledged any more. That of an earlier switch, which this one took over,
// stays: fewer replicas may answer now.
func (r *replacement) noteStopPoint(reports map[replicaset.EndpointID]replicaset.Status) {
	if r.recorded.StopPoint != (session.Point{}) || !r.Engine.Policy(r.set.Name).Synchronous {
		return
	}
	for _, st := range reports {
		r.recorded.StopPoint = r.recorded.StopPoint.Max(st.Received)
	}
	for _, o := range r.unregistered {
		r.recorded.StopPoint = r.recorded.StopPoint.Max(o.Received)
	}
}

// replicas returns all members except the old primary.
func (r *replacement) replicas() []replicaset.Member {
	var out []replicaset.Member
	for _, m := range r.set.Members() {
		if m.ID != r.old.ID || r.oldFollows {
			out = append(out, m)
		}
	}
	return out
}

// findPromoted returns a member that leads a later term, which another host promoted
// without recording it.
func (r *replacement) findPromoted(ctx context.Context) (replicaset.Lead, bool) {
	if r.old.Term == 0 {
		return replicaset.Lead{}, false
	}
	r.askedAt = r.Engine.BootTime()
	r.asked = r.askCandidates(ctx)
	if r.old.TakenOver && !r.allAnswered {
		// Another member may lead a later term.
		return replicaset.Lead{}, false
	}
	return r.promotedIn(r.asked)
}

// promotedIn returns the member that leads a later term according to the reports. If the
// recorded primary is not registered, a member that leads its term is that primary under
// another ID.
func (r *replacement) promotedIn(reports map[replicaset.EndpointID]replicaset.Status) (replicaset.Lead, bool) {
	if r.old.Term == 0 {
		return replicaset.Lead{}, false
	}
	_, registered := r.set.Member(r.old.ID)
	found := replicaset.Lead{Term: r.old.Term}
	all := make(map[replicaset.EndpointID]replicaset.Status)
	maps.Copy(all, reports)
	for id, o := range r.unregistered {
		all[id] = o.Status
	}
	for id, st := range all {
		if st.Role == replicaset.Primary && (st.Term > found.Term || st.Term == r.old.Term && !registered && found.ID == "") {
			found.ID, found.Term = id, st.Term
		}
	}
	return found, found.ID != ""
}

// promote orders the promotion of a member and waits until it leads. Once a call has
// succeeded, it releases the lease and demotes the old primary.
func (r *replacement) promote(ctx context.Context, id replicaset.EndpointID, before replicaset.Status) (replicaset.Lead, error) {
	member, ok := r.set.Member(id)
	if !ok {
		return replicaset.Lead{}, fmt.Errorf("endpoint %s is no longer a member", id)
	}
	var last error
	for r.leaseLeft() > minLeaseToPromote {
		// Another host may have recorded a promotion that was ordered before this switch: what
		// was read and paused is of an earlier term then.
		if !r.recordedBy(r.set.Lead()) {
			last = errRecordChanged
			break
		}
		if last = r.proveLease(ctx); errors.Is(last, errLeaseLost) {
			break
		}
		if last != nil {
			if !pause.For(ctx, pollInterval) {
				break
			}
			continue
		}
		r.promoteSent = true
		call, cancel := context.WithTimeout(ctx, promoteTimeout)
		last = r.Promote(call, r.set.Name, id, r.HostID, r.heldLease.Token)
		cancel()
		r.event(r.set.Name, id, "promote_sent", fmt.Sprintf("token %d, result %v", r.heldLease.Token, last))
		if last == nil {
			demoted := make(chan struct{})
			go func() {
				defer close(demoted)
				r.demote(ctx, before.Term+1)
			}()
			r.releaseLease(ctx)
			lead, err := r.awaitPromotion(ctx, member, before)
			<-demoted
			return lead, err
		}
		if !pause.For(ctx, pollInterval) {
			break
		}
	}
	return replicaset.Lead{}, fmt.Errorf("promote %s: %w", id, last)
}

// awaitPromotion waits until the member reports that it leads a later term.
func (r *replacement) awaitPromotion(ctx context.Context, member replicaset.Member, before replicaset.Status) (replicaset.Lead, error) {
	began := r.Engine.BootTime()
	for r.Engine.BootTime().Sub(began) < effectTimeout {
		st, ok := r.controlAll(ctx, []replicaset.Member{member}, engine.Op{Kind: engine.OpStatus})[member.ID]
		if ok && st.Role == replicaset.Primary && st.Term > before.Term {
			r.event(r.set.Name, member.ID, "promotion_effective", fmt.Sprintf("ordered at %s, now %s", before.Received, st))
			return replicaset.Lead{ID: member.ID, Term: st.Term}, nil
		}
		if !pause.For(ctx, effectInterval) {
			break
		}
	}
	return replicaset.Lead{}, fmt.Errorf("endpoint %s did not become the primary in time", member.ID)
}

// addActiveSwitches adds delta to the number of active switches.
func (m *Manager) addActiveSwitches(delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activeSwitches += delta
}

// addClaims adds delta to the number of switches that are claimed or being claimed.
func (m *Manager) addClaims(delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claims += delta
}

// hasOtherClaims reports whether this host has claimed another switch or is claiming one. All
// of these use one token, as their promote calls are sent in any order.
func (r *replacement) hasOtherClaims() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claims > 1
}

// hasOtherSwitches reports whether this host is switching another group as well.
func (r *replacement) hasOtherSwitches() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeSwitches > 1
}
