package endpoint

import (
	"encoding/binary"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"zombiezen.com/go/sqlite"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// pgSession is one session of the PostgreSQL protocol.
type pgSession struct {
	node    *Node
	conn    net.Conn
	out     *answerWriter
	be      *pgproto3.Backend
	control bool   // user is ControlUser
	host    string // run ID of the entry host, from application_name
	pid     uint32
	secret  uint32
	done    chan struct{} // closed at the end of the session

	interrupt  chan struct{}     // receives cancel requests
	prepared   map[string]parsed // by statement name
	portals    map[string]portal
	skipToSync bool // after an error, until Sync
	ready      bool // ReadyForQuery is the last message sent

	inTransaction bool         // inside BEGIN
	txFailed      bool         // inside a failed transaction
	readOnly      bool         // BEGIN READ ONLY
	txEngine      *engine      // engine of the open write transaction, or nil
	txTerm        session.Term // term in which the transaction began
	txStatements  []statement
}

// parsed is a prepared statement with the parameter types that were declared.
type parsed struct {
	sql   string
	types []uint32
}

// portal is a prepared statement with its arguments.
type portal struct {
	sql  string
	args []*string
}

// run sends the session parameters and then processes messages until the session
// ends.
func (s *pgSession) run() {
	s.interrupt = make(chan struct{}, 1)
	s.prepared = make(map[string]parsed)
	s.portals = make(map[string]portal)
	key := make([]byte, 4)
	binary.BigEndian.PutUint32(key, s.secret)
	for _, p := range [][2]string{
		{"server_version", "16.0"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
	} {
		s.be.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.be.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: key})
	s.sendReady()
	for s.be.Flush() == nil {
		if s.ready {
			s.out.endAnswer(s.node.getSecondAnswers())
			s.ready = false
		}
		m, err := s.be.Receive()
		if err != nil {
			return
		}
		if !s.handle(m) {
			return
		}
	}
}

// handle processes one message and reports whether the session continues.
func (s *pgSession) handle(m pgproto3.FrontendMessage) bool {
	// Drop a cancel request that arrived while no statement was running.
	select {
	case <-s.interrupt:
	default:
	}
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		s.simpleQuery(m.String)
		return true
	case *pgproto3.Sync:
		s.handleSync()
		return true
	case *pgproto3.Flush:
		return true
	}
	if s.skipToSync {
		return true
	}
	switch m := m.(type) {
	case *pgproto3.Parse:
		s.parse(m)
	case *pgproto3.Bind:
		s.bind(m)
	case *pgproto3.Describe:
		s.describe(m)
	case *pgproto3.Execute:
		s.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		}
		s.be.Send(&pgproto3.CloseComplete{})
	default:
		s.abort("0A000", "message not supported")
	}
	return true
}

// sendReady sends ReadyForQuery with the transaction status. Outside a
// transaction it first sends the node's applied point.
func (s *pgSession) sendReady() {
	status := byte('I')
	if s.inTransaction {
		status = 'T'
	}
	if s.txFailed {
		status = 'E'
	}
	if status == 'I' && !s.control {
		_, p, _ := s.node.snapshot()
		s.be.Send(&pgproto3.ParameterStatus{Name: "cumintrestle.position", Value: p.String()})
	}
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	s.ready = true
}

// abort sends an error, rolls back the open transaction and skips messages until
// Sync.
func (s *pgSession) abort(state, text string) {
	s.sendError(state, text)
	s.skipToSync = true
	if s.inTransaction {
		s.txFailed = true
	}
	s.rollback()
}

// abortWithError calls abort with the SQLSTATE code and text of err.
func (s *pgSession) abortWithError(err error) {
	s.abort(sqlState(err), err.Error())
}

// sqlState returns the SQLSTATE code of an error.
func sqlState(err error) string {
	if errors.Is(err, errReadOnly) {
		return "25006"
	}
	if errors.Is(err, errCancelled) {
		return "57014"
	}
	if errors.Is(err, errAborted) {
		return "25P02"
	}
	switch sqlite.ErrCode(err).ToPrimary() {
	case sqlite.ResultConstraint:
		return "23505"
	case sqlite.ResultReadOnly:
		return "25006"
	case sqlite.ResultInterrupt:
		return "57014"
	}
	if strings.Contains(err.Error(), "no such table") {
		return "42P01"
	}
	return "42601"
}

// handleSync ends a sequence of extended-protocol messages. Outside BEGIN it
// commits their statements.
func (s *pgSession) handleSync() {
	s.skipToSync = false
	if !s.inTransaction {
		if err := s.commit(); err != nil {
			s.abortWithError(err)
			s.skipToSync = false
		}
	}
	s.sendReady()
}

// simpleQuery runs the statements of one Query message. Outside BEGIN they form
// one transaction.
func (s *pgSession) simpleQuery(sql string) {
	defer func() {
		s.skipToSync = false
		s.sendReady()
	}()
	if s.control {
		s.controlQuery(sql)
		return
	}
	statements := splitStatements(sql)
	if len(statements) == 0 {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, stmt := range statements {
		rs, verb, err := s.runStatement(stmt, nil)
		if err == nil && i == len(statements)-1 && !s.inTransaction {
			err = s.commit()
		}
		if err != nil {
			s.abortWithError(err)
			return
		}
		s.describeRows(rs.columns)
		s.sendResult(rs, verb)
	}
}

// splitStatements splits SQL at semicolons outside quotes.
func splitStatements(sql string) []string {
	var out []string
	var quote byte
	start := 0
	for i := 0; i <= len(sql); i++ {
		switch {
		case i < len(sql) && quote != 0:
			if sql[i] == quote {
				quote = 0
			}
		case i < len(sql) && (sql[i] == '\'' || sql[i] == '"'):
			quote = sql[i]
		case i == len(sql) || sql[i] == ';':
			if stmt := strings.TrimSpace(sql[start:i]); stmt != "" {
				out = append(out, stmt)
			}
			start = i + 1
		}
	}
	return out
}

// verbOf returns the first word of a statement in upper case.
func verbOf(sql string) string {
	word, _, _ := strings.Cut(strings.TrimSpace(sql), " ")
	return strings.ToUpper(strings.Trim(word, ";("))
}

// isSessionCommand reports whether a statement controls the transaction or the
// session and is not passed to the engine.
func isSessionCommand(verb string) bool {
	switch verb {
	case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "DISCARD", "DEALLOCATE", "SET":
		return true
	}
	return false
}

// runStatement runs one statement and returns its result and command tag verb.
func (s *pgSession) runStatement(sql string, args []*string) (rowSet, string, error) {
	verb := verbOf(sql)
	switch verb {
	case "BEGIN", "START":
		s.inTransaction = true
		s.readOnly = strings.Contains(strings.ToUpper(sql), "READ ONLY")
		return rowSet{}, "BEGIN", nil
	case "COMMIT", "END":
		failed := s.txFailed
		s.inTransaction, s.txFailed, s.readOnly = false, false, false
		if failed {
			return rowSet{}, "ROLLBACK", nil
		}
		return rowSet{}, "COMMIT", s.commit()
	case "ROLLBACK", "ABORT":
		s.inTransaction, s.txFailed, s.readOnly = false, false, false
		s.rollback()
		return rowSet{}, "ROLLBACK", nil
	case "DISCARD", "DEALLOCATE":
		clear(s.prepared)
		return rowSet{}, verb + " ALL", nil
	case "SET":
		return rowSet{}, "SET", nil
	}
	if s.txFailed {
		return rowSet{}, verb, errAborted
	}
	isRead := verb == "SELECT" || verb == "VALUES" || verb == "EXPLAIN"
	// Lock the writer before acquiring a slot. Otherwise statements that wait for
	// the writer could occupy all slots and block the transaction that holds it.
	if s.txEngine == nil && !isRead {
		if s.readOnly {
			return rowSet{}, verb, errReadOnly
		}
		if err := s.beginWrite(); err != nil {
			return rowSet{}, verb, err
		}
	}
	if err := s.acquireSlot(); err != nil {
		return rowSet{}, verb, err
	}
	defer func() { <-s.node.slots }()
	if s.txEngine == nil {
		rs, err := s.runRead(sql, args)
		return rs, verb, err
	}
	rs, err := s.runWrite(sql, args)
	return rs, verb, err
}

var (
	errAborted   = errors.New("current transaction is aborted")
	errCancelled = errors.New("canceling statement due to user request")
)

// acquireSlot waits for a free execution slot.
func (s *pgSession) acquireSlot() error {
	select {
	case s.node.slots <- struct{}{}:
		return nil
	case <-s.interrupt:
		return errCancelled
	case <-s.node.t.Dying():
		return errCancelled
	}
}

// runRead runs a statement on a reader connection. pg_sleep, which SQLite lacks,
// is simulated.
func (s *pgSession) runRead(sql string, args []*string) (rowSet, error) {
	if d, ok := parseSleep(sql); ok {
		select {
		case <-s.node.Clock.After(d):
		case <-s.interrupt:
			return rowSet{}, errCancelled
		}
		done := "done"
		return rowSet{columns: []string{"sleep"}, rows: [][]*string{{&done}}}, nil
	}
	e, _, _ := s.node.snapshot()
	c := <-e.readers
	defer func() { e.readers <- c }()
	return run(c, sql, args)
}

// parseSleep parses SELECT pg_sleep(seconds).
func parseSleep(sql string) (time.Duration, bool) {
	rest, ok := strings.CutPrefix(sql, "SELECT pg_sleep(")
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(strings.TrimRight(rest, "); ") + "s")
	return d, err == nil
}

// beginWrite locks the engine's writer and begins a transaction on it.
func (s *pgSession) beginWrite() error {
	term := s.node.leaderTerm()
	if term == 0 {
		return errReadOnly
	}
	e, _, _ := s.node.snapshot()
	select {
	case e.writerLock <- struct{}{}:
	case <-s.interrupt:
		return errCancelled
	case <-s.done:
		return errCancelled
	case <-s.node.t.Dying():
		return errCancelled
	}
	if _, err := run(e.writer, "BEGIN IMMEDIATE", nil); err != nil {
		<-e.writerLock
		return err
	}
	s.txEngine, s.txTerm, s.txStatements = e, term, nil
	return nil
}

// runWrite runs a statement in the open write transaction and records it for the
// log, unless it is a SELECT.
func (s *pgSession) runWrite(sql string, args []*string) (rowSet, error) {
	rs, err := run(s.txEngine.writer, sql, args)
	if err == nil && verbOf(sql) != "SELECT" {
		s.txStatements = append(s.txStatements, statement{SQL: sql, Args: args})
	}
	return rs, err
}

// commit commits the open write transaction, if any.
func (s *pgSession) commit() error {
	if s.txEngine == nil {
		return nil
	}
	err := s.node.commit(s.txEngine, s.txTerm, s.txStatements)
	if err != nil {
		s.rollback()
		return err
	}
	<-s.txEngine.writerLock
	s.txEngine = nil
	return nil
}

// rollback rolls back the open write transaction, if any.
func (s *pgSession) rollback() {
	if s.txEngine == nil {
		return
	}
	_, _ = run(s.txEngine.writer, "ROLLBACK", nil)
	<-s.txEngine.writerLock
	s.txEngine = nil
	s.txStatements = nil
}
