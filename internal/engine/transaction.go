package engine

import (
	"errors"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// AgeMargin is subtracted from the staleness bound of a read. It covers the
// rounding of clocks and the time between the first byte of a statement and its
// decoding.
const AgeMargin = 50 * time.Millisecond

// runInTransaction runs a statement of an open transaction.
func (s *CallerSession) runInTransaction(q query) Outcome {
	deadline := s.deadline(s.tx.db)
	if s.tx.conn == nil {
		return s.firstStatement(q, deadline)
	}
	return s.nextStatement(q, deadline)
}

// firstStatement starts the transaction at an endpoint and runs its first
// statement. Nothing is kept until the endpoint has answered, so the transaction
// may be started again at another member.
func (s *CallerSession) firstStatement(q query, deadline time.Time) Outcome {
	g := s.e.group(s.tx.db.Group)
	last := Outcome{Code: Busy, Reason: "no endpoint can serve the transaction"}
	tried := make(map[replicaset.EndpointID]bool)
	began := s.e.BootTime()
	busy, findPosition, tries := false, false, 0
	// BEGIN occupies nothing at an endpoint, so that any time may have passed since.
	if o := s.resolveAccount(s.e.declared.Load(), s.tx.db); o.Code != Done {
		s.state, s.tx = FailedTransaction, nil
		return o
	}
	if err := s.admitOperation(deadline); err != nil {
		s.state, s.tx = FailedTransaction, nil
		return s.giveUp(q, refusalOutcome(err))
	}
	for s.e.Now().Add(minAttempt).Before(deadline) {
		a, lead, ok := s.chooseMember(g, tried, began, deadline, findPosition)
		if !ok {
			if busy {
				break
			}
			clear(tried)
			s.waitForChange(g, deadline)
			continue
		}
		tried[a.member.ID] = true
		o, started, err := s.startTransaction(a, lead, q)
		if started {
			return o
		}
		if errors.Is(err, errNoPosition) {
			delete(tried, a.member.ID)
			findPosition = true
			continue
		}
		s.emitRetry(q, a.member, o, err)
		busy = busy || errors.Is(err, errOverloaded)
		if busy && !s.tx.readOnly || limitReached(err) {
			last = o
			break
		}
		if err == nil {
			last = o
		}
		if !s.tx.readOnly {
			// Only the primary can run the transaction, so wait before trying it
			// again.
			s.backOff(tries, deadline)
			tries++
		}
	}
	s.state, s.tx = FailedTransaction, nil
	return s.giveUp(q, last)
}

// chooseMember chooses the member that runs the transaction, and the log
// position that it must have reached. At the primary, a leadership proof takes
// the place of an unknown position.
func (s *CallerSession) chooseMember(g *group, tried map[replicaset.EndpointID]bool, began replicaset.Instant, deadline time.Time, findPosition bool) (attempt, replicaset.Lead, bool) {
	db := s.tx.db
	if s.tx.readOnly && db.Consistency != Latest {
		if a, ok, known := s.replicaAttempt(g, db, tried, began, deadline, findPosition); known {
			return a, replicaset.Lead{}, ok
		}
	}
	lead, m, ok := s.awaitPrimary(g, deadline)
	if !ok {
		return attempt{}, lead, false
	}
	var need session.Point
	known := false
	if f := s.freshness(g, db); db.Consistency != Latest {
		need, known = g.RequiredPoint(began, f.MaxAge, f.Seen)
	}
	return attempt{
		g: g, member: m, minPosition: need, class: classWrite, queueDeadline: deadline, deadline: deadline,
		proof: !known, lead: lead, arrivedAt: began,
	}, lead, true
}

// beginOp returns the request that starts the transaction at an endpoint.
func (tx *transaction) beginOp(minPosition session.Point) Op {
	if tx.readOnly {
		return Op{Kind: OpBeginRead, MinPosition: minPosition}
	}
	return Op{Kind: OpBegin, MinPosition: minPosition}
}

// startTransaction starts the transaction at a member and runs its first
// statement, if there is one. It returns true if the transaction is open or its
// outcome is final, and false if another attempt may follow.
func (s *CallerSession) startTransaction(a attempt, lead replicaset.Lead, q query) (Outcome, bool, error) {
	p := s.e.pool(a.g, a.member)
	c, err := s.connectAttempt(&a, p)
	if err != nil {
		s.e.noteFailure(a.g, p, err)
		return refusalOutcome(err), false, err
	}
	ops := []Op{s.tx.beginOp(a.minPosition)}
	if q.Kind != Commit {
		ops = append(ops, q.op(session.Point{}))
	}
	out, err := s.e.perform(a.g, a.member, c, a.call(s.sessionState(q), ops...))
	if err != nil {
		s.e.noteFailure(a.g, p, err)
		p.release(c)
		s.noteSent(Sent(err))
		return refusalOutcome(err), false, err
	}
	o := out[len(out)-1]
	s.noteSent(len(out) == len(ops) && !o.Code.notRun())
	if len(out) < len(ops) || o.Code.notRun() || o.Code == Failed {
		s.releaseUnstarted(p, c, o)
		return o, false, nil
	}
	s.tx.g, s.tx.lead, s.tx.member, s.tx.pool, s.tx.conn = a.g, lead, a.member, p, c
	if q.Kind != Commit {
		s.noteStatement(q, o)
	}
	return o, true, nil
}

// releaseUnstarted releases a connection on which the transaction did not start.
func (s *CallerSession) releaseUnstarted(p *pool, c *Conn, o Outcome) {
	if o.State != Idle {
		s.rollBackConn(c)
	}
	p.release(c)
}

// rollBackConn rolls back the transaction on a connection. If that fails, the
// connection is marked broken.
func (s *CallerSession) rollBackConn(c *Conn) {
	deadline := s.e.Now().Add(rollbackTimeout)
	out, err := c.Run(Call{QueueDeadline: deadline, Deadline: deadline, AnyState: true, Ops: []Op{{Kind: OpRollback}}})
	if err != nil || out[0].State != Idle {
		c.broken = true
	}
}

// noteStatement records the outcome of a statement in the transaction.
func (s *CallerSession) noteStatement(q query, o Outcome) {
	if o.Code != Done || o.State != InTransaction {
		s.failTransaction()
		return
	}
	s.tx.wrote = s.tx.wrote || q.writes
}

func (s *CallerSession) nextStatement(q query, deadline time.Time) Outcome {
	tx := s.tx
	o, err := s.runRetryingBusy(deadline, s.sessionState(q), q.op(session.Point{}))
	if err != nil {
		s.e.noteFailure(tx.g, tx.pool, err)
		s.failTransaction()
		s.e.emit(Event{Request: q.ID, Group: tx.g.Name, Endpoint: tx.member.ID, Decision: "transaction_lost", Code: Aborted, Reason: err.Error()})
		return Outcome{Code: Aborted, Reason: "the endpoint was lost inside the transaction"}
	}
	s.noteStatement(q, o)
	if o.Code == TimedOut || o.Code == Failed {
		return Outcome{Code: Aborted, Reason: "the statement failed: " + o.Reason, Point: o.Point}
	}
	return o
}

// runRetryingBusy runs a request of the open transaction, and retries it while
// the endpoint is too busy.
func (s *CallerSession) runRetryingBusy(deadline time.Time, state SessionState, op Op) (Outcome, error) {
	tx := s.tx
	a := attempt{g: tx.g, member: tx.member, class: classInTransaction, queueDeadline: deadline, deadline: deadline}
	s.schedule(&a)
	for pause := retryPause; ; pause = min(2*pause, maxRetryPause) {
		call := a.call(state, op)
		if op.Commits {
			call.Begin, call.Withdrawn = s.progress.beginCommit, s.progress.withdrawn
		}
		out, err := s.e.perform(tx.g, tx.member, tx.conn, call)
		if err != nil {
			return Outcome{}, err
		}
		o := out[0]
		if o.Code != Busy || o.State != InTransaction || !s.e.Now().Add(pause+minAttempt).Before(deadline) {
			return o, nil
		}
		time.Sleep(pause)
	}
}

// commit commits the open transaction.
func (s *CallerSession) commit(st Statement) Outcome {
	q := query{Statement: st}
	deadline := s.deadline(s.tx.db)
	if s.tx.conn == nil {
		// A transaction without statements is committed at an endpoint as well.
		if o := s.firstStatement(q, deadline); s.tx == nil {
			s.state = Idle
			return o
		}
	}
	tx := s.tx
	if lead := tx.g.Lead(); tx.wrote && (lead.Switching || lead.ID != tx.member.ID) {
		s.endTransaction()
		s.state = Idle
		return Outcome{Code: Aborted, Reason: "the primary is being replaced"}
	}
	op := Op{Kind: OpStatement, ID: st.ID, Text: st.Text, Commits: tx.wrote}
	sentAt := s.e.BootTime()
	o, err := s.runRetryingBusy(deadline, s.sessionState(q), op)
	s.state = Idle
	if err != nil || o.State != Idle {
		s.endTransaction()
	} else {
		s.tx = nil
		tx.pool.release(tx.conn)
	}
	switch {
	case err != nil && tx.wrote && Sent(err):
		s.e.noteFailure(tx.g, tx.pool, err)
		return s.inDoubt(q, tx.member, err)
	case err != nil && !Sent(err):
		s.e.noteFailure(tx.g, tx.pool, err)
		return Outcome{Code: Aborted, Reason: "the end of the transaction could not be sent"}
	case err != nil:
		s.e.noteFailure(tx.g, tx.pool, err)
		return Outcome{Code: Aborted, Reason: "the endpoint was lost at the end of a transaction that wrote nothing"}
	case tx.wrote:
		return s.acknowledge(tx.g, tx.lead, q, sentAt, deadline, o)
	}
	return o
}
