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

// pgSession is one connection of the PostgreSQL protocol.
type pgSession struct {
	node    *Node
	conn    net.Conn
	be      *pgproto3.Backend
	control bool
	host    string
	pid     uint32
	secret  uint32
	done    chan struct{}

	interrupt chan struct{}
	prepared  map[string]string
	portals   map[string]portal
	skip      bool // after an error, until Sync

	explicit bool // inside BEGIN
	failed   bool // inside a failed transaction
	readOnly bool // BEGIN READ ONLY
	engine   *engine
	term     session.Term
	pending  []statement
}

type portal struct {
	sql  string
	args []*string
}

func (s *pgSession) run() {
	s.interrupt = make(chan struct{}, 1)
	s.prepared = make(map[string]string)
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
	s.ready()
	for s.be.Flush() == nil {
		m, err := s.be.Receive()
		if err != nil {
			return
		}
		if !s.handle(m) {
			return
		}
	}
}

func (s *pgSession) handle(m pgproto3.FrontendMessage) bool {
	// A cancel that came while nothing ran has no effect.
	select {
	case <-s.interrupt:
	default:
	}
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		s.simple(m.String)
		return true
	case *pgproto3.Sync:
		s.sync()
		return true
	case *pgproto3.Flush:
		return true
	}
	if s.skip {
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
		s.error("0A000", "message not supported")
	}
	return true
}

// ready reports the position that the session has seen and the state.
func (s *pgSession) ready() {
	status := byte('I')
	if s.explicit {
		status = 'T'
	}
	if s.failed {
		status = 'E'
	}
	if status == 'I' && !s.control {
		_, p, _ := s.node.snapshot()
		s.be.Send(&pgproto3.ParameterStatus{Name: "cumintrestle.position", Value: p.String()})
	}
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (s *pgSession) error(state, text string) {
	s.fail(state, text)
	s.skip = true
	if s.explicit {
		s.failed = true
	}
	s.rollback()
}

func (s *pgSession) errorFrom(err error) {
	s.error(sqlState(err), err.Error())
}

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

func (s *pgSession) sync() {
	s.skip = false
	if !s.explicit {
		if err := s.commit(); err != nil {
			s.errorFrom(err)
			s.skip = false
		}
	}
	s.ready()
}

// simple runs the statements of one Query message; outside BEGIN they are one
// transaction.
func (s *pgSession) simple(sql string) {
	defer func() {
		s.skip = false
		s.ready()
	}()
	if s.control {
		s.controlQuery(sql)
		return
	}
	statements := split(sql)
	if len(statements) == 0 {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, one := range statements {
		rs, verb, err := s.one(one, nil)
		if err == nil && i == len(statements)-1 && !s.explicit {
			err = s.commit()
		}
		if err != nil {
			s.errorFrom(err)
			return
		}
		s.describeRows(rs.columns)
		s.answer(rs, verb)
	}
}

// split cuts at semicolons outside quotes.
func split(sql string) []string {
	var out []string
	quoted := false
	start := 0
	for i := 0; i <= len(sql); i++ {
		if i < len(sql) && sql[i] == '\'' {
			quoted = !quoted
		}
		if i == len(sql) || sql[i] == ';' && !quoted {
			if one := strings.TrimSpace(sql[start:i]); one != "" {
				out = append(out, one)
			}
			start = i + 1
		}
	}
	return out
}

func verbOf(sql string) string {
	word, _, _ := strings.Cut(strings.TrimSpace(sql), " ")
	return strings.ToUpper(strings.Trim(word, ";("))
}

func isControlVerb(verb string) bool {
	switch verb {
	case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "DISCARD", "DEALLOCATE", "SET":
		return true
	}
	return false
}

// one runs one statement.
func (s *pgSession) one(sql string, args []*string) (rowSet, string, error) {
	verb := verbOf(sql)
	switch verb {
	case "BEGIN", "START":
		s.explicit = true
		s.readOnly = strings.Contains(strings.ToUpper(sql), "READ ONLY")
		return rowSet{}, "BEGIN", nil
	case "COMMIT", "END":
		failed := s.failed
		s.explicit, s.failed, s.readOnly = false, false, false
		if failed {
			return rowSet{}, "ROLLBACK", nil
		}
		return rowSet{}, "COMMIT", s.commit()
	case "ROLLBACK", "ABORT":
		s.explicit, s.failed, s.readOnly = false, false, false
		s.rollback()
		return rowSet{}, "ROLLBACK", nil
	case "DISCARD", "DEALLOCATE":
		clear(s.prepared)
		return rowSet{}, verb + " ALL", nil
	case "SET":
		return rowSet{}, "SET", nil
	}
	if s.failed {
		return rowSet{}, verb, errAborted
	}
	read := verb == "SELECT" || verb == "VALUES" || verb == "EXPLAIN"
	// The writer is taken before a slot: one that waits for it must not keep
	// its holder from running.
	if s.engine == nil && !read {
		if s.readOnly {
			return rowSet{}, verb, errReadOnly
		}
		if err := s.begin(); err != nil {
			return rowSet{}, verb, err
		}
	}
	if err := s.takeSlot(); err != nil {
		return rowSet{}, verb, err
	}
	defer func() { <-s.node.slots }()
	if s.engine == nil {
		rs, err := s.read(sql, args)
		return rs, verb, err
	}
	rs, err := s.write(sql, args)
	return rs, verb, err
}

var (
	errAborted   = errors.New("current transaction is aborted")
	errCancelled = errors.New("canceling statement due to user request")
)

func (s *pgSession) takeSlot() error {
	select {
	case s.node.slots <- struct{}{}:
		return nil
	case <-s.interrupt:
		return errCancelled
	case <-s.node.t.Dying():
		return errCancelled
	}
}

// read runs a statement on a reader; a sleep is a statement of the stand-in.
func (s *pgSession) read(sql string, args []*string) (rowSet, error) {
	if d, ok := sleepOf(sql); ok {
		select {
		case <-s.node.Clock.After(d):
		case <-s.interrupt:
			return rowSet{}, errCancelled
		}
		one := "done"
		return rowSet{columns: []string{"sleep"}, rows: [][]*string{{&one}}}, nil
	}
	e, _, _ := s.node.snapshot()
	c := <-e.readers
	defer func() { e.readers <- c }()
	return run(c, sql, args)
}

// sleepOf recognizes SELECT pg_sleep(seconds).
func sleepOf(sql string) (time.Duration, bool) {
	rest, ok := strings.CutPrefix(sql, "SELECT pg_sleep(")
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(strings.TrimRight(rest, "); ") + "s")
	return d, err == nil
}

// begin takes the writer of the engine.
func (s *pgSession) begin() error {
	term := s.node.leadingTerm()
	if term == 0 {
		return errReadOnly
	}
	e, _, _ := s.node.snapshot()
	select {
	case e.writing <- struct{}{}:
	case <-s.interrupt:
		return errCancelled
	case <-s.done:
		return errCancelled
	case <-s.node.t.Dying():
		return errCancelled
	}
	if _, err := run(e.writer, "BEGIN IMMEDIATE", nil); err != nil {
		<-e.writing
		return err
	}
	s.engine, s.term, s.pending = e, term, nil
	return nil
}

func (s *pgSession) write(sql string, args []*string) (rowSet, error) {
	rs, err := run(s.engine.writer, sql, args)
	if err == nil && verbOf(sql) != "SELECT" {
		s.pending = append(s.pending, statement{SQL: sql, Args: args})
	}
	return rs, err
}

func (s *pgSession) commit() error {
	if s.engine == nil {
		return nil
	}
	err := s.node.commit(s.engine, s.term, s.pending)
	if err != nil {
		s.rollback()
		return err
	}
	<-s.engine.writing
	s.engine = nil
	return nil
}

func (s *pgSession) rollback() {
	if s.engine == nil {
		return
	}
	_, _ = run(s.engine.writer, "ROLLBACK", nil)
	<-s.engine.writing
	s.engine = nil
	s.pending = nil
}
