package lending

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

func testRing(self string) *Ring {
	now := time.Now()
	r := &Ring{Self: self, Zone: "a", Now: func() time.Time { return now }}
	r.Set([]Peer{
		{"h1", "a", "1", 0.8},
		{"h2", "a", "2", 0.2},
		{"h3", "a", "3", 0.2},
		{"h4", "b", "4", 0.8},
	})
	return r
}

func TestLenders(t *testing.T) {
	first := make(map[string]int)
	for i := range 300 {
		id := replicaset.EndpointID(strings.Repeat("x", i))
		one, zones := testRing("h1").Lenders(id, 3)
		if len(one) != 3 || zones != 2 {
			t.Fatalf("lenders %v of %d zones, want the three of the own zone and 2", one, zones)
		}
		two, _ := testRing("h2").Lenders(id, 3)
		if (one[0] == "") != (two[0] == "1") {
			t.Fatalf("h1 sees %v, h2 sees %v: they disagree who holds the connections", one, two)
		}
		first[two[0]]++
	}
	if first["1"] < 200 {
		t.Errorf("the large host comes first for %d of 300 endpoints", first["1"])
	}
	if _, zones := testRing("h1").Lenders("x", 4); zones != 0 {
		t.Error("hosts borrow although each may hold a connection of its own")
	}
	r := testRing("h2")
	r.Down("1")
	if lenders, _ := r.Lenders("x", 3); len(lenders) != 2 {
		t.Errorf("a host that does not answer is asked: %v", lenders)
	}
}

// lendingPair is a lender before one endpoint, and a borrower.
type lendingPair struct {
	b      *Borrower
	server *httptest.Server
	member replicaset.Member
	dials  atomic.Int64
	closed atomic.Int64
	hang   chan struct{}
	away   atomic.Bool
}

func newPair(t *testing.T) *lendingPair {
	p := &lendingPair{member: replicaset.Member{ID: "m", Group: "g", Address: "m", Role: replicaset.Primary}, hang: make(chan struct{})}
	e := &engine.Engine{Now: time.Now, Boot: func() replicaset.Instant { return 1 }, Event: func(engine.Event) {}}
	e.Dial = func(context.Context, replicaset.Member) (*engine.Conn, error) {
		p.dials.Add(1)
		return &engine.Conn{
			Close: func() { p.closed.Add(1) },
			Do: func(_ time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
				if ops[0].Text == "hang" {
					<-p.hang
				}
				return []engine.Outcome{{Rows: []string{ops[0].Text}, Digest: "d"}}, nil
			},
		}, nil
	}
	e.Group("g").Register(1, p.member)
	p.server = httptest.NewServer(&Lender{Engine: e, Away: p.away.Load})
	p.b = &Borrower{DialContext: (&net.Dialer{}).DialContext, Down: func(string) {}}
	t.Cleanup(func() {
		close(p.hang)
		p.server.CloseClientConnections()
	})
	return p
}

func (p *lendingPair) borrow(values map[string]string) (*engine.Conn, error) {
	address := strings.TrimPrefix(p.server.URL, "http://")
	return p.b.Borrow(time.Now().Add(time.Second), address, p.member, 0, values)
}

func TestBorrow(t *testing.T) {
	p := newPair(t)
	c, err := p.borrow(nil)
	if err != nil {
		t.Fatal(err)
	}
	out, err := c.Do(time.Now().Add(time.Second), engine.Op{Text: "READ 7"})
	if err != nil || out[0].Rows[0] != "READ 7" || out[0].Digest != "d" {
		t.Fatalf("a borrowed connection answers %v, %v", out, err)
	}
	c.SetSessionState(map[string]string{"v": "1"}, map[engine.Shape]string{{Text: "q"}: "c0"})
	c.GiveBack(c)
	again, err := p.borrow(map[string]string{"v": "1"})
	if err != nil {
		t.Fatal(err)
	}
	values, prepared := again.SessionState()
	if values["v"] != "1" || prepared[engine.Shape{Text: "q"}] != "c0" {
		t.Errorf("the next borrower is told of %v and %v", values, prepared)
	}
	if n := p.dials.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// TestLinkBreaks checks that a link that breaks ends a call under way, and that
// the lender closes what was lent over it, which rolls it back.
func TestLinkBreaks(t *testing.T) {
	p := newPair(t)
	c, err := p.borrow(nil)
	if err != nil {
		t.Fatal(err)
	}
	failed := make(chan error, 1)
	go func() {
		_, err := c.Do(time.Now().Add(time.Minute), engine.Op{Text: "hang"})
		failed <- err
	}()
	time.Sleep(50 * time.Millisecond)
	p.b.mu.Lock()
	for _, l := range p.b.links {
		l.cancel()
	}
	p.b.mu.Unlock()
	if err := <-failed; err == nil {
		t.Error("a call over a broken link succeeds")
	}
	p.hang <- struct{}{}
	for end := time.Now().Add(5 * time.Second); p.closed.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the lender keeps a connection that its borrower lost")
		}
	}
}

func TestLenderAway(t *testing.T) {
	p := newPair(t)
	p.away.Store(true)
	if _, err := p.borrow(nil); !errors.Is(err, engine.ErrLenderAway) {
		t.Errorf("a host that stops gives %v", err)
	}
	p.server.Config.Handler = http.NotFoundHandler()
	p.server.Close()
	if _, err := p.borrow(nil); !errors.Is(err, engine.ErrLenderAway) {
		t.Errorf("a host that is gone gives %v", err)
	}
}
