package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// testHost sends requests to a granter.
type testHost struct {
	g    *Granter
	next Request
}

func newTestHost(g *Granter, name string) *testHost {
	return &testHost{g, Request{Host: name, Incarnation: 2, Epoch: 1}}
}

// ask sends a request at a time in milliseconds. The host receives the answer if received is true.
func (h *testHost) ask(ms int, it RequestItem, received bool) ResponseItem {
	it.Account, it.Wanted = account, max(it.Wanted, it.Waiting)
	h.next.Sequence++
	h.next.Items = []RequestItem{it}
	now := time.Duration(ms) * time.Millisecond
	resp := h.g.Grant(now, now+leaseTime, h.next)
	if resp.Epoch == 0 {
		return ResponseItem{}
	}
	if received {
		h.next.Answered = h.next.Sequence
	}
	resp.Items[0].Fallback *= h.g.limits[account].Rate
	return resp.Items[0]
}

// drain asks for more than there is and returns the number of tokens.
func (h *testHost) drain(ms int) int {
	return int(h.ask(ms, RequestItem{Waiting: 1000}, true).Granted)
}

func newTestGranter(rec Recovery) *Granter {
	g := &Granter{Bounds: DefaultBounds()}
	g.Start(0, rec)
	g.SetLimits(0, Limits{account: {Rate: 100, Burst: 20}})
	return g
}

// The fallback rate of a host is at most 50 per second.
var chargeTests = []struct {
	name string
	// run returns the number of tokens left at the end.
	run  func(a, b *testHost) int
	want int
}{
	{"nothing charged", func(_, b *testHost) int {
		b.drain(1000)
		return b.drain(1100)
	}, 60},
	{"operations reported by a host that is not silent", func(a, b *testHost) int {
		a.ask(1000, RequestItem{Use: 20}, true)
		b.drain(1000)
		a.ask(1100, RequestItem{Use: 20, Generated: 4}, true)
		return b.drain(1100)
	}, 56},
	{"a report that is repeated", func(a, b *testHost) int {
		a.ask(1000, RequestItem{Use: 20}, true)
		b.drain(1000)
		a.ask(1050, RequestItem{Use: 20, Generated: 4}, false)
		a.ask(1100, RequestItem{Use: 20, Generated: 4}, true)
		return b.drain(1100)
	}, 56},
	{"a silent host", func(a, b *testHost) int {
		a.ask(1000, RequestItem{Use: 40}, true)
		b.drain(1600)
		return b.drain(1700)
	}, 55},
	{"a host whose requests arrive but not the answers", func(a, b *testHost) int {
		a.ask(1000, RequestItem{Use: 40}, true)
		a.ask(1300, RequestItem{Use: 40}, false)
		a.ask(1590, RequestItem{Use: 40}, false)
		b.drain(1600)
		return b.drain(1700)
	}, 55},
	{"refund when it reports", func(a, b *testHost) int {
		a.ask(1000, RequestItem{Use: 40}, true)
		b.drain(1600)
		a.ask(1690, RequestItem{Use: 40}, true)
		a.ask(1700, RequestItem{Use: 40, Generated: 2}, true)
		return b.drain(1700)
	}, 58},
	{"more operations than charged", func(a, b *testHost) int {
		a.ask(1000, RequestItem{Use: 40}, true)
		b.drain(1600)
		a.ask(1690, RequestItem{Use: 40}, true)
		a.ask(1700, RequestItem{Use: 40, Generated: 9}, true)
		return b.drain(1700)
	}, 51},
	{"refund while another one is silent", func(a, b *testHost) int {
		c := newTestHost(b.g, "c")
		a.ask(1000, RequestItem{Use: 20}, true)
		c.ask(1000, RequestItem{Use: 20}, true)
		b.drain(1590)
		b.drain(1600)
		a.ask(1690, RequestItem{Use: 20}, true)
		a.ask(1700, RequestItem{Use: 20, Generated: 1}, true)
		return b.drain(1700)
	}, 56},
	{"more operations than charged while another one is silent", func(a, b *testHost) int {
		c := newTestHost(b.g, "c")
		a.ask(1000, RequestItem{Use: 20}, true)
		c.ask(1000, RequestItem{Use: 20}, true)
		b.drain(1590)
		b.drain(1600)
		a.ask(1690, RequestItem{Use: 20}, true)
		a.ask(1700, RequestItem{Use: 20, Generated: 6}, true)
		return b.drain(1700)
	}, 51},
	{"no refund while another one is silent if the bucket may have been full", func(a, b *testHost) int {
		c := newTestHost(b.g, "c")
		a.ask(1000, RequestItem{Use: 20}, true)
		c.ask(1000, RequestItem{Use: 20}, true)
		a.ask(2990, RequestItem{Use: 20}, true)
		b.drain(3000)
		a.ask(3000, RequestItem{Use: 20}, true)
		return b.drain(3000)
	}, 0},
	{"no refund for a host that does not return", func(a, b *testHost) int {
		a.ask(1000, RequestItem{Use: 40}, true)
		b.drain(12980)
		return b.drain(13000 + 20)
	}, 23},
	{"tokens given back that were held ahead", func(a, b *testHost) int {
		a.ask(1000, RequestItem{Wanted: 4, Use: 10}, true)
		b.drain(1000)
		a.ask(1050, RequestItem{Use: 10, Returned: 4}, true)
		return b.drain(1050)
	}, 34},
	{"tokens given back that were not held ahead", func(a, b *testHost) int {
		a.ask(1000, RequestItem{Waiting: 4, Use: 10}, true)
		b.drain(1000)
		a.ask(1050, RequestItem{Use: 10, Returned: 4}, true)
		return b.drain(1050)
	}, 30},
	{"tokens held ahead take up room", func(a, b *testHost) int {
		a.ask(1000, RequestItem{Wanted: 4, Use: 10}, true)
		return b.drain(1100)
	}, 116},
}

// TestCharges guards against operations under a fallback rate that the bucket doesn't pay for, or pays for twice.
func TestCharges(t *testing.T) {
	for _, tc := range chargeTests {
		t.Run(tc.name, func(t *testing.T) {
			g := newTestGranter(Recovery{Epoch: 1})
			g.SetLimits(0, Limits{account: {Rate: 600, Burst: 120}})
			if got := tc.run(newTestHost(g, "a"), newTestHost(g, "b")); got != tc.want {
				t.Errorf("%d tokens, want %d", got, tc.want)
			}
		})
	}
}

// TestReservedRates guards against fallback rates whose sum exceeds their part of the rate because a lower rate was not
// received, or because a former epoch's rates are in use.
func TestReservedRates(t *testing.T) {
	g := newTestGranter(Recovery{Epoch: 1})
	a, b := newTestHost(g, "a"), newTestHost(g, "b")
	for i := range 5 {
		newTestHost(g, fmt.Sprint("other-", i)).ask(1000, RequestItem{Use: 90}, true)
	}
	most := 100 * perHostPart
	if got := a.ask(1000, RequestItem{Use: 90}, true).Fallback; math.Abs(got-most) > 0.1 {
		t.Fatalf("rate %v, want the most for a host", got)
	}
	a.ask(1100, RequestItem{Use: 4}, false)
	if got := b.ask(1100, RequestItem{Use: 90}, true).Fallback; got > 0.1 {
		t.Errorf("rate %v beside six of %v that may be in use", got, most)
	}
	a.ask(1200, RequestItem{Use: 4}, true)
	a.ask(1300, RequestItem{Use: 4}, true)
	if got := b.ask(1300, RequestItem{Use: 90}, true).Fallback; got < most-0.5 || got > most-0.3 {
		t.Errorf("rate %v beside five of %v and one of 0.4", got, most)
	}
	restarted := newTestHost(g, "a")
	restarted.next.Incarnation = 3
	restarted.ask(1400, RequestItem{}, true)
	if got := b.ask(1400, RequestItem{Use: 90}, true).Fallback; got < most-0.1 {
		t.Errorf("rate %v after the other host has restarted", got)
	}
	late := a.next
	late.Incarnation, late.Sequence = 1, 99
	if resp := g.Grant(1300*time.Millisecond, time.Hour, late); resp.Epoch != 0 {
		t.Error("request of a former process answered")
	}
}

func TestRecovery(t *testing.T) {
	g := newTestGranter(Recovery{Epoch: 1, ReducedUntil: 10 * time.Second})
	a := newTestHost(g, "a")
	it := a.ask(100, RequestItem{Waiting: 100, Use: 40}, true)
	if it.Granted != 5 || it.Fallback != 0 {
		t.Errorf("%d tokens and rate %v in the first 0.1 s, want 5 and none", it.Granted, it.Fallback)
	}
	if it = a.ask(15900, RequestItem{Use: 40}, true); it.Fallback != 0 {
		t.Error("a rate in the same window as those of the former epoch")
	}
	if it = a.ask(16100, RequestItem{Use: 40}, true); it.Fallback == 0 {
		t.Error("no rate after the end of the former ones")
	}
}

const (
	ms       = time.Millisecond
	answerAt = 1000 * ms
)

// A rate of 10 per second, with the request sent at answerAt and a lease until 7 s.
var fallbackTests = []struct {
	name    string
	rate    float64
	delay   time.Duration
	at      time.Duration
	next    *Response
	want    int
	receive time.Duration
}{
	{name: "before the answer is old", rate: 10, at: 1590 * ms},
	{name: "one in hand at the start", rate: 10, at: 1610 * ms, want: 1},
	{name: "one at a time", rate: 10, at: 9000 * ms, want: 1},
	{name: "beyond the end of the lease", rate: 10, at: 12990 * ms, want: 1},
	{name: "after the end of the fallback", rate: 10, at: 13 * time.Second},
	{name: "after a slow answer", rate: 10, delay: 400 * ms, at: 1890 * ms},
	{name: "later after a slow answer", rate: 10, delay: 400 * ms, at: 1910 * ms, want: 1},
	{name: "a low rate", rate: 0.01, at: 1610 * ms, want: 1},
	{
		name: "an answer ends it", rate: 10, at: 2100 * ms, receive: 2000 * ms,
		next: &Response{Epoch: 1, Incarnation: 1, Sequence: 2, Lease: leaseTime},
	},
	{
		name: "what was generated before an answer is lost", rate: 10, at: 2650 * ms, receive: 2000 * ms,
		next: &Response{Epoch: 1, Incarnation: 1, Sequence: 2, Lease: leaseTime},
	},
	{
		name: "a new granting host ends the former rates", rate: 10, at: 3000 * ms, receive: 2000 * ms,
		next: &Response{Epoch: 2, Incarnation: 1, Sequence: 2, Lease: leaseTime},
	},
	{
		name: "a recovering granting host ends them", rate: 10, at: 2700 * ms, receive: 2000 * ms,
		next: &Response{Epoch: 2, Incarnation: 1, Sequence: 2, Lease: leaseTime, Recovering: true},
	},
}

// TestFallback guards against tokens generated too early, too late, or too many.
func TestFallback(t *testing.T) {
	for _, tc := range fallbackTests {
		t.Run(tc.name, func(t *testing.T) {
			s := &Spender{Bounds: DefaultBounds(), Host: "a", Incarnation: 1}
			s.SetLimits(Limits{account: {Rate: 100, Burst: 20}})
			s.Take(answerAt, account)
			s.Request(answerAt)
			s.Receive(answerAt+tc.delay, answerAt, Response{
				Epoch: 1, Incarnation: 1, Sequence: 1, Lease: leaseTime,
				Items: []ResponseItem{{Account: account, Granted: 1, Validity: 500 * ms, Fallback: tc.rate / 100}},
			})
			s.Retry(answerAt+tc.delay, account)
			s.Request(1500 * ms)
			if tc.next != nil {
				// The token in hand is used, and half of the next one generated, before the answer.
				s.Take(1650*ms, account)
				s.Receive(tc.receive, tc.receive-10*ms, *tc.next)
			}
			got := 0
			for range 5 {
				if s.Take(tc.at, account).Kind == Allowed {
					got++
				}
			}
			if got != tc.want {
				t.Errorf("%d tokens, want %d", got, tc.want)
			}
		})
	}
}

// TestReports guards against operations under a fallback rate that are not reported because a request or its answer was
// lost, or after a granting host has recovered, and against rates that a lowered limit leaves as they are.
func TestReports(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 20}
	s := &Spender{Bounds: DefaultBounds(), Host: "a", Incarnation: 1}
	s.SetLimits(Limits{account: limit})
	answer := func(now time.Duration, e Epoch, n Sequence, recovering bool) {
		s.Receive(now, now, Response{
			Epoch: e, Incarnation: 1, Sequence: n, Lease: leaseTime, Recovering: recovering,
			Items: []ResponseItem{{Account: account, Fallback: 0.1}},
		})
	}
	generated := func(now time.Duration) uint64 {
		s.Take(now, account)
		r, ok := s.Request(now + time.Second)
		if !ok || len(r.Items) != 1 || r.Items[0].Waiting == 0 && r.Items[0].Use == 0 {
			t.Errorf("request at %v: %+v", now, r)
			return 0
		}
		return r.Items[0].Generated
	}
	generated(1 * time.Second)
	answer(2*time.Second, 1, 1, false)
	if got := generated(4 * time.Second); got != 1 {
		t.Errorf("%d operations reported, want 1", got)
	}
	if got := generated(6 * time.Second); got != 2 {
		t.Errorf("%d operations reported after a lost request, want 2", got)
	}
	r, _ := s.Request(7*time.Second + answerTimeout)
	if len(r.Items) != 1 || r.Items[0].Generated != 2 {
		t.Errorf("request without news after a lost one: %+v", r)
	}
	answer(9*time.Second, 2, r.Sequence, true)
	if got := generated(10 * time.Second); got != 0 {
		t.Errorf("%d operations reported under the former epoch's rate", got)
	}
	answer(12*time.Second, 2, s.sequence, false)
	generated(12 * time.Second)
	answer(14*time.Second, 2, s.sequence, false)
	if got := generated(16 * time.Second); got != 1 {
		t.Errorf("%d operations reported after the recovery, want 1", got)
	}
	s.SetLimits(Limits{account: {Rate: 50, Burst: 20}})
	if got := s.accounts[account].rate(); got != 5 {
		t.Errorf("rate %v under half the limit, want 5", got)
	}
	s.Request(17 * time.Second)
	answer(17*time.Second, 2, s.sequence, false)
	if got := s.accounts[account].rate(); got != 5 {
		t.Errorf("rate %v by an answer of a granting host that has the former limit, want 5", got)
	}
}

// TestFormerEpoch guards against answers of a granting host that another one has replaced.
func TestFormerEpoch(t *testing.T) {
	p := newPair(Limits{account: {Rate: 100, Burst: 20}})
	for range 3 {
		p.s.Take(p.now, account)
	}
	r, _ := p.s.Request(p.now)
	granted := []ResponseItem{{Account: account, Granted: 3, Validity: time.Second}}
	p.s.Receive(p.now, p.now, Response{Epoch: 3, Incarnation: 2, Sequence: r.Sequence, Items: granted})
	if v := p.s.Retry(p.now, account); v.Kind != Unknown {
		t.Errorf("tokens of a former process used: %+v", v)
	}
	p.s.Receive(p.now, p.now, Response{Epoch: 3, Incarnation: 1, Sequence: r.Sequence, Lease: leaseTime})
	p.now += minInterval
	r, _ = p.s.Request(p.now)
	p.s.Receive(p.now, p.now, Response{Epoch: 2, Incarnation: 1, Sequence: r.Sequence, Items: granted})
	if v := p.s.Retry(p.now, account); v.Kind != Unknown {
		t.Errorf("tokens of a former epoch used: %+v", v)
	}
}

// TestDroppedAccount guards against state that stays when a host no longer reports on an account.
func TestDroppedAccount(t *testing.T) {
	g := newTestGranter(Recovery{Epoch: 1})
	a := newTestHost(g, "a")
	a.ask(1000, RequestItem{Use: 40}, true)
	a.next.Items = nil
	for now := time.Second; now < time.Minute; now += reviewInterval {
		a.next.Sequence++
		g.Grant(now, now+leaseTime, a.next)
		a.next.Answered++
	}
	if st := g.Stats(); st.Accounts != 0 || st.Hosts != 1 {
		t.Errorf("state after a minute: %+v", st)
	}
}

// TestHeldBack guards against a part of the rate that stays held back for hosts that have accepted the epoch, and against
// one that is released for hosts that have not, or that have just lost their place in the list.
func TestHeldBack(t *testing.T) {
	tests := []struct {
		name string
		// run prepares the granter, which starts at 10 s, until 11 s.
		run  func(g *Granter)
		want float64
	}{
		{"no list", func(*Granter) {}, fallbackPart},
		{"all missing", func(g *Granter) { g.SetHosts(0, []string{"a", "b"}) }, 2 * perHostPart},
		{"many missing", func(g *Granter) { g.SetHosts(0, []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}) }, fallbackPart},
		{"one heard", func(g *Granter) {
			g.SetHosts(0, []string{"a", "b"})
			newTestHost(g, "a").ask(10500, RequestItem{}, true)
		}, perHostPart},
		{"one heard that names a former epoch", func(g *Granter) {
			g.SetHosts(0, []string{"a", "b"})
			h := newTestHost(g, "a")
			h.next.Epoch = 0
			h.ask(10500, RequestItem{}, true)
		}, 2 * perHostPart},
		{"one no longer listed", func(g *Granter) {
			g.SetHosts(0, []string{"a", "b"})
			g.SetHosts(0, []string{"a"})
		}, 2 * perHostPart},
		{"all heard", func(g *Granter) {
			g.SetHosts(0, []string{"a"})
			newTestHost(g, "a").ask(10500, RequestItem{}, true)
		}, 0},
		{"list comes later", func(g *Granter) {
			newTestHost(g, "a").ask(10500, RequestItem{}, true)
			g.SetHosts(10600*ms, []string{"a", "b"})
		}, perHostPart},
	}
	for _, tc := range tests {
		g := &Granter{Bounds: DefaultBounds()}
		g.SetLimits(0, Limits{account: {Rate: 100, Burst: 20}})
		lists := &Granter{}
		tc.run(lists)
		g.listed, g.listKnown = lists.listed, lists.listKnown
		g.Start(10*time.Second, Recovery{Epoch: 1, ReducedUntil: 30 * time.Second})
		tc.run(g)
		if got := g.term.part(11 * time.Second); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("%s: %v held back, want %v", tc.name, got, tc.want)
		}
		if got := g.term.part(30 * time.Second); got != 0 {
			t.Errorf("%s: %v held back after the end", tc.name, got)
		}
	}
}

// TestListedHosts guards against fallback rates of hosts that a granting host would not wait for after a takeover.
func TestListedHosts(t *testing.T) {
	g := newTestGranter(Recovery{Epoch: 1})
	g.SetHosts(0, []string{"a"})
	if got := newTestHost(g, "b").ask(1000, RequestItem{Use: 20}, true).Fallback; got != 0 {
		t.Errorf("rate %v at a host that is not listed", got)
	}
	if got := newTestHost(g, "a").ask(1000, RequestItem{Use: 20}, true).Fallback; got == 0 {
		t.Error("no rate at a listed host")
	}
}
