package engine

import (
	"errors"
	"os"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// rollbackTimeout bounds the rollback of an abandoned transaction.
	rollbackTimeout = time.Second
	// answerMargin is subtracted from a statement's timeout, so that the answer
	// reaches the caller in time.
	answerMargin = 20 * time.Millisecond
	// minReadAttempt is the least time limit of one read attempt.
	minReadAttempt = 350 * time.Millisecond
	// readAttemptFactor is the time limit of one read attempt as a multiple of
	// the member's expected latency.
	readAttemptFactor = 8
	// retryPause is the delay before the same members are tried again. At a busy
	// endpoint it doubles up to maxRetryPause, so that repeated refusals do not
	// use up the capacity for other work.
	retryPause    = 15 * time.Millisecond
	maxRetryPause = 120 * time.Millisecond
	// minAttempt is the least remaining time with which another attempt is
	// started.
	minAttempt = 10 * time.Millisecond
	// MinTimeout is the statement timeout up to which no attempt is started, so that
	// every statement is refused.
	MinTimeout = answerMargin + minAttempt
)

// Priority classes in queues, highest first: statements of transactions that
// hold a connection, writes, reads.
const (
	classInTransaction = iota
	classWrite
	classRead
)

// query is a statement resolved against its session: whether it writes, and the
// body of the prepared statement that it executes, if any.
type query struct {
	Statement
	writes bool
	body   *PreparedBody
}

// op returns the request for an endpoint that must have reached minPosition.
func (q query) op(minPosition session.Point) Op {
	if q.body != nil {
		return Op{Kind: OpExecute, ID: q.ID, Body: *q.body, Text: q.Args, MinPosition: minPosition}
	}
	return Op{Kind: OpStatement, ID: q.ID, Text: q.Text, MinPosition: minPosition}
}

// sessionState returns the session state that a query needs.
func (s *CallerSession) sessionState(q query) SessionState {
	return SessionState{Values: s.values, Body: q.body}
}

// runSingle runs one statement outside of a transaction.
func (s *CallerSession) runSingle(q query) Outcome {
	deadline := s.deadline(s.db)
	if err := s.admitOperation(deadline); err != nil {
		return s.giveUp(q, refusalOutcome(err))
	}
	g := s.e.group(s.db.Group)
	if q.writes {
		return s.runWrite(g, q, deadline)
	}
	if s.db.Consistency == Latest {
		return s.runLatestRead(g, q, deadline)
	}
	return s.runStaleRead(g, q, deadline)
}

// attempt is one attempt to run a statement at one member.
type attempt struct {
	g           *group
	member      replicaset.Member
	minPosition session.Point
	// freshness, if set, leaves the choice of minPosition to the host that holds the
	// connection.
	freshness *Freshness
	class     int
	// queueDeadline bounds the wait for a connection, deadline the wait for the answer.
	queueDeadline, deadline time.Time
	// proof requires a proof, valid for a statement that arrived at arrivedAt,
	// that the member is still the primary of lead.
	proof     bool
	lead      replicaset.Lead
	arrivedAt replicaset.Instant
	// account is the account that the statement runs for, and sendBy the time by which it
	// has to be sent, 0 for none.
	account session.Account
	sendBy  replicaset.Instant
	// targetBy and weight are those of Call.
	targetBy time.Time
	weight   float64
}

// call returns a call of the given requests within the limits of the attempt.
func (a attempt) call(state SessionState, ops ...Op) Call {
	return Call{
		QueueDeadline: a.queueDeadline, Deadline: a.deadline, Class: a.class, Proof: a.proof, Freshness: a.freshness,
		Account: a.account, SendBy: a.sendBy, TargetBy: a.targetBy, Weight: a.weight, SessionState: state, Ops: ops,
	}
}

// connectAttempt returns a connection for an attempt. On a connection of this
// host it first obtains the proof or the log position that the attempt requires;
// for a borrowed connection the lending host does so.
func (s *CallerSession) connectAttempt(a *attempt, p *pool) (*Conn, error) {
	if err := s.admitAttempt(a); err != nil {
		return nil, err
	}
	c, err := s.e.acquireConn(p, a.queueDeadline, connNeed{account: a.account, class: a.class, weight: a.weight, values: s.values})
	if err != nil || c.RunRemote != nil {
		return c, err
	}
	if a.proof {
		err = s.e.prove(a.g, a.lead, a.arrivedAt, c)
	}
	if err == nil && a.freshness != nil {
		a.minPosition, err = s.e.requiredPosition(a.g, a.call(SessionState{}))
		a.freshness = nil
	}
	if err != nil {
		p.release(c)
	}
	return c, err
}

// runAttempt runs a query on a connection to the attempt's member. sent reports
// whether the endpoint may have received it.
func (s *CallerSession) runAttempt(a attempt, q query) (o Outcome, sent bool, err error) {
	p := s.e.pool(a.g, a.member)
	c, err := s.connectAttempt(&a, p)
	if err != nil {
		s.e.noteFailure(a.g, p, err)
		return refusalOutcome(err), false, err
	}
	defer p.release(c)
	op := q.op(a.minPosition)
	call := a.call(s.sessionState(q), op)
	if q.writes {
		call.Ops[0].Commits, call.Begin, call.Withdrawn = true, s.progress.beginCommit, s.progress.withdrawn
	}
	out, err := s.e.perform(a.g, a.member, c, call)
	if err != nil && !Sent(err) || err == nil && out[0].Code.notRun() {
		s.progress.endCommit()
	}
	if err != nil {
		s.e.noteFailure(a.g, p, err)
		s.noteSent(Sent(err))
		return refusalOutcome(err), Sent(err), err
	}
	s.noteSent(!out[0].Code.notRun())
	return out[0], true, nil
}

// noteFailure records a call that was not answered. If its connection broke, the
// idle connections to the member are closed too, because they are broken or
// unresponsive as well. A member that is merely slow keeps them: opening new
// ones would slow it further.
func (e *Engine) noteFailure(g *group, p *pool, err error) {
	id := p.member.ID
	switch {
	case notAttempted(err):
		if errors.Is(err, errNoConnection) {
			// All connections are in use, so the endpoint has more work than it
			// can serve.
			g.RecordOverload(e.BootTime(), id)
		}
		e.emit(Event{Group: g.Name, Endpoint: id, Decision: "no_connection", Reason: err.Error()})
		return
	case errors.Is(err, ErrOutOfStep):
		// Only this connection is affected.
		e.emit(Event{Group: g.Name, Endpoint: id, Decision: "out_of_step", Reason: err.Error()})
		return
	case !errors.Is(err, os.ErrDeadlineExceeded) || g.Unresponsive(e.BootTime(), id):
		p.closeIdle()
	}
	g.RecordFailure(e.BootTime(), id)
	if p.gate != nil {
		p.gate.noteFailure()
	}
}

// refusalOutcome returns the outcome of an attempt that failed with err.
func refusalOutcome(err error) Outcome {
	var d *DialError
	if errors.As(err, &d) && d.Code.NothingKept() {
		return Outcome{Code: d.Code, Reason: reasonOf(err)}
	}
	return Outcome{Code: Busy, Reason: reasonOf(err)}
}

// runStaleRead runs a read that tolerates some staleness at the best member that
// has the required log position. If no member is left to try and one was
// overloaded, the read is refused instead of starting another round: it should
// wait in the queue of a member that is expected to serve it in time, not
// between attempts.
func (s *CallerSession) runStaleRead(g *group, q query, deadline time.Time) Outcome {
	last := Outcome{Code: Busy, Reason: "no endpoint can serve the read"}
	tried := make(map[replicaset.EndpointID]bool)
	began := s.e.BootTime()
	busy, findPosition := false, false
	for s.e.Now().Add(minAttempt).Before(deadline) {
		a, ok, known := s.replicaAttempt(g, s.db, tried, began, deadline, findPosition)
		if !known {
			return s.runLatestRead(g, q, deadline)
		}
		if !ok {
			if busy {
				break
			}
			clear(tried)
			s.waitForChange(g, deadline)
			continue
		}
		m := a.member
		tried[m.ID] = true
		o, _, err := s.runAttempt(a, q)
		if errors.Is(err, errNoPosition) {
			// The lending host knows no recent position, so this host determines
			// it from now on.
			delete(tried, m.ID)
			findPosition = true
			continue
		}
		if err == nil && !o.Code.notRun() && o.Code != Failed {
			return o
		}
		s.emitRetry(q, m, o, err)
		if limitReached(err) {
			last = o
			break
		}
		busy = busy || errors.Is(err, errOverloaded) || err == nil && o.Code == Busy
		if err == nil || busy {
			last = o
		}
	}
	return s.giveUp(q, last)
}

// replicaAttempt chooses the member for a read that tolerates some staleness,
// and the log position that it must have reached. If this host knows no recent
// position, a lending host chooses the position, unless findPosition tells this
// host to determine it. ok reports whether a member is left to try, known
// whether a position can be had.
func (s *CallerSession) replicaAttempt(g *group, db Database, tried map[replicaset.EndpointID]bool, began replicaset.Instant, deadline time.Time, findPosition bool) (a attempt, ok, known bool) {
	f := s.freshness(g, db)
	need, known := g.RequiredPoint(began, f.MaxAge, f.Seen)
	order, promising := g.ReadOrder(s.e.BootTime(), need, tried)
	if !known && (findPosition || len(order) == 0 || !s.e.mustBorrow(g, order[0], s.account)) {
		s.e.awaitPosition(g, deadline)
		if need, known = g.RequiredPoint(began, f.MaxAge, f.Seen); !known {
			return attempt{}, false, false
		}
		order, promising = g.ReadOrder(s.e.BootTime(), need, tried)
	}
	if len(order) == 0 {
		return attempt{}, false, true
	}
	a = s.readAttempt(g, order[0], deadline, promising > 1)
	a.minPosition = need
	if !known {
		a.freshness = &f
	}
	return a, true, true
}

// freshness returns how fresh the session's reads of a database must be.
func (s *CallerSession) freshness(g *group, db Database) Freshness {
	f := Freshness{MaxAge: db.MaxAge - AgeMargin}
	if db.Consistency == Session {
		f.Seen = s.seen[g.Name]
	}
	return f
}

// readAttempt returns a read attempt at a member. If there are others, its time
// is limited so that one of them can be tried next.
func (s *CallerSession) readAttempt(g *group, m replicaset.Member, deadline time.Time, others bool) attempt {
	a := attempt{g: g, member: m, class: classRead, queueDeadline: deadline, deadline: deadline}
	if !others {
		return a
	}
	now := s.e.Now()
	limit := now.Add(max(minReadAttempt, readAttemptFactor*g.Latency(s.e.BootTime(), m.ID)))
	if limit.Before(deadline) {
		a.queueDeadline, a.deadline = limit, limit
	}
	return a
}

// emitRetry reports an attempt that failed and may be followed by another one.
func (s *CallerSession) emitRetry(q query, m replicaset.Member, o Outcome, err error) {
	v := Event{Request: q.ID, Group: m.Group, Endpoint: m.ID, Decision: "retry", Code: o.Code, Reason: o.Reason}
	if err != nil {
		v.Reason = err.Error()
	}
	s.e.emit(v)
}

// backOff sleeps before the next attempt at an endpoint that was too busy for
// the last one. The delay grows with the number of tries.
func (s *CallerSession) backOff(tries int, deadline time.Time) {
	d := min(retryPause<<min(tries, 3), maxRetryPause)
	time.Sleep(min(d, deadline.Sub(s.e.Now())))
}

// waitForChange waits for retryPause, or until the members or the leadership of
// the group change.
func (s *CallerSession) waitForChange(g *group, deadline time.Time) {
	d := min(retryPause, deadline.Sub(s.e.Now()))
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-g.Changed():
	case <-t.C:
	}
}

// giveUp returns the final outcome of a statement that changed no data. A code
// that does not say so is replaced by Busy.
func (s *CallerSession) giveUp(q query, last Outcome) Outcome {
	o := Outcome{Code: last.Code, Reason: last.Reason}
	if !o.Code.NothingKept() {
		o.Code = Busy
	}
	s.e.emit(Event{Request: q.ID, Group: s.db.Group, Decision: "refused", Code: o.Code, Reason: o.Reason})
	return o
}

// awaitPrimary waits until the group has a primary that is neither being
// replaced nor about to leave. It returns false if the deadline passes first.
func (s *CallerSession) awaitPrimary(g *group, deadline time.Time) (replicaset.Lead, replicaset.Member, bool) {
	for {
		lead := g.Lead()
		changed := g.Changed()
		if m, ok := g.Member(lead.ID); ok && !lead.Switching && !g.DrainExpired(s.e.BootTime(), lead.ID) {
			return lead, m, true
		}
		d := deadline.Sub(s.e.Now())
		if d <= 0 {
			return lead, replicaset.Member{}, false
		}
		t := time.NewTimer(d)
		select {
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// runLatestRead runs a read that sees every commit acknowledged before it
// arrived.
func (s *CallerSession) runLatestRead(g *group, q query, deadline time.Time) Outcome {
	last := Outcome{Code: Busy, Reason: "no primary"}
	arrivedAt := s.e.BootTime()
	busy := 0
	for s.e.Now().Add(minAttempt).Before(deadline) {
		lead, m, ok := s.awaitPrimary(g, deadline)
		if !ok {
			break
		}
		a := s.readAttempt(g, m, deadline, true)
		a.proof, a.lead, a.arrivedAt = true, lead, arrivedAt
		o, _, err := s.runAttempt(a, q)
		if err == nil && !o.Code.notRun() {
			return o
		}
		last = o
		s.emitRetry(q, m, o, err)
		if errors.Is(err, errOverloaded) || limitReached(err) {
			break
		}
		if err == nil && o.Code == Busy {
			s.backOff(busy, deadline)
			busy++
			continue
		}
		s.waitForChange(g, deadline)
	}
	return s.giveUp(q, last)
}

// runWrite runs a write at most once: it retries an attempt only if the endpoint
// has not run it.
func (s *CallerSession) runWrite(g *group, q query, deadline time.Time) Outcome {
	last := Outcome{Code: Busy, Reason: "no primary"}
	arrivedAt := s.e.BootTime()
	busy := 0
	for s.e.Now().Add(minAttempt).Before(deadline) {
		lead, m, ok := s.awaitPrimary(g, deadline)
		if !ok {
			break
		}
		a := attempt{g: g, member: m, class: classWrite, queueDeadline: deadline, deadline: deadline}
		// The answer of a synchronous commit proves by itself that a replica
		// followed the primary.
		a.proof, a.lead, a.arrivedAt = !s.e.Policy(g.Name).Synchronous, lead, arrivedAt
		sentAt := s.e.BootTime()
		o, sent, err := s.runAttempt(a, q)
		if err == nil && !o.Code.notRun() {
			return s.acknowledge(g, lead, q, sentAt, deadline, o)
		}
		if err != nil && sent {
			return s.inDoubt(q, m, err)
		}
		if err == nil {
			last = o
		}
		s.emitRetry(q, m, o, err)
		if errors.Is(err, errOverloaded) && s.e.usesAccounts() || limitReached(err) || errors.Is(err, errGivenUp) {
			last = o
			break
		}
		if err == nil && o.Code == ReadOnly {
			// Another member may lead by now; the request for a proof finds the
			// new primary, or that its promotion is not recorded.
			if err := s.e.prove(g, lead, s.e.BootTime(), nil); err != nil {
				s.emitRetry(q, m, last, err)
			}
		}
		if err == nil && o.Code == Busy {
			s.backOff(busy, deadline)
			busy++
			continue
		}
		s.waitForChange(g, deadline)
	}
	return s.giveUp(q, last)
}

// inDoubt returns the outcome of a write that may or may not have been applied.
func (s *CallerSession) inDoubt(q query, m replicaset.Member, err error) Outcome {
	s.e.emit(Event{Request: q.ID, Group: m.Group, Endpoint: m.ID, Decision: "in_doubt", Code: InDoubt, Reason: err.Error()})
	return Outcome{Code: InDoubt, Reason: reasonOf(err)}
}
