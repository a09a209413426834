package lending

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

func testRing(self string) *Ring {
	now := time.Now()
	r := &Ring{Self: self, Now: func() time.Time { return now }}
	r.Set([]Peer{
		{"h1", "a", "1", 0.8},
		{"h2", "a", "2", 0.2},
		{"h3", "a", "3", 0.2},
		{"h4", "b", "4", 0.8},
	})
	return r
}

func TestLenders(t *testing.T) {
	large := 0
	for i := range 300 {
		m := replicaset.Member{ID: replicaset.EndpointID(strings.Repeat("x", i)), Zone: "a"}
		one, holders := testRing("h1").Lenders(m, 3)
		if len(one) != 3 || holders != 2 {
			t.Fatalf("lenders %v, %d of them hold, want the three of the endpoint's zone and 2", one, holders)
		}
		far, _ := testRing("h4").Lenders(m, 3)
		holds := one[0] == "" || one[1] == ""
		if asked := far[0] == "1" || far[1] == "1"; asked != holds {
			t.Fatalf("h1 sees %v, h4 sees %v: they disagree who holds the connections", one, far)
		}
		if holds {
			large++
		}
		if one[1] == "" {
			t.Fatalf("a host that holds connections asks another first: %v", one)
		}
	}
	if large < 250 {
		t.Errorf("the large host holds connections to %d of 300 endpoints", large)
	}
	m := replicaset.Member{ID: "x", Zone: "a"}
	if _, holders := testRing("h1").Lenders(m, 0); holders != 0 {
		t.Error("hosts borrow connections to an endpoint without a limit")
	}
	r := testRing("h2")
	r.Down("1")
	if lenders, _ := r.Lenders(m, 3); len(lenders) != 2 {
		t.Errorf("a host that does not answer is asked: %v", lenders)
	}
	if lenders, _ := r.Lenders(replicaset.Member{ID: "x", Zone: "nowhere"}, 3); len(lenders) != 3 {
		t.Errorf("an endpoint in a zone without hosts is reached through %v", lenders)
	}
}

// TestRank answers the load of an endpoint that is merely slow: few hosts ask it
// whether it lives, those that hold its connections first.
func TestRank(t *testing.T) {
	ranks := make(map[int]int)
	for _, self := range []string{"h1", "h2", "h3"} {
		rank, ok := testRing(self).Rank(replicaset.Member{ID: "x", Zone: "a"}, 3)
		if !ok {
			t.Fatalf("%s has no rank", self)
		}
		ranks[rank]++
	}
	if ranks[0] != 2 || ranks[2] != 1 {
		t.Errorf("the ranks in the zone are %v, want two holders at the head and one host after them", ranks)
	}
	if rank, ok := testRing("h4").Rank(replicaset.Member{ID: "x", Zone: "a"}, 3); !ok || rank < 1000 {
		t.Errorf("a host of another zone has rank %d, want it last", rank)
	}
	if _, ok := testRing("h1").Rank(replicaset.Member{ID: "x", Zone: "a"}, 0); ok {
		t.Error("hosts that keep their own connections have ranks")
	}
}

// TestDownLonger answers a partition of many seconds: a host that goes on not to
// answer costs a statement its time ever more rarely.
func TestDownLonger(t *testing.T) {
	now := time.Now()
	r := &Ring{Self: "h2", Now: func() time.Time { return now }}
	r.Set([]Peer{{"h1", "a", "1", 0.8}, {"h2", "a", "2", 0.2}, {"h3", "a", "3", 0.2}})
	m := replicaset.Member{ID: "x", Zone: "a"}
	for _, want := range []time.Duration{downTime, 2 * downTime, longestDown, longestDown} {
		r.Down("1")
		r.Down("1")
		now = now.Add(want - time.Millisecond)
		if lenders, _ := r.Lenders(m, 2); len(lenders) != 2 {
			t.Fatalf("a host is asked within %s of its absence: %v", want, lenders)
		}
		now = now.Add(time.Millisecond)
		if lenders, _ := r.Lenders(m, 2); len(lenders) != 3 {
			t.Fatalf("a host is not asked after %s: %v", want, lenders)
		}
	}
	r.Up("1")
	r.Down("1")
	now = now.Add(downTime)
	if lenders, _ := r.Lenders(m, 2); len(lenders) != 3 {
		t.Error("a host that answered meanwhile is passed over for longer than the first time")
	}
}

// TestWhoLends answers the load of transactions that hold connections for the way
// from another region: from two hosts on, those of the endpoint's zone hold them.
func TestWhoLends(t *testing.T) {
	tests := []struct {
		connections, hosts int
		want               int
	}{
		{0, 100, 0},
		{16, 1, 0},
		{16, 2, 2},
		{6, 7, 2},
		{16, 7, 2},
		{200, 59, 2},
	}
	for _, tt := range tests {
		r := testRing("h1")
		var peers []Peer
		for i := range tt.hosts {
			peers = append(peers, Peer{Name: fmt.Sprintf("h%d", i+1), Zone: "a", Address: fmt.Sprint(i + 1), Weight: 1})
		}
		r.Set(peers)
		if _, got := r.Lenders(replicaset.Member{ID: "x", Zone: "a"}, tt.connections); got != tt.want {
			t.Errorf("%d connections before %d hosts: %d hold them, want %d", tt.connections, tt.hosts, got, tt.want)
		}
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

	mu    sync.Mutex
	kinds []engine.OpKind
}

func newPair(t *testing.T) *lendingPair {
	p := &lendingPair{member: replicaset.Member{ID: "m", Group: "g", Address: "m", Role: replicaset.Primary}, hang: make(chan struct{})}
	e := &engine.Engine{Now: time.Now, Boot: func() replicaset.Instant { return 1 }, Event: func(engine.Event) {}}
	e.Dial = func(context.Context, replicaset.Member) (*engine.Conn, error) {
		p.dials.Add(1)
		return &engine.Conn{
			Close: func() { p.closed.Add(1) },
			Do: func(_ time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
				switch ops[0].Text {
				case "hang":
					<-p.hang
				case "panic":
					// The code that takes the answer relies on one.
					return nil, nil
				}
				o := engine.Outcome{Rows: []string{ops[0].Text}, Digest: "d"}
				p.mu.Lock()
				defer p.mu.Unlock()
				p.kinds = append(p.kinds, ops[0].Kind)
				if ops[0].Text == "hang" || ops[0].Kind == engine.OpBegin || ops[0].Text == "stay" {
					o.State = engine.InTransaction
				}
				return []engine.Outcome{o}, nil
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

// run runs a call over the link.
func (p *lendingPair) run(handle uint64, wait time.Duration, want engine.Want, ops ...engine.Op) ([]engine.Outcome, uint64, error) {
	address := strings.TrimPrefix(p.server.URL, "http://")
	deadline := time.Now().Add(wait)
	a, err := p.b.Run(address, p.member, handle, engine.Call{Until: deadline, Deadline: deadline, Want: want, Ops: ops})
	return a.Outcomes, a.Handle, err
}

// eventuallyClosed waits until the lender has closed a connection.
func (p *lendingPair) eventuallyClosed(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); p.closed.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the lender keeps a connection that its borrower lost")
		}
	}
}

func TestBorrow(t *testing.T) {
	p := newPair(t)
	want := engine.Want{Values: map[string]string{"v": "1"}}
	for range 2 {
		out, handle, err := p.run(0, time.Second, want, engine.Op{Text: "READ 7"})
		if err != nil || out[0].Rows[0] != "READ 7" || out[0].Digest != "d" || handle != 0 {
			t.Fatalf("a call gives %v, %d, %v", out, handle, err)
		}
	}
	if n := p.dials.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
	if want := []engine.OpKind{engine.OpSet, engine.OpStatement, engine.OpStatement}; !reflect.DeepEqual(p.kinds, want) {
		t.Errorf("the endpoint got %v, want the session's value once: %v", p.kinds, want)
	}
}

// TestTransactionIsOneLoan answers the load of transactions over scarce
// connections: one connection is lent from the first statement to the end, a
// statement is one message each way, and the end needs none of its own.
func TestTransactionIsOneLoan(t *testing.T) {
	p := newPair(t)
	_, handle, err := p.run(0, time.Second, engine.Want{}, engine.Op{Kind: engine.OpBegin}, engine.Op{Text: "stay"})
	if err != nil || handle == 0 {
		t.Fatalf("a transaction gives the handle %d, %v", handle, err)
	}
	if _, again, err := p.run(handle, time.Second, engine.Want{}, engine.Op{Text: "stay"}); err != nil || again != handle {
		t.Fatalf("its next statement gives the handle %d, %v", again, err)
	}
	if _, left, err := p.run(handle, time.Second, engine.Want{}, engine.Op{Text: "COMMIT"}); err != nil || left != 0 {
		t.Fatalf("its end gives the handle %d, %v", left, err)
	}
	if _, _, err := p.run(handle, time.Second, engine.Want{}, engine.Op{Text: "late"}); err == nil || engine.Sent(err) {
		t.Errorf("a statement after the end gives %v, want that nothing was sent", err)
	}
	if n, m := p.dials.Load(), p.closed.Load(); n != 1 || m != 0 {
		t.Errorf("%d connections were opened and %d closed, want 1 and 0", n, m)
	}
}

// TestLateAnswer checks that a call whose answer is late fails alone, and that
// what it left open at the lender ends.
func TestLateAnswer(t *testing.T) {
	p := newPair(t)
	_, _, err := p.run(0, 20*time.Millisecond, engine.Want{}, engine.Op{Text: "hang"})
	if err == nil || !engine.Sent(err) {
		t.Errorf("a call without an answer gives %v, want that it may have been sent", err)
	}
	if _, _, err := p.run(0, time.Second, engine.Want{}, engine.Op{Text: "READ 7"}); err != nil {
		t.Errorf("another call over the link gives %v", err)
	}
	p.hang <- struct{}{}
	p.eventuallyClosed(t)
}

// TestMessagesCarryAll checks that requests and answers survive the way between
// hosts whole. Reports were left out, and no borrower ever got a proof.
func TestMessagesCarryAll(t *testing.T) {
	at := session.Point{Term: 3, Position: 9}
	shape := engine.Shape{Writes: true, Text: "q"}
	call := engine.Call{
		Class: 2, AnyState: true, Proof: true, Fresh: &engine.Fresh{MaxAge: 1450 * time.Millisecond, Seen: at}, Want: engine.Want{Values: map[string]string{"v": "1"}, Shape: &shape},
		Ops: []engine.Op{
			{Kind: engine.OpExecute, ID: "1", Text: "7 x", After: at, Shape: shape, Commits: true},
			{Kind: engine.OpSet, Name: "v", Value: "1"},
			{Kind: engine.OpPause, Term: 4},
		},
	}
	outcomes := []engine.Outcome{
		{Code: engine.Behind, Reason: "m", State: engine.FailedTransaction, Point: at},
		{Rows: []string{"a"}, Digest: "d", Report: replicaset.Status{
			Role: replicaset.Replica, Term: 3, Held: 4, Received: at, Lag: time.Second,
		}},
	}
	body, err := encode(wireRequest("g", "m", 0, call))
	if err != nil {
		t.Fatal(err)
	}
	var q request
	if err := cbor.Unmarshal(body, &q); err != nil {
		t.Fatal(err)
	}
	got := q.call()
	got.Until, got.Deadline = call.Until, call.Deadline
	if !reflect.DeepEqual(got, call) || q.Group != "g" || q.Endpoint != "m" {
		t.Errorf("a call arrives as %+v for %s of %s, want %+v", got, q.Endpoint, q.Group, call)
	}
	knows := replicaset.Knowledge{Lead: "m", Term: 3, Point: at, SampleAge: 41 * time.Millisecond, ProofAge: -1}
	told := knows
	told.SampleAge += time.Millisecond
	if body, err = encode(response{Outcomes: wireOutcomes(outcomes), Known: wireKnown(knows)}); err != nil {
		t.Fatal(err)
	}
	var a response
	if err := cbor.Unmarshal(body, &a); err != nil {
		t.Fatal(err)
	}
	if got := a.Known.knowledge(); got != told {
		t.Errorf("what a lender knows arrives as %+v, want %+v", got, told)
	}
	if got := engineOutcomes(a.Outcomes); !reflect.DeepEqual(got, outcomes) {
		t.Errorf("answers arrive as %+v, want %+v", got, outcomes)
	}
}

// TestLinkBreaks checks that a link that breaks ends a call under way, and that
// the lender closes what was lent over it, which rolls it back.
func TestLinkBreaks(t *testing.T) {
	p := newPair(t)
	failed := make(chan error, 1)
	go func() {
		_, _, err := p.run(0, time.Minute, engine.Want{}, engine.Op{Kind: engine.OpBegin}, engine.Op{Text: "hang"})
		failed <- err
	}()
	time.Sleep(50 * time.Millisecond)
	p.b.mu.Lock()
	for _, l := range p.b.links {
		<-l.ready
		l.cancel()
	}
	p.b.mu.Unlock()
	if err := <-failed; err == nil || !engine.Sent(err) {
		t.Errorf("a call over a broken link gives %v, want that it may have been sent", err)
	}
	p.hang <- struct{}{}
	p.eventuallyClosed(t)
}

func TestLenderAway(t *testing.T) {
	p := newPair(t)
	p.away.Store(true)
	if _, _, err := p.run(0, time.Second, engine.Want{}, engine.Op{Text: "x"}); !errors.Is(err, engine.ErrLenderAway) || engine.Sent(err) {
		t.Errorf("a host that stops gives %v", err)
	}
	p.server.Config.Handler = http.NotFoundHandler()
	p.server.Close()
	if _, _, err := p.run(0, time.Second, engine.Want{}, engine.Op{Text: "x"}); !errors.Is(err, engine.ErrLenderAway) || engine.Sent(err) {
		t.Errorf("a host that is gone gives %v", err)
	}
}

// TestMalformedMessages checks that no message of another host ends the process,
// and that an answer which cannot be right promises nothing.
func TestMalformedMessages(t *testing.T) {
	requests := map[string]request{
		"a read without a request":   {Verb: verbRun, Group: "g", Endpoint: "m", Fresh: &fresh{MaxAgeMS: 1}},
		"a verb that is not known":   {Verb: 99},
		"a time that overflows":      {Verb: verbRun, UntilMS: 1 << 62, Ops: []op{{}}},
		"a request of no known kind": {Verb: verbRun, Ops: []op{{Kind: 250}}},
	}
	for name, q := range requests {
		body, err := encode(q)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeRequest(body); !errors.Is(err, errMalformed) {
			t.Errorf("%s gives %v", name, err)
		}
	}
	responses := map[string]response{
		"a code that is not known":  {Code: 200},
		"an outcome without a code": {Outcomes: []outcome{{Code: 77}}},
		"a state that is not known": {Outcomes: []outcome{{State: 9}}},
		"a role that is not known":  {Outcomes: []outcome{{Report: &report{Role: 8}}}},
	}
	for name, a := range responses {
		body, err := encode(a)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeResponse(body); !errors.Is(err, errMalformed) {
			t.Errorf("%s gives %v", name, err)
		}
	}
}

// FuzzMessages checks the same for messages of any kind.
func FuzzMessages(f *testing.F) {
	for _, v := range []any{request{Verb: verbRun, Ops: []op{{Text: "READ 7"}}}, response{Outcomes: []outcome{{}}, Known: &known{}}} {
		body, err := encode(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		if q, err := decodeRequest(body); err == nil {
			q.call()
		}
		if a, err := decodeResponse(body); err == nil {
			engineOutcomes(a.Outcomes)
			a.Known.knowledge()
			_ = a.err()
		}
	})
}

// TestPanicEndsOneLink checks that an unexpected error at the lender ends the link
// on which it happened and leaves the write in doubt, and that the host lends on.
func TestPanicEndsOneLink(t *testing.T) {
	p := newPair(t)
	_, _, err := p.run(0, time.Second, engine.Want{}, engine.Op{Text: "panic", Commits: true})
	if err == nil || !engine.Sent(err) {
		t.Errorf("a call that ends by a panic gives %v, want an error and that it may have been sent", err)
	}
	if _, _, err := p.run(0, time.Second, engine.Want{}, engine.Op{Text: "READ 7"}); err != nil {
		t.Errorf("the next call gives %v", err)
	}
}

// TestLenderHasNoneFree answers a lender whose connections are all in transactions:
// the borrower was told that the link broke, and held it against the endpoint.
func TestLenderHasNoneFree(t *testing.T) {
	p := newPair(t)
	for {
		_, _, err := p.run(0, 50*time.Millisecond, engine.Want{}, engine.Op{Kind: engine.OpBegin})
		if err == nil {
			continue
		}
		if !errors.Is(err, engine.ErrNoConnection) && !errors.Is(err, engine.ErrOverloaded) || engine.Sent(err) {
			t.Errorf("with all connections in transactions a call gives %v", err)
		}
		return
	}
}
