package engine

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// gateLoad queues requests at a saturated gate and records the order of their admission.
type gateLoad struct {
	t        *testing.T
	g        *gate
	now      time.Time
	admitted chan string
	refused  chan string
}

// newGateLoad returns the load of an endpoint with one slot where accounts are in use.
func newGateLoad(t *testing.T) *gateLoad {
	l := &gateLoad{t: t, now: time.Now(), admitted: make(chan string, 4000), refused: make(chan string, 4000)}
	l.g = newGate(func() time.Time { return l.now }, 1)
	l.g.fair = func() bool { return true }
	for l.g.running < int(l.g.limit) {
		_ = l.g.enter(l.now.Add(time.Minute), queued{class: classRead})
	}
	return l
}

func (l *gateLoad) waiting() int {
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	return l.g.waitingRequests()
}

// add queues a request that is refused in the given time, and waits until it is in the queue
// or refused.
func (l *gateLoad) add(name string, within time.Duration, r queued) {
	l.t.Helper()
	before, done := l.waiting(), len(l.refused)
	go func() {
		if err := l.g.enter(l.now.Add(within), r); errors.Is(err, errOverloaded) {
			l.refused <- name
		} else {
			l.admitted <- name
		}
	}()
	for end := time.Now().Add(5 * time.Second); l.waiting() == before && len(l.refused) == done; time.Sleep(20 * time.Microsecond) {
		if time.Now().After(end) {
			l.t.Fatalf("%s is neither queued nor refused", name)
		}
	}
}

// serve ends a running request n times and returns who was admitted.
func (l *gateLoad) serve(n int, took time.Duration) []string {
	var names []string
	for range n {
		l.g.leave(took, false)
		names = append(names, <-l.admitted)
	}
	return names
}

func count(names []string, name string) int {
	n := 0
	for _, s := range names {
		if s == name {
			n++
		}
	}
	return n
}

// TestGateAccountAtTenTimesItsLoad guards against an account at ten times its usual load that
// keeps the requests of others waiting behind all of its own.
func TestGateAccountAtTenTimesItsLoad(t *testing.T) {
	l := newGateLoad(t)
	for range 100 {
		l.add("hot", time.Minute, queued{class: classRead, account: "hot"})
	}
	for i := range 10 {
		name := fmt.Sprint("usual-", i)
		l.add(name, time.Minute, queued{class: classRead, account: session.Account(name)})
	}
	if got := l.serve(12, initialServiceTime); count(got, "hot") > 2 {
		t.Errorf("the first 12 admitted are %v, want the 10 other accounts among them", got)
	}
	if got := l.serve(98, initialServiceTime); count(got, "hot") != 98 {
		t.Errorf("capacity that no other account uses is not given to the hot one: %v", got)
	}
}

// TestGateAllAccountsAtOnce covers the return of all clients after a loss of power, account by
// account: each gets a turn before any gets two, and one of double weight gets two.
func TestGateAllAccountsAtOnce(t *testing.T) {
	l := newGateLoad(t)
	const accounts = 40
	for i := range accounts {
		name := fmt.Sprint("account-", i)
		for range 4 {
			l.add(name, time.Minute, queued{class: classRead, account: session.Account(name)})
		}
	}
	for range 10 {
		l.add("first", time.Minute, queued{class: classRead, account: "first", weight: 2})
	}
	got := l.serve(2*accounts+4, initialServiceTime)
	for i := range accounts {
		if n := count(got, fmt.Sprint("account-", i)); n < 1 || n > 3 {
			t.Errorf("account %d was admitted %d times in two rounds", i, n)
		}
	}
	if n := count(got, "first"); n < 3 || n > 5 {
		t.Errorf("the account of double weight was admitted %d times in two rounds, want 4", n)
	}
}

// TestGateLowClassBesideSaturatingHighClass guards against writes that starve reads. Statements of
// open transactions hold a connection and go before both.
func TestGateLowClassBesideSaturatingHighClass(t *testing.T) {
	l := newGateLoad(t)
	for range 60 {
		l.add("write", time.Minute, queued{class: classWrite, account: "a"})
	}
	for range 60 {
		l.add("read", time.Minute, queued{class: classRead, account: "b"})
	}
	l.add("tx", time.Minute, queued{class: classInTransaction, account: "c"})
	got := l.serve(41, initialServiceTime)
	if got[0] != "tx" {
		t.Errorf("%s is admitted before a statement of a transaction", got[0])
	}
	if reads := count(got, "read"); reads < 6 || reads > 10 {
		t.Errorf("%d of 40 admitted requests are reads, want about a fifth", reads)
	}
}

// TestGateRequestPastItsTarget guards against a request that has missed its target latency and
// makes the next one of its account miss it, too.
func TestGateRequestPastItsTarget(t *testing.T) {
	l := newGateLoad(t)
	l.add("late", time.Minute, queued{class: classRead, account: "a", targetBy: l.now.Add(time.Millisecond)})
	l.add("late too", time.Minute, queued{class: classRead, account: "a", targetBy: l.now.Add(-time.Millisecond)})
	l.add("in time", time.Minute, queued{class: classRead, account: "a", targetBy: l.now.Add(time.Second)})
	l.add("no target", time.Minute, queued{class: classRead, account: "a"})
	l.now = l.now.Add(10 * time.Millisecond)
	if got, want := l.serve(4, initialServiceTime), []string{"in time", "no target", "late", "late too"}; !slices.Equal(got, want) {
		t.Errorf("admitted %v, want %v", got, want)
	}
}

// TestGateRefusesHopelessAtOnce guards against a queue that refuses an account with nothing
// waiting because another one has filled it.
func TestGateRefusesHopelessAtOnce(t *testing.T) {
	l := newGateLoad(t)
	for range 100 {
		l.add("hot", 300*time.Millisecond, queued{class: classRead, account: "hot"})
	}
	if n := len(l.refused); n < 30 || n > 50 {
		t.Errorf("%d of 100 requests were refused, want those beyond 60", n)
	}
	refused := len(l.refused)
	l.add("usual", 50*time.Millisecond, queued{class: classRead, account: "usual"})
	if len(l.refused) != refused {
		t.Error("an account with nothing waiting is refused because of another account's requests")
	}
}

// TestGateRefusesWhenDeadlineIsLost covers an endpoint that becomes slow while requests wait:
// those that it can't serve in time any more are refused then, not at their deadline.
func TestGateRefusesWhenDeadlineIsLost(t *testing.T) {
	l := newGateLoad(t)
	for i := range 20 {
		l.add(fmt.Sprint(i), time.Minute, queued{class: classRead, account: "a"})
	}
	for range 6 {
		l.now = l.now.Add(10 * time.Second)
		l.g.leave(10*time.Second, false)
	}
	for end := time.Now().Add(2 * time.Second); len(l.refused) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("requests that can't be served in time stay in the queue")
		}
	}
}

// TestGateAccountWithLongStatements guards against an account whose statements take four times as
// long as expected, and that gets four times the capacity of another one.
func TestGateAccountWithLongStatements(t *testing.T) {
	l := newGateLoad(t)
	for range 60 {
		l.add("long", time.Minute, queued{class: classRead, account: "long"})
		l.add("short", time.Minute, queued{class: classRead, account: "short"})
	}
	took := map[string]time.Duration{"long": 4 * initialServiceTime, "short": initialServiceTime}
	used := make(map[string]time.Duration)
	running := l.serve(2, initialServiceTime)
	for range 60 {
		name := running[0]
		used[name] += took[name]
		l.g.end(queued{class: classRead, account: session.Account(name)}, answer{took: took[name]})
		running = append(running[1:], <-l.admitted)
	}
	if ratio := float64(used["long"]) / float64(used["short"]); ratio < 0.6 || ratio > 1.7 {
		t.Errorf("the accounts used %v, want about the same", used)
	}
}
