package failover

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// dutyMargin is how long after the end of a lease the next holder starts:
	// longer than a call of the last one can be on its way.
	dutyMargin = 1500 * time.Millisecond
	// callMargin is the least lease that must be left to send a promote call.
	callMargin = 1500 * time.Millisecond
	// promoteTimeout bounds one promote call; its connection is reset after it.
	promoteTimeout = time.Second
	// effectTimeout is how long a promotion may take to show.
	effectTimeout = 4 * time.Second
	// pollEvery is the pause between two questions while something is awaited.
	pollEvery = 60 * time.Millisecond
	// settleTime lets statements end that run at a primary that leaves.
	settleTime = 100 * time.Millisecond
	// gatherTime is how long all replicas are tried before the switch is left
	// to a later try.
	gatherTime = 2500 * time.Millisecond
	// pauseAhead is how many terms beyond the current one replicas are paused for.
	// A promotion ends the pauses for its own term, which is one ahead: a replica
	// that has not heard of the new primary would follow the old one again, and
	// prove that it leads.
	pauseAhead = 2
)

var (
	errDutyHeld = errors.New("another host holds the duty")
	errReplaced = errors.New("the group's record is newer than what was suspected")
)

// run is one switch under way.
type run struct {
	*Manager
	set    *replicaset.Set
	reason string
	// suspected is the version of the record under which the primary was suspected.
	suspected uint64
	old       replicaset.Lead
	duty      Duty
	claimed   replicaset.Instant
	// recorded is the group's record as this host wrote it last.
	recorded replicaset.Lead
	// sent is set once a promotion may take effect: the old primary must not
	// be trusted again then.
	sent bool
}

// switchover replaces a group's primary, which was suspected under a record of
// the given version.
func (m *Manager) switchover(ctx context.Context, set *replicaset.Set, suspected uint64, reason string) {
	r := &run{Manager: m, set: set, suspected: suspected, reason: reason}
	if err := r.claim(ctx, r.currentTerm(ctx)); err != nil {
		m.event(set.Name, "", "switch_not_started", err.Error())
		return
	}
	m.holds(1)
	defer m.holds(-1)
	m.event(set.Name, r.old.ID, "switch_started", fmt.Sprintf("%s, token %d", reason, r.duty.Token))
	next, err := r.replace(ctx)
	if err != nil {
		m.event(set.Name, r.old.ID, "switch_failed", err.Error())
		if !r.sent {
			r.ask(ctx, r.replicas(), engine.Op{Kind: engine.OpResume})
			r.settle(ctx, r.old)
		}
		return
	}
	m.event(set.Name, next.ID, "switched", fmt.Sprintf("%s, term %d, token %d", reason, next.Term, r.duty.Token))
	rest := r.resume(ctx, r.followers(next))
	r.settle(ctx, next)
	r.resumeRest(ctx, next, rest)
}

// claim takes the duty and records that the group is switching.
func (r *run) claim(ctx context.Context, term session.Term) error {
	before := r.Engine.Boot()
	st, err := r.Records.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the records: %w", err)
	}
	if st.Duty.Holder != "" && st.Duty.Holder != r.Self && st.Now <= st.Duty.Until+dutyMargin {
		return errDutyHeld
	}
	if recorded := st.Leads[r.set.Name]; recorded.Version != r.suspected {
		// What this host saw, it saw of an earlier primary.
		if recorded.Version != 0 {
			r.set.SetLead(r.Engine.Boot(), recorded)
		}
		return errReplaced
	}
	d := st.Duty
	if d.Holder != r.Self || st.Now > d.Until || !r.othersSwitch() {
		d.Token++
	}
	d.Holder, d.Until = r.Self, st.Now+dutyTime
	r.old = st.Leads[r.set.Name]
	if known := r.set.Lead(); r.old.ID == "" || r.old.ID == known.ID && r.old.Term == 0 {
		// No promotion is recorded: the term that members are in is the known primary's.
		r.old.ID, r.old.Term = known.ID, max(known.Term, term)
	}
	lead := r.old
	lead.Switching, lead.Token, lead.Holder, lead.Until = true, d.Token, r.Self, st.Now+dutyTime
	version, err := r.Records.Write(ctx, Change{Duty: d, Group: r.set.Name, Lead: lead})
	if err != nil {
		return fmt.Errorf("record the switch: %w", err)
	}
	d.Version, lead.Version = version, version
	r.duty, r.claimed, r.recorded = d, before, lead
	r.Observe(d, st.Now, before)
	r.set.SetLead(r.Engine.Boot(), lead)
	return nil
}

// currentTerm asks for the term that is to end where it is not known. It may be
// another primary's until the store shows that no promotion was recorded.
func (r *run) currentTerm(ctx context.Context) session.Term {
	term := r.set.Lead().Term
	if term != 0 {
		return term
	}
	for _, st := range r.ask(ctx, r.set.Members(), engine.Op{Kind: engine.OpStatus}) {
		term = max(term, st.Term)
	}
	return term
}

// leaseLeft is how long the duty is still held.
func (r *run) leaseLeft() time.Duration {
	return dutyTime - r.Engine.Boot().Sub(r.claimed)
}

// replace makes another member the primary.
func (r *run) replace(ctx context.Context) (replicaset.Lead, error) {
	if r.reason == reasonDraining && !pause.For(ctx, settleTime) {
		return replicaset.Lead{}, ctx.Err()
	}
	if lead, ok := r.already(ctx); ok {
		r.takeOver(ctx, lead)
		return lead, nil
	}
	reports, err := r.gather(ctx)
	if err != nil {
		return replicaset.Lead{}, err
	}
	paused := r.Engine.Boot()
	candidate, ok := r.furthest(reports)
	if r.reason == reasonPressed {
		candidate, ok = r.laggard(reports)
	}
	if !ok {
		return replicaset.Lead{}, errors.New("no replica can lead")
	}
	if acked := r.set.Acknowledged(); reports[candidate].Received.Less(acked) && r.Engine.Policy(r.set.Name).Synchronous {
		return replicaset.Lead{}, fmt.Errorf("the furthest replica is at %s, but %s was acknowledged", reports[candidate].Received, acked)
	}
	if !r.Engine.Policy(r.set.Name).Synchronous {
		r.awaitProofs(ctx, paused)
	}
	next, err := r.promote(ctx, candidate, reports[candidate])
	if err == nil {
		r.awaitProofs(ctx, paused)
	}
	return next, err
}

// awaitProofs waits until no proof from before the pause counts any more.
func (r *run) awaitProofs(ctx context.Context, paused replicaset.Instant) {
	if d := engine.ProofTime + engine.ProofMargin - r.Engine.Boot().Sub(paused); d > 0 {
		pause.For(ctx, d)
	}
}

// finish records a promotion that another host ordered and did not record.
func (m *Manager) finish(ctx context.Context, set *replicaset.Set, lead replicaset.Lead) bool {
	r := &run{Manager: m, set: set, old: lead}
	next, ok := r.already(ctx)
	if !ok {
		return false
	}
	r.takeOver(ctx, next)
	if set.Lead().Version != lead.Version {
		return true
	}
	rest := r.resume(ctx, r.followers(next))
	st, err := r.Records.Read(ctx)
	if err == nil {
		r.duty = Duty{Token: lead.Token}
		err = r.record(ctx, st, next)
	}
	if err != nil {
		r.event(set.Name, next.ID, "finish_failed", err.Error())
		return false
	}
	r.event(set.Name, next.ID, "switch_finished", fmt.Sprintf("started by %s, term %d", lead.Holder, next.Term))
	r.resumeRest(ctx, next, rest)
	return true
}

// takeOver prepares the announcement of a primary that another host promoted:
// when that host paused the replicas is not known.
func (r *run) takeOver(ctx context.Context, next replicaset.Lead) {
	since := r.Engine.Boot()
	r.demote(ctx, next.Term)
	r.awaitProofs(ctx, since)
}

// gather pauses all replicas and returns their reports. Each one that may hold
// the only other copy of a commit has to answer.
func (r *run) gather(ctx context.Context) (map[replicaset.EndpointID]replicaset.Status, error) {
	began := r.Engine.Boot()
	term := r.old.Term
	for {
		replicas := r.replicas()
		for _, st := range r.ask(ctx, replicas, engine.Op{Kind: engine.OpStatus}) {
			term = max(term, st.Term)
		}
		reports := r.ask(ctx, replicas, engine.Op{Kind: engine.OpPause, Term: term + pauseAhead})
		missing := 0
		if r.Engine.Policy(r.set.Name).Synchronous {
			missing = r.set.Missing(r.Engine.Boot())
		}
		if len(reports) == len(replicas) && len(replicas) > 0 && missing == 0 {
			return reports, nil
		}
		if r.Engine.Boot().Sub(began) > gatherTime || !pause.For(ctx, pollEvery) {
			return nil, fmt.Errorf("%d of %d replicas answer, %d more may hold commits", len(reports), len(replicas), missing)
		}
	}
}

func (r *run) replicas() []replicaset.Member {
	var out []replicaset.Member
	for _, m := range r.set.Members() {
		if m.ID != r.old.ID {
			out = append(out, m)
		}
	}
	return out
}

// already finds a member that leads a later term: a promotion that another
// host started and did not record.
func (r *run) already(ctx context.Context) (replicaset.Lead, bool) {
	if r.old.Term == 0 {
		return replicaset.Lead{}, false
	}
	for id, st := range r.ask(ctx, r.replicas(), engine.Op{Kind: engine.OpStatus}) {
		if st.Role == replicaset.Primary && st.Term > r.old.Term {
			return replicaset.Lead{ID: id, Term: st.Term}, true
		}
	}
	return replicaset.Lead{}, false
}

// furthest chooses the replica that has received most of the log; between
// equals one that stays, then one in the old primary's zone.
func (r *run) furthest(reports map[replicaset.EndpointID]replicaset.Status) (replicaset.EndpointID, bool) {
	var best replicaset.Member
	found := false
	for _, m := range r.replicas() {
		st, ok := reports[m.ID]
		if !ok || st.Role != replicaset.Replica {
			continue
		}
		if !found || better(m, st, best, reports[best.ID]) {
			best, found = m, true
		}
	}
	return best.ID, found
}

func better(m replicaset.Member, st replicaset.Status, best replicaset.Member, bestStatus replicaset.Status) bool {
	if st.Received != bestStatus.Received {
		return bestStatus.Received.Less(st.Received)
	}
	if m.Draining != best.Draining {
		return best.Draining
	}
	return st.Lag < bestStatus.Lag
}

// promote orders the promotion and waits for its effect.
func (r *run) promote(ctx context.Context, id replicaset.EndpointID, before replicaset.Status) (replicaset.Lead, error) {
	member, ok := r.set.Member(id)
	if !ok {
		return replicaset.Lead{}, fmt.Errorf("endpoint %s is gone", id)
	}
	var last error
	for r.leaseLeft() > callMargin {
		r.sent = true
		call, cancel := context.WithTimeout(ctx, promoteTimeout)
		last = r.Promote(call, r.set.Name, id, r.Self, r.duty.Token)
		cancel()
		r.event(r.set.Name, id, "promote_sent", fmt.Sprintf("token %d, result %v", r.duty.Token, last))
		if last == nil {
			demoted := make(chan struct{})
			go func() {
				defer close(demoted)
				r.demote(ctx, before.Term+1)
			}()
			r.freeDuty(ctx)
			lead, err := r.awaitEffect(ctx, member, before)
			<-demoted
			return lead, err
		}
		if !pause.For(ctx, pollEvery) {
			break
		}
	}
	return replicaset.Lead{}, fmt.Errorf("promote %s: %w", id, last)
}

// freeDuty lets other groups be switched while this switch runs to its end: no
// further promotion is sent under this token. The group's record stays.
func (r *run) freeDuty(ctx context.Context) {
	if r.othersSwitch() {
		return
	}
	d := r.duty
	d.Holder, d.Until = "", 0
	version, err := r.Records.Write(ctx, Change{Duty: d, Group: r.set.Name, Lead: r.recorded})
	if err != nil {
		r.event(r.set.Name, "", "duty_kept", err.Error())
		return
	}
	r.duty.Version, r.recorded.Version = version, version
	r.set.SetLead(r.Engine.Boot(), r.recorded)
}

func (r *run) awaitEffect(ctx context.Context, member replicaset.Member, before replicaset.Status) (replicaset.Lead, error) {
	began := r.Engine.Boot()
	for r.Engine.Boot().Sub(began) < effectTimeout {
		st, ok := r.ask(ctx, []replicaset.Member{member}, engine.Op{Kind: engine.OpStatus})[member.ID]
		if ok && st.Role == replicaset.Primary && st.Term > before.Term {
			return replicaset.Lead{ID: member.ID, Term: st.Term}, nil
		}
		if !pause.For(ctx, pollEvery) {
			break
		}
	}
	return replicaset.Lead{}, fmt.Errorf("endpoint %s does not lead yet", member.ID)
}

// settle records who leads and gives the duty back.
func (r *run) settle(ctx context.Context, lead replicaset.Lead) {
	for r.leaseLeft() > 0 {
		st, err := r.Records.Read(ctx)
		if rec := st.Leads[r.set.Name]; err == nil && (!rec.Switching || rec.Holder != r.Self || rec.Token != r.duty.Token) {
			return
		}
		if err == nil {
			err = r.record(ctx, st, lead)
		}
		if err == nil {
			return
		}
		r.event(r.set.Name, lead.ID, "record_failed", err.Error())
		if !pause.For(ctx, pollEvery) {
			return
		}
	}
}

func (r *run) record(ctx context.Context, st State, lead replicaset.Lead) error {
	d := st.Duty
	mine := d.Holder == r.Self && d.Token == r.duty.Token && !r.othersSwitch()
	if mine {
		d.Holder, d.Until = "", 0
	}
	lead.Switching, lead.Token, lead.Holder, lead.Until = false, r.duty.Token, "", 0
	lead.Version = st.Leads[r.set.Name].Version
	version, err := r.Records.Write(ctx, Change{Duty: d, KeepDuty: !mine, Group: r.set.Name, Lead: lead})
	if err != nil {
		return err
	}
	lead.Version = version
	if mine {
		d.Version = version
		r.Observe(d, st.Now, r.Engine.Boot())
	}
	r.set.SetLead(r.Engine.Boot(), lead)
	return nil
}

// holds counts the switches of this host that hold the duty.
func (m *Manager) holds(change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.switching += change
}

// othersSwitch reports whether this host switches another group as well.
func (r *run) othersSwitch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.switching > 1
}
