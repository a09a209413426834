package endpoint

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/benbjohnson/clock"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
)

// scripted is an endpoint that answers each query with its text and sends extra messages.
type scripted struct {
	// between is sent after each answer to a marker.
	between []pgproto3.BackendMessage
	// late makes the answer to the first query come again before that to the second one.
	late bool
}

func (s scripted) run(c net.Conn) {
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	var first string
	var types []uint32
	for b.Flush() == nil {
		m, err := b.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			if s.late && first != "" {
				sendTag(b, first)
			}
			first = m.String
			sendTag(b, m.String)
		case *pgproto3.Parse:
			types = append([]uint32(nil), m.ParameterOIDs...)
			b.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Describe:
			b.Send(&pgproto3.ParameterDescription{ParameterOIDs: types})
			b.Send(&pgproto3.NoData{})
		case *pgproto3.Sync:
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			for _, m := range s.between {
				b.Send(m)
			}
		}
	}
}

func sendTag(b *pgproto3.Backend, tag string) {
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// request sends a query with its marker and reads to ReadyForQuery and the marker's answer.
func request(c *Conn, sql string) error {
	c.Frontend.SendQuery(&pgproto3.Query{String: sql})
	c.SendMarker()
	if err := c.Frontend.Flush(); err != nil {
		return err
	}
	for {
		m, err := c.Frontend.Receive()
		if err != nil {
			return err
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return c.ReceiveMarker()
		}
	}
}

// TestInStep guards against a connection that is pooled although its next answer would be
// that of an earlier request, and against one that is closed for a message that may come at
// any time.
func TestInStep(t *testing.T) {
	for _, c := range []struct {
		name     string
		endpoint scripted
		want     error
		reused   bool
		counted  int
	}{
		{"one answer", scripted{}, nil, true, 0},
		{"asynchronous messages", scripted{between: []pgproto3.BackendMessage{
			&pgproto3.NoticeResponse{Severity: "NOTICE"}, &pgproto3.ParameterStatus{Name: "a", Value: "b"},
			&pgproto3.NotificationResponse{Channel: "c"},
		}}, nil, true, 0},
		{"one ReadyForQuery too many", scripted{between: []pgproto3.BackendMessage{&pgproto3.ReadyForQuery{TxStatus: 'I'}}}, nil, false, 1},
		{"a second answer", scripted{between: []pgproto3.BackendMessage{
			&pgproto3.CommandComplete{CommandTag: []byte("A")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
		}}, nil, false, 1},
		{"an error between requests", scripted{between: []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Code: "42601"}}}, nil, false, 1},
		{"a shutdown between requests", scripted{between: []pgproto3.BackendMessage{
			&pgproto3.ErrorResponse{SeverityUnlocalized: "FATAL", Code: "57P01"},
		}}, nil, false, 0},
		{"a second answer after the next request", scripted{late: true}, errOutOfStep, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &Pool{Member: core.Member{ID: "m", Address: serveScripted(t, c.endpoint)}, Database: "d", Clock: clock.New()}
			p.SetLimit(1)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			conn, err := p.Acquire(ctx, "a", core.ClassWrite)
			if err != nil {
				t.Fatal(err)
			}
			err = request(conn, "first")
			if c.want != nil {
				err = request(conn, "second")
			}
			if !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			// Gives messages that follow the answer the time to arrive.
			time.Sleep(20 * time.Millisecond)
			p.Release(conn, true)
			next, err := p.Acquire(ctx, "a", core.ClassWrite)
			if err != nil {
				t.Fatal(err)
			}
			if (next == conn) != c.reused {
				t.Errorf("reused: %t, want %t", next == conn, c.reused)
			}
			p.Release(next, false)
			if s := p.Stats(); s.Held != 0 || s.OutOfStep != c.counted {
				t.Errorf("the pool counts %d connections, %d out of step, want 0 and %d", s.Held, s.OutOfStep, c.counted)
			}
		})
	}
}

func serveScripted(t *testing.T, s scripted) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.run(c)
		}
	}()
	return ln.Addr().String()
}
