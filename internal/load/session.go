// Package load runs database sessions against entry hosts and records the
// outcome of each write and the result of each read.
//
// # Usage
//
//	s := &load.Session{URL: func() string { return url }, N: 1, Rand: r, History: h}
//	s.Run(ctx) // writes rows and reads them back until ctx ends
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cumintrestle/cumintrestle/internal/history"
)

const (
	tokenParam     = "cumintrestle.session_token"
	connectTimeout = 3 * time.Second
	requestTimeout = 12 * time.Second
)

// CreateTable is the statement that creates the table that sessions write to.
const CreateTable = "CREATE TABLE IF NOT EXISTS load_order (id TEXT, session INTEGER)"

// oddTexts end the ids, since a text is read back byte for byte.
var oddTexts = []string{"", " ", "\r", "\n", "\r\n", "a\rb", "\t\x01", "'", `"\`, "--", "/*", ";", "$1", "\xff", "\u2028"}

// Session is one client that inserts rows and reads rows back. When it
// reconnects to another entry host, it presents the session token of its previous
// connection. Set the exported fields before Run.
type Session struct {
	// Number is the number of the session, used in its row ids and in History.
	Number int
	// URL returns the address for the next connection. It may name a different
	// entry host each time.
	URL func() string
	// ReadShare is the fraction of requests that are reads, from 0 to 1.
	ReadShare float64
	// Watch is the number of the session whose rows are read, or OwnOrders.
	Watch int
	// ThinkTime is the pause after each request.
	ThinkTime time.Duration
	Rand      *rand.Rand
	History   *history.History
	// OnAck is called for each acknowledged write with the times at which it was
	// sent and acknowledged.
	OnAck func(sent, acked time.Time)
	// OnRead is called for each successful read.
	OnRead func(latency time.Duration)
	// OnError is called for each failed read, write or connection attempt.
	OnError func(error)

	conn       *pgx.Conn
	token      string
	writeCount int
	ackedIDs   []string
	seenIDs    map[string]bool
}

// Run sends requests, reconnecting as needed, until ctx ends.
func (s *Session) Run(ctx context.Context) {
	s.seenIDs = make(map[string]bool)
	defer s.disconnect()
	for ctx.Err() == nil {
		if s.conn == nil && !s.connect(ctx) {
			sleep(ctx, 10*time.Millisecond)
			continue
		}
		if s.Rand.Float64() < s.ReadShare {
			s.read(ctx)
		} else {
			s.write()
		}
		if s.conn != nil {
			s.token = s.conn.PgConn().ParameterStatus(tokenParam)
			if s.conn.IsClosed() {
				s.disconnect()
			}
		}
		sleep(ctx, s.ThinkTime)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// disconnect closes the connection. Run then opens a new one, possibly to another
// entry host.
func (s *Session) disconnect() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

func (s *Session) connect(ctx context.Context) bool {
	cfg, err := pgx.ParseConfig(s.URL())
	if err != nil {
		return false
	}
	cfg.RuntimeParams[tokenParam] = s.token
	cfg.ConnectTimeout = connectTimeout
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		s.reportError(err)
		return false
	}
	s.conn = conn
	return true
}

func (s *Session) reportError(err error) {
	if s.OnError != nil {
		s.OnError(err)
	}
}

func (s *Session) write() {
	s.writeCount++
	id := fmt.Sprintf("s%d-%d%s", s.Number, s.writeCount, oddTexts[s.Rand.IntN(len(oddTexts))])
	// The write doesn't use Run's context: canceling it would leave its outcome
	// unknown.
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	sentAt := time.Now()
	_, err := s.conn.Exec(ctx, "INSERT INTO load_order VALUES ($1, $2)", id, s.Number)
	w := history.Write{ID: id, Session: s.Number, Outcome: outcomeOf(err)}
	s.History.AddWrite(w)
	if err != nil {
		s.reportError(err)
		s.disconnectIfBroken(err)
		return
	}
	s.ackedIDs = append(s.ackedIDs, id)
	if s.OnAck != nil {
		s.OnAck(sentAt, time.Now())
	}
}

// disconnectIfBroken closes the connection after an error that leaves it
// unusable: a fatal error from the server, or any error that isn't from the
// server.
func (s *Session) disconnectIfBroken(err error) {
	var pe *pgconn.PgError
	if !errors.As(err, &pe) || pe.Severity == "FATAL" {
		s.disconnect()
	}
}

// outcomeOf returns the outcome of a write that returned err. The write is known
// not to have run only if the server answered with an error: a proxy code from
// 2000 or the endpoint's own error. A proxy code from 3000 or a broken connection
// leaves the outcome unknown.
func outcomeOf(err error) history.Outcome {
	if err == nil {
		return history.Acked
	}
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		return history.Unknown
	}
	if strings.HasPrefix(pe.Message, "CT3") {
		return history.Unknown
	}
	return history.NotRun
}

func (s *Session) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sentAt := time.Now()
	rows, err := s.conn.Query(ctx, "SELECT id FROM load_order WHERE session = $1", s.watchedSession())
	if err != nil {
		s.reportError(err)
		s.disconnectIfBroken(err)
		return
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		s.reportError(err)
		s.disconnectIfBroken(err)
		return
	}
	if s.OnRead != nil {
		s.OnRead(time.Since(sentAt))
	}
	s.History.AddRead(s.checkRead(ids))
}

// OwnOrders is the value of Session.Watch for a session that reads its own rows.
const OwnOrders = 0

// watchedSession returns the number of the session whose rows are read.
func (s *Session) watchedSession() int {
	if s.Watch == OwnOrders {
		return s.Number
	}
	return s.Watch
}

// checkRead compares the ids that a read returned with the session's own
// acknowledged writes, if it reads its own rows, and with its earlier reads.
func (s *Session) checkRead(ids []string) history.Read {
	r := history.Read{Session: s.Number}
	present := make(map[string]bool, len(ids))
	for _, id := range ids {
		present[id] = true
	}
	for _, id := range s.ackedIDs {
		if s.watchedSession() == s.Number && !present[id] {
			r.Missing = append(r.Missing, id)
		}
	}
	for id := range s.seenIDs {
		if !present[id] {
			r.Vanished = append(r.Vanished, id)
		}
	}
	for id := range present {
		s.seenIDs[id] = true
	}
	return r
}

// ReadAllIDs reads the ids of all rows in a database group. It reads inside a
// transaction, which the entry host runs on the primary.
func ReadAllIDs(ctx context.Context, conn *pgx.Conn) ([]string, error) {
	tx, err := conn.Begin(ctx)
	if err != nil {
		return nil, fmt.Errorf("final read: %w", err)
	}
	defer func() { _ = tx.Rollback(context.Background()) }()
	rows, err := tx.Query(ctx, "SELECT id FROM load_order")
	if err != nil {
		return nil, fmt.Errorf("final read: %w", err)
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		return nil, fmt.Errorf("final read: %w", err)
	}
	return ids, nil
}
