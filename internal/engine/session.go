package engine

import (
	"strings"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// CallerSession is one session of a caller. It must be used by one goroutine
// only.
type CallerSession struct {
	e        *Engine
	database string
	db       Database
	// key is the digest of the key that the caller showed, and account the account that it
	// belongs to in the configuration resolved.
	key      KeyDigest
	account  session.Account
	resolved *Declared
	// sendBy is when the operation that was admitted last has to be sent, if it has not been
	// sent yet.
	sendBy   replicaset.Instant
	admitted bool
	// arrivedAt is when the session was opened, or its last statement arrived.
	arrivedAt time.Time
	// seen is the log position in each group that the session's reads must
	// include.
	seen     map[session.Group]session.Point
	values   map[string]string
	prepared map[string]PreparedBody
	// stateSize is the size of values and prepared.
	stateSize int
	state     TxState
	tx        *transaction
	// untold is set if the transaction was aborted between two statements, and no answer has said so.
	untold bool
	// attended is the group that the session counts as a client of.
	attended session.Group
	progress progress
}

// transaction is an open transaction. Its first statement acquires the
// connection.
type transaction struct {
	readOnly bool
	db       Database
	lead     replicaset.Lead
	g        *group
	member   replicaset.Member
	pool     *pool
	conn     *Conn
	wrote    bool
}

// Open starts a session on a database. key is what the caller showed; it is not used where
// accounts are not in use.
func (e *Engine) Open(database, key string) (*CallerSession, Outcome) {
	d := e.declared.Load()
	if d == nil {
		return nil, Outcome{Code: Busy, Reason: "no configuration yet"}
	}
	// The database's name may be part of a message that has to be freed.
	s := &CallerSession{e: e, database: strings.Clone(database), arrivedAt: e.Now(), progress: newProgress()}
	if d.Accounts != nil {
		s.key = DigestKey(key)
	}
	if o := s.resolve(); o.Code != Done {
		return nil, o
	}
	return s, Outcome{}
}

// State returns the transaction state between two statements.
func (s *CallerSession) State() TxState { return s.state }

// IdleLimit returns how long the session may stay idle in its current state, 0
// for no limit.
func (s *CallerSession) IdleLimit() time.Duration {
	if s.tx == nil || s.tx.conn == nil {
		return 0
	}
	return s.e.declared.Load().IdleInTransaction
}

// AbortIdleTransaction aborts a transaction that has been idle for too long.
func (s *CallerSession) AbortIdleTransaction() { s.abort("idle_transaction_ended") }

// AbortTransaction aborts the open transaction because the host ends the session.
func (s *CallerSession) AbortTransaction() { s.abort("transaction_ended") }

func (s *CallerSession) abort(decision string) {
	s.e.emit(Event{Group: s.db.Group, Decision: decision, Code: Aborted})
	s.failTransaction()
	s.untold = true
}

// Close ends the session and rolls back an open transaction.
func (s *CallerSession) Close() {
	s.attend("")
	if s.tx != nil {
		s.endTransaction()
	}
}

// Run runs one statement.
func (s *CallerSession) Run(st Statement) Outcome {
	s.arrivedAt = s.e.Now()
	s.progress.begin(s.state, st.Kind)
	o := s.run(st)
	o.State = s.state
	s.progress.end(o)
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
		return s.runData(st)
	}
	return Outcome{Code: Malformed, Reason: "unknown statement"}
}

// runData runs a read, a write or a prepared statement.
func (s *CallerSession) runData(st Statement) Outcome {
	q := query{Statement: st, writes: st.Kind == Write}
	if st.Kind == Execute {
		body, ok := s.prepared[st.Name]
		if !ok {
			s.failIfOpen()
			return Outcome{Code: NoStatement, Reason: oneLine(st.Name)}
		}
		q.body, q.writes = &body, body.Writes
	}
	if s.tx != nil {
		return s.runInTransaction(q)
	}
	if o := s.resolve(); o.Code != Done {
		return o
	}
	return s.runSingle(q)
}

// afterFailure answers a statement of a failed transaction, which accepts only
// COMMIT and ROLLBACK. The first answer after the transaction was aborted between two statements says so.
func (s *CallerSession) afterFailure(st Statement) Outcome {
	untold := s.untold
	s.untold = false
	switch st.Kind {
	case Rollback:
		s.state = Idle
		return Outcome{}
	case Commit:
		s.state = Idle
		return Outcome{Code: Aborted, Reason: "the transaction had failed and is rolled back"}
	}
	if untold {
		return Outcome{Code: Aborted, Reason: "the transaction has been ended"}
	}
	return Outcome{Code: Malformed, Reason: "the transaction has failed"}
}

// resolve looks up the session's database and account in the configuration in force. It
// returns a refusal if either is not declared any more.
func (s *CallerSession) resolve() Outcome {
	if s.e.CatchUp != nil {
		s.e.CatchUp(s.arrivedAt)
	}
	d := s.e.declared.Load()
	if d == s.resolved {
		return Outcome{}
	}
	db, ok := d.Databases[s.database]
	if !ok {
		return Outcome{Code: UnknownDatabase, Reason: oneLine(s.database)}
	}
	if o := s.resolveAccount(d, db); o.Code != Done {
		return o
	}
	s.db, s.resolved = db, d
	s.attend(db.Group)
	return Outcome{}
}

// resolveAccount looks up the session's account in a configuration.
func (s *CallerSession) resolveAccount(d *Declared, db Database) Outcome {
	account, ok := d.accountFor(db, s.key)
	if !ok {
		s.e.emit(Event{Group: db.Group, Decision: "unknown_key", Code: UnknownAccount, Reason: "database " + s.database})
		return Outcome{Code: UnknownAccount, Reason: "the key belongs to no account"}
	}
	s.account = account
	return Outcome{}
}

func (s *CallerSession) begin(st Statement) Outcome {
	if s.tx != nil {
		return Outcome{Code: Malformed, Reason: "a transaction is open already"}
	}
	if o := s.resolve(); o.Code != Done {
		return o
	}
	s.tx = &transaction{readOnly: st.ReadOnly, db: s.db}
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

// endTransaction rolls back the open transaction and releases its connection.
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
	s.e.spawn("rollback", func() {
		defer tx.pool.release(tx.conn)
		s.rollBackConn(tx.conn)
	})
}

// failTransaction rolls back the open transaction. The caller still has to end
// it.
func (s *CallerSession) failTransaction() {
	s.endTransaction()
	s.state = FailedTransaction
}

func (s *CallerSession) failIfOpen() {
	if s.tx != nil {
		s.failTransaction()
	}
}

// notePosition records a log position that the session's later reads must
// include.
func (s *CallerSession) notePosition(g session.Group, p session.Point) {
	if s.seen == nil {
		s.seen = make(map[session.Group]session.Point)
	}
	s.seen[g] = s.seen[g].Max(p)
}
