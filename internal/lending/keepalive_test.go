package lending

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestIdleLinkWakesUpOnce guards against wake-ups of links that carry no call: each of 64 links
// woke the host up each 400 ms.
func TestIdleLinkWakesUpOnce(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := []struct {
		name            string
		used, wanted    time.Time
		pending         int
		action          linkAction
		wait            time.Duration
		watched, broken bool
	}{
		{"unused for a while", ago(time.Second), ago(0), 0, keepLink, linkIdleTimeout - time.Second, false, false},
		{"a call is pending", ago(time.Second), time.Time{}, 1, pingLink, pingInterval, true, false},
		{"a call is pending for long", ago(2 * linkIdleTimeout), time.Time{}, 1, pingLink, pingInterval, true, false},
		{"unused for long, and wanted", ago(linkIdleTimeout), ago(time.Second), 0, pingLink, linkIdleTimeout, false, false},
		{"unused for long, and not wanted any more", ago(linkIdleTimeout), ago(linkWantedTime), 0, closeLink, 0, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &link{b: &Borrower{}, lastUsed: tt.used, wantedAt: tt.wanted, watched: true, pending: make(map[uint64]chan response)}
			for i := range tt.pending {
				l.pending[uint64(i)] = nil
			}
			action, wait := l.next(now)
			if action != tt.action || wait != tt.wait || l.watched != tt.watched || (l.pending == nil) != tt.broken {
				t.Errorf("next returns %d, %s, watched: %t, pending: %v; want %d, %s, watched: %t", action, wait, l.watched, l.pending, tt.action, tt.wait, tt.watched)
			}
		})
	}
}

// TestUnusedLink guards against a lender that is avoided because its link was closed as unused,
// and against a first statement that waits for a link although its client is connected.
func TestUnusedLink(t *testing.T) {
	for _, wanted := range []bool{false, true} {
		p := newPair(t)
		var downs atomic.Int64
		p.b.OnDown = func(string) { downs.Add(1) }
		p.b.IdleTimeout = 50 * time.Millisecond
		address := strings.TrimPrefix(p.server.URL, "http://")
		if _, _, err := p.run(0, time.Second, engine.SessionState{}, engine.Op{Text: "x"}); err != nil {
			t.Fatal(err)
		}
		p.b.mu.Lock()
		first := p.b.links[address]
		p.b.mu.Unlock()
		for end := time.Now().Add(600 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if wanted {
				p.b.Preconnect(address)
			}
		}
		p.b.mu.Lock()
		now := p.b.links[address]
		p.b.mu.Unlock()
		if kept := now == first; kept != wanted || downs.Load() > 0 {
			t.Errorf("wanted: %t; the link is kept: %t, the lender was reported as down %d times", wanted, kept, downs.Load())
		}
		if _, _, err := p.run(0, time.Second, engine.SessionState{}, engine.Op{Text: "x"}); err != nil {
			t.Errorf("wanted: %t; a call fails: %v", wanted, err)
		}
	}
}

// TestPendingCallIsWatched guards against a call that waits for its deadline although its lender
// has stopped: the link is pinged while a call is pending, also after it has been idle.
func TestPendingCallIsWatched(t *testing.T) {
	stopped := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err == nil {
			<-stopped
			_ = ws.CloseNow()
		}
	}))
	defer server.Close()
	defer close(stopped)
	down := make(chan string, 9)
	b := &Borrower{DialContext: (&net.Dialer{}).DialContext, OnDown: func(a string) { down <- a }}
	address := strings.TrimPrefix(server.URL, "http://")
	b.Preconnect(address)
	time.Sleep(3 * pingInterval / 2)
	const limit = 8 * time.Second
	sent := time.Now()
	_, err := b.Run(address, replicaset.Member{ID: "m", Group: "g"}, 0, engine.Call{QueueDeadline: sent.Add(limit), Deadline: sent.Add(limit), Ops: []engine.Op{{Text: "x"}}})
	if took := time.Since(sent); err == nil || took > limit/2 {
		t.Errorf("the call ends after %s with %v, want an error after a ping", took, err)
	}
	select {
	case <-down:
	case <-time.After(time.Second):
		t.Error("the lender is not reported as down")
	}
}
