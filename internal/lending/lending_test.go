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
		local, holders := testRing("h1").Lenders(m, 3, "")
		if len(local) != 3 || holders != 2 {
			t.Fatalf("Lenders returned %v with %d holders, want the 3 hosts of the endpoint's zone and 2 holders", local, holders)
		}
		remote, _ := testRing("h4").Lenders(m, 3, "")
		holds := local[0] == "" || local[1] == ""
		if ranked := remote[0] == "1" || remote[1] == "1"; ranked != holds {
			t.Fatalf("h1 computes %v, h4 computes %v: they disagree on the holders", local, remote)
		}
		if holds {
			large++
		}
		if local[1] == "" {
			t.Fatalf("a holder ranks another host first: %v", local)
		}
	}
	if large < 250 {
		t.Errorf("the large host holds connections to %d of 300 endpoints, want at least 250", large)
	}
	m := replicaset.Member{ID: "x", Zone: "a"}
	if _, holders := testRing("h1").Lenders(m, 0, ""); holders != 0 {
		t.Error("an endpoint without a connection limit has holders")
	}
	r := testRing("h2")
	r.MarkDown("1")
	if lenders, _ := r.Lenders(m, 3, ""); len(lenders) != 2 {
		t.Errorf("a host marked down is listed: %v", lenders)
	}
	if lenders, _ := r.Lenders(replicaset.Member{ID: "x", Zone: "nowhere"}, 3, ""); len(lenders) != 3 {
		t.Errorf("lenders for an endpoint in a zone without hosts: %v, want the 3 hosts that are up", lenders)
	}
}

// TestRank checks that the holders of an endpoint's connections rank first and hosts
// of other zones last. The rank keeps all hosts from checking a slow endpoint's health
// at once, which would load it further.
func TestRank(t *testing.T) {
	ranks := make(map[int]int)
	for _, self := range []string{"h1", "h2", "h3"} {
		rank, ok := testRing(self).Rank(replicaset.Member{ID: "x", Zone: "a"}, 3)
		if !ok {
			t.Fatalf("%s has no rank for the endpoint", self)
		}
		ranks[rank]++
	}
	if ranks[0] != 2 || ranks[2] != 1 {
		t.Errorf("hosts per rank in the zone: %v, want two holders with rank 0 and one host with rank 2", ranks)
	}
	if rank, ok := testRing("h4").Rank(replicaset.Member{ID: "x", Zone: "a"}, 3); !ok || rank < 1000 {
		t.Errorf("a host of another zone has rank %d, want the last one", rank)
	}
	if _, ok := testRing("h1").Rank(replicaset.Member{ID: "x", Zone: "a"}, 0); ok {
		t.Error("hosts that open connections of their own have ranks")
	}
}

// TestDownLonger checks the backoff of a host that does not answer. Without it, during
// a long partition, a statement would wait in vain for that host again and again.
func TestDownLonger(t *testing.T) {
	now := time.Now()
	r := &Ring{Self: "h2", Now: func() time.Time { return now }}
	r.Set([]Peer{{"h1", "a", "1", 0.8}, {"h2", "a", "2", 0.2}, {"h3", "a", "3", 0.2}})
	m := replicaset.Member{ID: "x", Zone: "a"}
	for _, want := range []time.Duration{minDownTime, 2 * minDownTime, maxDownTime, maxDownTime} {
		r.MarkDown("1")
		r.MarkDown("1")
		now = now.Add(want - time.Millisecond)
		if lenders, _ := r.Lenders(m, 2, ""); len(lenders) != 2 {
			t.Fatalf("a host is listed within %s after it was marked down: %v", want, lenders)
		}
		now = now.Add(time.Millisecond)
		if lenders, _ := r.Lenders(m, 2, ""); len(lenders) != 3 {
			t.Fatalf("a host is not listed %s after it was marked down: %v", want, lenders)
		}
	}
	r.MarkUp("1")
	r.MarkDown("1")
	now = now.Add(minDownTime)
	if lenders, _ := r.Lenders(m, 2, ""); len(lenders) != 3 {
		t.Error("the backoff of a host is not reset after it answered")
	}
}

// TestWhoLends checks that two hosts of the endpoint's zone hold its connections as
// soon as there are two hosts. If hosts of other regions held connections, each
// transaction would occupy one during its round trips between regions.
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
		if _, got := r.Lenders(replicaset.Member{ID: "x", Zone: "a"}, tt.connections, ""); got != tt.want {
			t.Errorf("%d connections, %d hosts: %d holders, want %d", tt.connections, tt.hosts, got, tt.want)
		}
	}
}

// lendingPair is a lender with connections to one fake endpoint, and a borrower.
type lendingPair struct {
	b           *Borrower
	lender      *Lender
	server      *httptest.Server
	member      replicaset.Member
	dials       atomic.Int64
	closed      atomic.Int64
	hang        chan struct{}
	unavailable atomic.Bool

	mu    sync.Mutex
	kinds []engine.OpKind
	// rows, if set, are the rows of each answer, in place of the text.
	rows []string
}

func newPair(t *testing.T) *lendingPair {
	p := &lendingPair{member: replicaset.Member{ID: "m", Group: "g", Address: "m", Role: replicaset.Primary}, hang: make(chan struct{})}
	e := &engine.Engine{Now: time.Now, BootTime: func() replicaset.Instant { return 1 }, Event: func(engine.Event) {}}
	e.Dial = func(context.Context, replicaset.Member, session.Account) (*engine.Conn, error) {
		p.dials.Add(1)
		return &engine.Conn{
			Close: func() { p.closed.Add(1) },
			Do: func(_ time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
				switch ops[0].Text {
				case "hang":
					<-p.hang
				case "panic":
					// The caller indexes the outcomes and panics without one.
					return nil, nil
				}
				o := engine.Outcome{Rows: []string{ops[0].Text}, Digest: "d"}
				if p.rows != nil {
					o.Rows = p.rows
				}
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
	p.lender = &Lender{Engine: e, Unavailable: p.unavailable.Load}
	p.server = httptest.NewServer(p.lender)
	p.b = &Borrower{DialContext: (&net.Dialer{}).DialContext, OnDown: func(string) {}}
	t.Cleanup(func() {
		close(p.hang)
		p.server.CloseClientConnections()
	})
	return p
}

// run runs a call through the borrower.
func (p *lendingPair) run(handle uint64, wait time.Duration, state engine.SessionState, ops ...engine.Op) ([]engine.Outcome, uint64, error) {
	address := strings.TrimPrefix(p.server.URL, "http://")
	deadline := time.Now().Add(wait)
	a, err := p.b.Run(address, p.member, handle, engine.Call{QueueDeadline: deadline, Deadline: deadline, SessionState: state, Ops: ops})
	return a.Outcomes, a.Handle, err
}

// waitClosed waits until the lender has closed a connection to the endpoint.
func (p *lendingPair) waitClosed(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); p.closed.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the lender did not close the connection of a lost borrower")
		}
	}
}

func TestBorrow(t *testing.T) {
	p := newPair(t)
	want := engine.SessionState{Values: map[string]string{"v": "1"}}
	for range 2 {
		out, handle, err := p.run(0, time.Second, want, engine.Op{Text: "READ 7"})
		if err != nil || out[0].Rows[0] != "READ 7" || out[0].Digest != "d" || handle != 0 {
			t.Fatalf("call: outcomes %v, handle %d, error %v", out, handle, err)
		}
	}
	if n := p.dials.Load(); n != 1 {
		t.Errorf("%d connections opened, want 1", n)
	}
	if want := []engine.OpKind{engine.OpSet, engine.OpStatement, engine.OpStatement}; !reflect.DeepEqual(p.kinds, want) {
		t.Errorf("the endpoint received %v, want the session value set once: %v", p.kinds, want)
	}
}

// TestTransactionIsOneLoan checks that a transaction uses one connection from its
// first statement to its end, that each statement takes one request and one response,
// and that no further message ends the loan. Connections are scarce, so a loan must
// not outlast its transaction.
func TestTransactionIsOneLoan(t *testing.T) {
	p := newPair(t)
	_, handle, err := p.run(0, time.Second, engine.SessionState{}, engine.Op{Kind: engine.OpBegin}, engine.Op{Text: "stay"})
	if err != nil || handle == 0 {
		t.Fatalf("begin: handle %d, error %v", handle, err)
	}
	if _, again, err := p.run(handle, time.Second, engine.SessionState{}, engine.Op{Text: "stay"}); err != nil || again != handle {
		t.Fatalf("next statement: handle %d, error %v", again, err)
	}
	if _, left, err := p.run(handle, time.Second, engine.SessionState{}, engine.Op{Text: "COMMIT"}); err != nil || left != 0 {
		t.Fatalf("commit: handle %d, error %v", left, err)
	}
	if _, _, err := p.run(handle, time.Second, engine.SessionState{}, engine.Op{Text: "late"}); err == nil || engine.Sent(err) {
		t.Errorf("statement after the end: error %v, want one that says that nothing was sent", err)
	}
	if n, m := p.dials.Load(), p.closed.Load(); n != 1 || m != 0 {
		t.Errorf("%d connections opened and %d closed, want 1 and 0", n, m)
	}
}

// TestMessagesCarryAll checks that calls and outcomes are unchanged after encoding and
// decoding. An earlier version did not encode reports, so that borrowers never got a
// proof of leadership.
func TestMessagesCarryAll(t *testing.T) {
	at := session.Point{Term: 3, Position: 9}
	prepared := engine.PreparedBody{Writes: true, Text: "q"}
	call := engine.Call{
		Class: 2, AnyState: true, Proof: true, Freshness: &engine.Freshness{MaxAge: 1450 * time.Millisecond, Seen: at}, SessionState: engine.SessionState{Values: map[string]string{"v": "1"}, Body: &prepared},
		Ops: []engine.Op{
			{Kind: engine.OpExecute, ID: "1", Text: "7 x", MinPosition: at, Body: prepared, Commits: true},
			{Kind: engine.OpSet, Name: "v", Value: "1"},
			{Kind: engine.OpPause, Term: 4},
		},
	}
	outcomes := []engine.Outcome{
		{Code: engine.Behind, Reason: "m", State: engine.FailedTransaction, Point: at},
		{Rows: []string{"a"}, Digest: "d", Report: replicaset.Status{
			Role: replicaset.Replica, Term: 3, PausedTerm: 4, Received: at, Lag: time.Second,
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
	got.QueueDeadline, got.Deadline = call.QueueDeadline, call.Deadline
	if !reflect.DeepEqual(got, call) || q.Group != "g" || q.Endpoint != "m" {
		t.Errorf("call decoded as %+v for %s of %s, want %+v", got, q.Endpoint, q.Group, call)
	}
	sent := replicaset.Knowledge{Lead: "m", Term: 3, Point: at, SampleAge: 41 * time.Millisecond, ProofAge: -1}
	want := sent
	want.SampleAge += time.Millisecond
	if body, err = encode(response{Outcomes: wireOutcomes(outcomes), Knowledge: wireKnowledge(sent)}); err != nil {
		t.Fatal(err)
	}
	var a response
	if err := cbor.Unmarshal(body, &a); err != nil {
		t.Fatal(err)
	}
	if got := a.Knowledge.value(); got != want {
		t.Errorf("knowledge decoded as %+v, want %+v", got, want)
	}
	if got := engineOutcomes(a.Outcomes); !reflect.DeepEqual(got, outcomes) {
		t.Errorf("outcomes decoded as %+v, want %+v", got, outcomes)
	}
}

// TestLinkBreaks checks that a broken link fails its pending calls, and that the
// lender closes the connections of its open transactions, which rolls them back.
func TestLinkBreaks(t *testing.T) {
	p := newPair(t)
	failed := make(chan error, 1)
	go func() {
		_, _, err := p.run(0, time.Minute, engine.SessionState{}, engine.Op{Kind: engine.OpBegin}, engine.Op{Text: "hang"})
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
		t.Errorf("call over a broken link: error %v, want one that says that it may have been sent", err)
	}
	p.hang <- struct{}{}
	p.waitClosed(t)
}

func TestLenderAway(t *testing.T) {
	p := newPair(t)
	p.unavailable.Store(true)
	if _, _, err := p.run(0, time.Second, engine.SessionState{}, engine.Op{Text: "x"}); !errors.Is(err, engine.ErrLenderUnavailable) || engine.Sent(err) {
		t.Errorf("call to a lender that refuses new loans: %v", err)
	}
	p.server.Config.Handler = http.NotFoundHandler()
	p.server.Close()
	if _, _, err := p.run(0, time.Second, engine.SessionState{}, engine.Op{Text: "x"}); !errors.Is(err, engine.ErrLenderUnavailable) || engine.Sent(err) {
		t.Errorf("call to a lender that is not running: %v", err)
	}
}

// TestMalformedMessages checks that malformed messages are rejected. A request of
// another host must not crash the process, and an invalid response must not be taken
// for an outcome.
func TestMalformedMessages(t *testing.T) {
	requests := map[string]request{
		"bounded read without an operation": {Verb: verbRun, Group: "g", Endpoint: "m", Freshness: &freshness{MaxAgeMS: 1}},
		"unknown verb":                      {Verb: 99},
		"time that overflows":               {Verb: verbRun, MaxWaitMS: 1 << 62, Ops: []op{{}}},
		"unknown operation kind":            {Verb: verbRun, Ops: []op{{Kind: 250}}},
	}
	for name, q := range requests {
		body, err := encode(q)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeRequest(body); !errors.Is(err, errMalformed) {
			t.Errorf("%s: error %v, want errMalformed", name, err)
		}
	}
	responses := map[string]response{
		"unknown code":                  {Code: 200},
		"outcome with an unknown code":  {Outcomes: []outcome{{Code: 77}}},
		"outcome with an unknown state": {Outcomes: []outcome{{State: 9}}},
		"report with an unknown role":   {Outcomes: []outcome{{Report: &report{Role: 8}}}},
	}
	for name, a := range responses {
		body, err := encode(a)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeResponse(body); !errors.Is(err, errMalformed) {
			t.Errorf("%s: error %v, want errMalformed", name, err)
		}
	}
}

// FuzzMessages checks that no message causes a panic.
func FuzzMessages(f *testing.F) {
	for _, v := range []any{request{Verb: verbRun, Ops: []op{{Text: "READ 7"}}}, response{Outcomes: []outcome{{}}, Knowledge: &knowledge{}}} {
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
			a.Knowledge.value()
			_ = a.err()
		}
	})
}

// TestPanicEndsOneLink checks that a panic at the lender closes only the link on which
// it happened and leaves the write in doubt, and that the host continues to lend.
func TestPanicEndsOneLink(t *testing.T) {
	p := newPair(t)
	_, _, err := p.run(0, time.Second, engine.SessionState{}, engine.Op{Text: "panic", Commits: true})
	if err == nil || !engine.Sent(err) {
		t.Errorf("call that panics at the lender: error %v, want one that says that it may have been sent", err)
	}
	if _, _, err := p.run(0, time.Second, engine.SessionState{}, engine.Op{Text: "READ 7"}); err != nil {
		t.Errorf("next call: %v", err)
	}
}

// TestLenderHasNoneFree checks the error of a lender whose connections are all in
// transactions. An earlier version reported a broken link, which the borrower counted
// as a failure of the endpoint.
func TestLenderHasNoneFree(t *testing.T) {
	p := newPair(t)
	for {
		_, _, err := p.run(0, 50*time.Millisecond, engine.SessionState{}, engine.Op{Kind: engine.OpBegin})
		if err == nil {
			continue
		}
		if !errors.Is(err, engine.ErrNoConnection) && !errors.Is(err, engine.ErrOverloaded) || engine.Sent(err) {
			t.Errorf("call with all connections in transactions: %v", err)
		}
		return
	}
}
