package endpoint

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/benbjohnson/clock"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
)

// slowEndpoint accepts connections and completes each only after a delay.
func slowEndpoint(t *testing.T, delay time.Duration) (address string, accepted *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	accepted = new(atomic.Int64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				b := pgproto3.NewBackend(c, c)
				if _, err := b.ReceiveStartupMessage(); err != nil {
					return
				}
				time.Sleep(delay)
				b.Send(&pgproto3.AuthenticationOk{})
				b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
				_ = b.Flush()
			}()
		}
	}()
	return ln.Addr().String(), accepted
}

// TestSlowConnectionServesLater guards against an endpoint that is never used, because
// opening a connection to it takes longer than a request may wait, and against a time-out
// that is reported as a refusal (a first statement failed with CT2014 beside load).
func TestSlowConnectionServesLater(t *testing.T) {
	const delay = 200 * time.Millisecond
	address, accepted := slowEndpoint(t, delay)
	p := &Pool{Member: core.Member{ID: "m", Address: address}, Database: "d", Clock: clock.New()}
	p.SetLimit(1)
	short, cancel := context.WithTimeout(context.Background(), delay/4)
	defer cancel()
	if _, err := p.Acquire(short, "a", core.ClassWrite); result.CodeOf(err) != result.QueueDeadline {
		t.Errorf("a request that could not wait longer: %v, want %d", err, result.QueueDeadline)
	}
	long, cancel := context.WithTimeout(context.Background(), 20*delay)
	defer cancel()
	c, err := p.Acquire(long, "a", core.ClassWrite)
	if err != nil {
		t.Fatal(err)
	}
	if n := accepted.Load(); n != 1 {
		t.Errorf("%d connections were opened, want the first one to be used", n)
	}
	p.Release(c, true)
	if s := p.Stats(); s.Held != 1 || s.Idle != 1 {
		t.Errorf("the pool holds %d connections, %d of them idle, want 1 and 1", s.Held, s.Idle)
	}
}

// TestLateRequestIsRefused guards against a request that waits for ever: its deadline had passed when a
// connection was free, so that the queue passed it over.
func TestLateRequestIsRefused(t *testing.T) {
	address, _ := slowEndpoint(t, 0)
	p := &Pool{Member: core.Member{ID: "m", Address: address}, Database: "d", Clock: clock.New()}
	p.SetLimit(1)
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	acquired := make(chan error, 1)
	go func() {
		_, err := p.Acquire(ctx, "a", core.ClassWrite)
		acquired <- err
	}()
	select {
	case err := <-acquired:
		if result.CodeOf(err) != result.QueueDeadline {
			t.Errorf("got %v, want %d", err, result.QueueDeadline)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the request still waits")
	}
}
