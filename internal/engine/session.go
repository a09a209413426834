package engine

import (
	"maps"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// CallerSession is one session of a caller. It is used by one goroutine.
type CallerSession struct {
	e        *Engine
	database string
	route    Database
	seen     map[session.Group]session.Point
	values   map[string]string
	prepared map[string]Shape
	state    TxState
	tx       *transaction
}

// transaction is an open transaction. It gets a connection with its first
// statement.
type transaction struct {
	readOnly bool
	route    Database
	lead     replicaset.Lead
	g        *group
	member   replicaset.Member
	pool     *pool
	conn     *Conn
	wrote    bool
}

// Open starts a session of a database.
func (e *Engine) Open(database string) (*CallerSession, Outcome) {
	d := e.declared.Load()
	if d == nil {
		return nil, Outcome{Code: Busy, Reason: "no configuration yet"}
	}
	r, ok := d.Databases[database]
	if !ok {
		return nil, Outcome{Code: UnknownDatabase, Reason: database}
	}
	return &CallerSession{e: e, database: database, route: r}, Outcome{}
}

// State returns the state between two statements.
func (s *CallerSession) State() TxState { return s.state }

// IdleLimit returns how long the session may rest now, 0 for without limit.
func (s *CallerSession) IdleLimit() time.Duration {
	if s.tx == nil || s.tx.conn == nil {
		return 0
	}
	return s.e.declared.Load().IdleInTransaction
}

// Rested ends a transaction that has been idle for too long.
func (s *CallerSession) Rested() {
	s.e.event(Event{Group: s.route.Group, Decision: "idle_transaction_ended", Code: Aborted})
	s.fail()
}

// Close ends the session; an open transaction is rolled back.
func (s *CallerSession) Close() {
	if s.tx != nil {
		s.endTransaction()
	}
}

// Run runs one statement.
func (s *CallerSession) Run(st Statement) Outcome {
	o := s.run(st)
	o.State = s.state
	return o
}

func (s *CallerSession) run(st Statement) Outcome {
	if s.state == FailedTransaction {
		return s.afterFailure(st)
	}
	switch st.Kind {
	case Begin:
		return s.begin(st)
	case Rollback:
		return s.rollback()
	case Set:
		return s.set(st)
	case Prepare:
		return s.prepare(st)
	case Deallocate:
		return s.deallocate(st)
	case Commit:
		if s.tx == nil {
			return Outcome{Code: Malformed, Reason: "no transaction to commit"}
		}
		return s.commit(st)
	case Read, Write, Execute:
		return s.data(st)
	}
	return Outcome{Code: Malformed, Reason: "unknown statement"}
}

// data runs a read, a write or a prepared statement.
func (s *CallerSession) data(st Statement) Outcome {
	w := work{Statement: st, writes: st.Kind == Write}
	if st.Kind == Execute {
		shape, ok := s.prepared[st.Name]
		if !ok {
			s.failIfOpen()
			return Outcome{Code: NoStatement, Reason: st.Name}
		}
		w.shape, w.writes = &shape, shape.Writes
	}
	if s.tx != nil {
		return s.inTransaction(w)
	}
	if !s.refresh() {
		return Outcome{Code: UnknownDatabase, Reason: s.database}
	}
	return s.single(w)
}

// afterFailure answers in a failed transaction: only its end is accepted.
func (s *CallerSession) afterFailure(st Statement) Outcome {
	switch st.Kind {
	case Rollback:
		s.state = Idle
		return Outcome{}
	case Commit:
		s.state = Idle
		return Outcome{Code: Aborted, Reason: "the transaction had failed and is rolled back"}
	}
	return Outcome{Code: Malformed, Reason: "the transaction has failed"}
}

// refresh takes the declaration in force for what comes next.
func (s *CallerSession) refresh() bool {
	r, ok := s.e.declared.Load().Databases[s.database]
	if ok {
		s.route = r
	}
	return ok
}

func (s *CallerSession) begin(st Statement) Outcome {
	if s.tx != nil {
		return Outcome{Code: Malformed, Reason: "a transaction is open already"}
	}
	if !s.refresh() {
		return Outcome{Code: UnknownDatabase, Reason: s.database}
	}
	s.tx = &transaction{readOnly: st.ReadOnly, route: s.route}
	s.state = InTransaction
	return Outcome{}
}

func (s *CallerSession) rollback() Outcome {
	if s.tx == nil {
		return Outcome{Code: Malformed, Reason: "no transaction to roll back"}
	}
	s.endTransaction()
	s.state = Idle
	return Outcome{}
}

func (s *CallerSession) set(st Statement) Outcome {
	if tx := s.tx; tx != nil && tx.conn != nil && !s.setInside(st) {
		s.fail()
		return Outcome{Code: Aborted, Reason: "the endpoint was lost inside the transaction"}
	}
	if s.values == nil {
		s.values = make(map[string]string)
	}
	s.values[st.Name] = st.Value
	return Outcome{}
}

// setInside changes a value on the connection of the open transaction.
func (s *CallerSession) setInside(st Statement) bool {
	values := make(map[string]string, len(s.values)+1)
	maps.Copy(values, s.values)
	values[st.Name] = st.Value
	deadline := s.deadline(s.tx.route)
	_, err := s.tx.conn.Run(Call{Until: deadline, Deadline: deadline, Class: classOpen, Want: Want{Values: values}})
	if err != nil {
		s.tx.conn.broken = true
	}
	return err == nil
}

func (s *CallerSession) prepare(st Statement) Outcome {
	if s.prepared == nil {
		s.prepared = make(map[string]Shape)
	}
	s.prepared[st.Name] = st.Shape
	return Outcome{}
}

func (s *CallerSession) deallocate(st Statement) Outcome {
	if _, ok := s.prepared[st.Name]; !ok {
		s.failIfOpen()
		return Outcome{Code: NoStatement, Reason: st.Name}
	}
	delete(s.prepared, st.Name)
	return Outcome{}
}

// endTransaction rolls an open transaction back and gives its connection on.
func (s *CallerSession) endTransaction() {
	tx := s.tx
	s.tx = nil
	if tx.conn == nil {
		return
	}
	if tx.conn.broken {
		tx.pool.release(tx.conn)
		return
	}
	s.e.start("rollback", func() {
		defer tx.pool.release(tx.conn)
		s.rollBack(tx.conn)
	})
}

// fail rolls the open transaction back; the caller has to end it.
func (s *CallerSession) fail() {
	s.endTransaction()
	s.state = FailedTransaction
}

func (s *CallerSession) failIfOpen() {
	if s.tx != nil {
		s.fail()
	}
}

// see notes a position that the session's later reads must include.
func (s *CallerSession) see(g session.Group, p session.Point) {
	if s.seen == nil {
		s.seen = make(map[session.Group]session.Point)
	}
	s.seen[g] = s.seen[g].Max(p)
}
