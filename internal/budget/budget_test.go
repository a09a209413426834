package budget

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// harness is a budget with a clock that tests set, and a record of what was closed.
type harness struct {
	*Budget
	now     time.Time
	closed  []string
	reasons []Reason
}

func newHarness(memory int64, descriptors int) *harness {
	h := &harness{Budget: New(LineShares, memory, descriptors), now: time.Unix(1000, 0)}
	h.Now = func() time.Time { return h.now }
	h.OnRefuse = func(r Reason) { h.reasons = append(h.reasons, r) }
	return h
}

func (h *harness) open(name, source string) *Conn {
	h.now = h.now.Add(time.Millisecond)
	return h.Open(Clients, source, func() { h.closed = append(h.closed, name) })
}

// never is a timer that does not fire.
var never = make(chan time.Time)

// start opens sessions until the pool is full.
func (h *harness) startAll(t *testing.T, source string) []*Conn {
	t.Helper()
	var all []*Conn
	for range h.pools[Clients].maxStarted {
		c := h.open("idle", source)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	return all
}

// TestUnstartedAreClosedFirst guards against connections that never start and keep others
// out, and against their closing sessions.
func TestUnstartedAreClosedFirst(t *testing.T) {
	h := newHarness(0, 400)
	h.startAll(t, "a")
	n := h.pools[Clients].maxUnstarted
	for range n {
		h.open("unstarted", "b")
	}
	if len(h.closed) != 0 {
		t.Fatalf("%v were closed before the pool was full", h.closed)
	}
	h.open("next", "b")
	if !slices.Equal(h.closed, []string{"unstarted"}) || h.reasons[0] != NotStarted {
		t.Errorf("closed %v for %v, want the oldest that has not started", h.closed, h.reasons)
	}
}

// TestIdleOfLargestSourceIsClosed guards against one source that takes all sessions, and
// against closing sessions with a statement or a transaction.
func TestIdleOfLargestSourceIsClosed(t *testing.T) {
	h := newHarness(0, 400)
	other := h.open("other", "b")
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	for range h.pools[Clients].maxStarted - 1 {
		if err := h.open("a", "a").Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := h.open("new", "c").Start(); err != nil || !slices.Equal(h.closed, []string{"a"}) {
		t.Fatalf("Start gives %v and closes %v, want an idle session of the source with most", err, h.closed)
	}
	h = newHarness(0, 400)
	for i, c := range h.startAll(t, "a") {
		c.SetState([]State{Busy, InTransaction}[i%2])
	}
	c := h.open("refused", "b")
	if err := c.Start(); !errors.Is(err, ErrConnections) || len(h.closed) != 0 {
		t.Errorf("Start gives %v and closes %v, want %v and none", err, h.closed, ErrConnections)
	}
}

// TestWaitForMemory guards against a message that is admitted over the limit, and against one
// that waits for ever.
func TestWaitForMemory(t *testing.T) {
	h := newHarness(1, 0)
	limit := int(h.parts[LargeMessages].limit)
	a, b := h.open("a", "a"), h.open("b", "b")
	if err := a.Acquire(LargeMessages, limit, never); err != nil {
		t.Fatal(err)
	}
	fired := make(chan time.Time, 1)
	fired <- time.Time{}
	if err := b.Acquire(LargeMessages, 1, fired); !errors.Is(err, ErrFull) {
		t.Errorf("a wait whose timer fires gives %v, want %v", err, ErrFull)
	}
	if err := b.Acquire(LargeMessages, limit+1, never); !errors.Is(err, ErrFull) {
		t.Errorf("a message larger than the part gives %v, want %v", err, ErrFull)
	}
	got := make(chan error, 1)
	go func() { got <- b.Acquire(LargeMessages, limit, never) }()
	for {
		h.mu.Lock()
		n := len(h.parts[LargeMessages].waiters)
		h.mu.Unlock()
		if n == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	a.Close()
	if err := <-got; err != nil {
		t.Errorf("the waiting message gets %v after the release", err)
	}
	b.Close()
	for _, u := range h.Bytes() {
		if u.Used != 0 {
			t.Errorf("%s has %d bytes used after all were closed", u.Name, u.Used)
		}
	}
}

// TestWaitersBySource guards against a crowd of one address that waits before all others.
func TestWaitersBySource(t *testing.T) {
	h := newHarness(1, 0)
	half := h.parts[LargeMessages].limit / 2
	first, second := h.open("first", "a"), h.open("second", "a")
	h.hold(first, LargeMessages, half)
	h.hold(second, LargeMessages, half)
	var waiters []*waiter
	for _, source := range []string{"a", "a", "b"} {
		waiters = append(waiters, &waiter{c: h.open("waits", source), n: half, ready: make(chan struct{})})
	}
	h.parts[LargeMessages].waiters = slices.Clone(waiters)
	for i, want := range [][]bool{{false, false, true}, {true, false, true}} {
		[]*Conn{first, second}[i].Release(LargeMessages, int(half))
		for n, w := range waiters {
			if w.done != want[n] {
				t.Errorf("release %d: waiter %d is served: %t, want %t", i, n, w.done, want[n])
			}
		}
	}
}

// TestSlowMessageIsClosed guards against slow senders that hold the memory of the others.
func TestSlowMessageIsClosed(t *testing.T) {
	h := newHarness(1, 0)
	limit := int(h.parts[LargeMessages].limit)
	slow := h.open("slow", "a")
	slow.BeginMessage()
	if err := slow.Acquire(LargeMessages, limit, never); err != nil {
		t.Fatal(err)
	}
	h.evictSlow(LargeMessages)
	h.now = h.now.Add(h.SlowAfter)
	h.evictSlow(LargeMessages)
	if len(h.closed) != 0 {
		t.Fatal("a slow message is closed although nobody waits")
	}
	h.parts[LargeMessages].waiters = append(h.parts[LargeMessages].waiters, &waiter{c: h.open("waits", "b"), n: 1, ready: make(chan struct{})})
	h.evictSlow(LargeMessages)
	if !slices.Equal(h.closed, []string{"slow"}) || !slices.Equal(h.reasons, []Reason{MessageSlow}) {
		t.Errorf("closed %v for %v, want the slow message", h.closed, h.reasons)
	}
}

// TestUnreadAnswers guards against answers that are not sent because others are unread.
func TestUnreadAnswers(t *testing.T) {
	h := newHarness(1, 0)
	limit := int(h.parts[Answers].limit)
	h.open("first", "a").BeginAnswer(Answers, limit/2)
	h.now = h.now.Add(time.Second)
	h.open("second", "a").BeginAnswer(Answers, limit/2)
	h.open("third", "b").BeginAnswer(Answers, limit/2)
	if !slices.Equal(h.closed, []string{"first"}) || !slices.Equal(h.reasons, []Reason{AnswerUnread}) {
		t.Errorf("closed %v for %v, want the oldest answer", h.closed, h.reasons)
	}
}

// TestSessionState guards against sessions that together hold too many values.
func TestSessionState(t *testing.T) {
	h := newHarness(1, 0)
	limit := int(h.parts[SessionState].limit)
	large, small := h.open("large", "a"), h.open("small", "b")
	set := func(c *Conn, name string, n int, want error) {
		t.Helper()
		if _, err := c.SetNamed(name, n); !errors.Is(err, want) {
			t.Errorf("SetNamed %s %d gives %v, want %v", name, n, err, want)
		}
	}
	set(large, "x", limit, nil)
	set(large, "x", limit-10, nil)
	large.SetState(InTransaction)
	set(small, "y", 20, ErrFull)
	large.SetState(Idle)
	set(small, "y", 20, nil)
	if !slices.Equal(h.closed, []string{"large"}) {
		t.Errorf("closed %v, want the largest idle session", h.closed)
	}
}

// TestNoLimits guards against limits where the settings have none.
func TestNoLimits(t *testing.T) {
	h := newHarness(0, 0)
	for range 10_000 {
		c := h.open("c", "a")
		if err := errors.Join(c.Start(), c.Acquire(LargeMessages, 1<<30, nil), h.Reserve(Links, 1<<30)); err != nil {
			t.Fatal(err)
		}
		c.BeginAnswer(Answers, 1<<30)
	}
	if len(h.closed) != 0 {
		t.Errorf("%d connections were closed", len(h.closed))
	}
	var none *Budget
	c := none.Open(Clients, "a", nil)
	if err := errors.Join(c.Start(), c.Acquire(LargeMessages, 1<<30, nil)); err != nil {
		t.Error(err)
	}
	c.Close()
}

// TestParts guards against shares that exceed the memory of the smallest deployment, and
// against parts that are too small for a legal message.
func TestParts(t *testing.T) {
	for name, s := range map[string]Shares{"line": LineShares, "postgres": PostgresShares} {
		sum := int64(0)
		for _, n := range s.Parts {
			sum += n
		}
		for _, n := range s.Connections {
			sum += n
		}
		if sum > 70 {
			t.Errorf("%s: all parts take %d%% of the memory, want at most 70", name, sum)
		}
	}
	b := New(LineShares, 136<<20, 3010)
	total := 0
	for k := range b.pools {
		total += b.pools[k].maxStarted + b.pools[k].maxUnstarted
	}
	if total > 3010-reservedFDs {
		t.Errorf("%d connections, want at most %d", total, 3010-reservedFDs)
	}
	// 4,000 sessions over 63 hosts are 64 a host.
	if n := b.pools[Clients].maxStarted; n < 4*64 {
		t.Errorf("%d sessions, want four times the mean of the largest fleet", n)
	}
}

// TestLines guards against a log line for each refusal.
func TestLines(t *testing.T) {
	now := time.Unix(0, 1)
	l := Lines{Now: func() time.Time { return now }}
	lines, counted := 0, 0
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		for _, r := range []Reason{NotStarted, MemoryFull} {
			if n, ok := l.Admit(r); ok {
				lines++
				counted += n
			}
		}
	}
	if lines != 4 || counted != 102 {
		t.Errorf("%d lines about %d refusals in 2 s, want 4 about 102", lines, counted)
	}
}

// TestMessageOfEvictedConnection guards against requests that are cut off: a connection counted as idle
// after its message had been read, and was closed while the message ran.
func TestMessageOfEvictedConnection(t *testing.T) {
	h := newHarness(0, 400)
	all := h.startAll(t, "a")
	for _, c := range all[1:] {
		if !c.Begin() {
			t.Fatal("a message of an idle connection must not run")
		}
	}
	if err := h.open("new", "b").Start(); err != nil || len(h.closed) != 1 {
		t.Fatalf("Start gives %v and closes %v, want the idle connection", err, h.closed)
	}
	if all[0].Begin() {
		t.Error("a message runs whose connection was closed for another one")
	}
	all[0].SetState(Idle)
	if all[0].Begin() {
		t.Error("a connection that was closed for another one becomes idle again")
	}
}
