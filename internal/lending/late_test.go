package lending

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// slowConn delays what is written to it.
type slowConn struct {
	net.Conn
	delay *atomic.Int64
}

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(c.delay.Load()))
	return c.Conn.Write(b)
}

// TestDelayedCallIsNotSent guards against operations that are sent long after their admission: a
// lender counted the time that was left from the arrival of the call, which may have been on its
// way for long, on a congested link or to a host that was frozen.
func TestDelayedCallIsNotSent(t *testing.T) {
	began := time.Now()
	boot := func(ahead time.Duration) func() replicaset.Instant {
		return func() replicaset.Instant { return replicaset.Instant(ahead + time.Since(began)) }
	}
	var sent, delay atomic.Int64
	m := replicaset.Member{ID: "m", Group: "g", Address: "m", Role: replicaset.Primary}
	e := &engine.Engine{Now: time.Now, BootTime: boot(time.Minute)}
	e.Dial = func(context.Context, replicaset.Member, session.Account) (*engine.Conn, error) {
		return &engine.Conn{Close: func() {}, Do: func(_ time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
			sent.Add(1)
			return make([]engine.Outcome, len(ops)), nil
		}}, nil
	}
	e.Group("g").Register(1, m)
	server := httptest.NewServer(&Lender{Engine: e, Accounts: true, Unavailable: func() bool { return false }})
	t.Cleanup(server.CloseClientConnections)
	b := &Borrower{Accounts: true, BootTime: boot(time.Hour), OnDown: func(string) {}, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return slowConn{c, &delay}, err
	}}
	for _, tt := range []struct {
		delay time.Duration
		sent  int64
	}{{0, 1}, {0, 2}, {200 * time.Millisecond, 2}, {0, 3}} {
		delay.Store(int64(tt.delay))
		until := time.Now().Add(time.Second)
		call := engine.Call{QueueDeadline: until, Deadline: until, SendBy: b.BootTime().Add(100 * time.Millisecond), Ops: []engine.Op{{Kind: engine.OpStatement}}}
		_, err := b.Run(strings.TrimPrefix(server.URL, "http://"), m, 0, call)
		if late := errors.Is(err, engine.ErrSendByPassed); sent.Load() != tt.sent || late != (tt.delay > 0) {
			t.Errorf("%d operations sent after a delay of %s, want %d; error %v", sent.Load(), tt.delay, tt.sent, err)
		}
	}
}

// TestLateAnswer checks that a call that times out does not affect other calls over
// the link, and that the transaction it left open at the lender is rolled back.
func TestLateAnswer(t *testing.T) {
	p := newPair(t)
	// The call has to reach the endpoint, however long that takes.
	now := time.Now()
	_, err := p.b.Run(strings.TrimPrefix(p.server.URL, "http://"), p.member, 0, engine.Call{
		QueueDeadline: now.Add(time.Minute), Deadline: now.Add(20 * time.Millisecond), Ops: []engine.Op{{Text: "hang"}},
	})
	if err == nil || !engine.Sent(err) {
		t.Errorf("call without a response: error %v, want one that says that it may have been sent", err)
	}
	if _, _, err := p.run(0, time.Second, engine.SessionState{}, engine.Op{Text: "READ 7"}); err != nil {
		t.Errorf("another call over the link: %v", err)
	}
	p.hang <- struct{}{}
	p.waitClosed(t)
}
