// Package load drives callers' sessions against entry hosts and records what
// they were told.
//
// # Usage
//
//	s := &load.Session{URL: func() string { return url }, N: 1, History: h}
//	s.Run(ctx) // writes and reads back until ctx ends
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
	paramToken     = "cumintrestle.session_token"
	connectTimeout = 3 * time.Second
	callTimeout    = 12 * time.Second
)

// Table makes the table that sessions write to.
const Table = "CREATE TABLE IF NOT EXISTS load_order (id TEXT, session INTEGER)"

// Session is one caller that writes orders and reads its own back. It keeps
// its session token when it roams to another entry host. The exported fields
// are set before Run.
type Session struct {
	N int
	// URL returns the entry host to connect to next.
	URL func() string
	// ReadShare is the part of requests that are reads, from 0 to 1.
	ReadShare float64
	// Watch is the session whose orders are read; Own reads its own.
	Watch int
	// Think is the pause between two requests.
	Think   time.Duration
	Rand    *rand.Rand
	History *history.History
	// OnAck is told of each acknowledged write and when it was asked.
	OnAck func(asked, acked time.Time)
	// OnRead is told of each answered read.
	OnRead func(took time.Duration)
	// OnError is told of each refusal.
	OnError func(error)

	conn  *pgx.Conn
	token string
	count int
	acked []string
	seen  map[string]bool
}

// Run works until ctx ends.
func (s *Session) Run(ctx context.Context) {
	s.seen = make(map[string]bool)
	defer s.hangUp()
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
			s.token = s.conn.PgConn().ParameterStatus(paramToken)
			if s.conn.IsClosed() {
				s.hangUp()
			}
		}
		sleep(ctx, s.Think)
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

// hangUp ends the connection; the next one may be to another entry host.
func (s *Session) hangUp() {
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
	cfg.RuntimeParams[paramToken] = s.token
	cfg.ConnectTimeout = connectTimeout
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		s.error(err)
		return false
	}
	s.conn = conn
	return true
}

func (s *Session) error(err error) {
	if s.OnError != nil {
		s.OnError(err)
	}
}

func (s *Session) write() {
	s.count++
	id := fmt.Sprintf("s%d-%d", s.N, s.count)
	// The write ends by itself; a run that ends does not cut it.
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	asked := time.Now()
	_, err := s.conn.Exec(ctx, "INSERT INTO load_order VALUES ($1, $2)", id, s.N)
	w := history.Write{ID: id, Session: s.N, Outcome: outcomeOf(err)}
	s.History.Wrote(w)
	if err != nil {
		s.error(err)
		s.dropBroken(err)
		return
	}
	s.acked = append(s.acked, id)
	if s.OnAck != nil {
		s.OnAck(asked, time.Now())
	}
}

// dropBroken leaves a connection that is of no more use.
func (s *Session) dropBroken(err error) {
	var pe *pgconn.PgError
	if !errors.As(err, &pe) || pe.Severity == "FATAL" {
		s.hangUp()
	}
}

// outcomeOf reads what an error says of a write's outcome. Only our own codes
// from 2000 and an endpoint's own error say that nothing was run.
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	rows, err := s.conn.Query(ctx, "SELECT id FROM load_order WHERE session = $1", s.watched())
	if err != nil {
		s.error(err)
		s.dropBroken(err)
		return
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		s.error(err)
		s.dropBroken(err)
		return
	}
	if s.OnRead != nil {
		s.OnRead(time.Since(asked))
	}
	s.History.Read(s.compare(ids))
}

// Own makes a session read its own orders.
const Own = 0

// watched returns the session whose orders are read.
func (s *Session) watched() int {
	if s.Watch == Own {
		return s.N
	}
	return s.Watch
}

// compare finds what a read lacks of what the session wrote and saw before.
func (s *Session) compare(ids []string) history.Read {
	r := history.Read{Session: s.N}
	now := make(map[string]bool, len(ids))
	for _, id := range ids {
		now[id] = true
	}
	for _, id := range s.acked {
		if s.watched() == s.N && !now[id] {
			r.Missing = append(r.Missing, id)
		}
	}
	for id := range s.seen {
		if !now[id] {
			r.Vanished = append(r.Vanished, id)
		}
	}
	for id := range now {
		s.seen[id] = true
	}
	return r
}

// Final reads all orders that a group holds, as fresh as can be.
func Final(ctx context.Context, conn *pgx.Conn) ([]string, error) {
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
