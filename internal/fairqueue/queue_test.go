package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const cost = 10 * time.Millisecond

var start = time.Unix(0, 0)

func read(a session.Account) Request {
	return Request{Class: 2, Account: a, Until: start.Add(time.Hour)}
}

// serve takes the next n requests and returns their values.
func serve(q *Queue[string], n int) []string {
	var got []string
	for range n {
		it := q.Next(start, cost)
		q.Take(it, cost)
		got = append(got, it.Value)
	}
	return got
}

// retained returns how many accounts the queue keeps in memory.
func (q *Queue[T]) retained() int {
	n := 0
	for i := range q.classes {
		n += len(q.classes[i].flows)
	}
	return n
}

// TestRareAccounts covers 1,000 accounts of which a few are active at a time beside a busy one.
// The queue must keep nothing of those that are idle.
func TestRareAccounts(t *testing.T) {
	var q Queue[string]
	for range 5 {
		q.Push(read("busy"), "busy", start, cost)
	}
	most := 0
	for i := range 20_000 {
		name := session.Account(fmt.Sprint(i % 1000))
		q.Push(read(name), string(name), start, cost)
		q.Push(read("busy"), "busy", start, cost)
		serve(&q, 2)
		most = max(most, q.retained())
	}
	if most > 20 {
		t.Errorf("%d accounts are kept in memory, want those with waiting requests and few more", most)
	}
}

// TestAccountsThatComeAndGo guards against an account that pays for requests which it has
// cancelled, or that saves up a share while it is idle.
func TestAccountsThatComeAndGo(t *testing.T) {
	var q Queue[string]
	for range 300 {
		q.Push(read("steady"), "steady", start, cost)
	}
	serve(&q, 100)
	var gone []*Item[string]
	for range 100 {
		gone = append(gone, q.Push(read("a"), "a", start, cost))
	}
	for _, it := range gone {
		if !q.Remove(it) || q.Remove(it) {
			t.Fatal("a queued request is not removed exactly once")
		}
	}
	for range 20 {
		q.Push(read("a"), "a", start, cost)
	}
	got := serve(&q, 20)
	n := len(got) - len(slices.DeleteFunc(slices.Clone(got), func(s string) bool { return s == "a" }))
	if n < 9 || n > 11 {
		t.Errorf("an account that came back was served %d times in 20, want half: %v", n, got)
	}
	serve(&q, q.Len())
	if q.retained() != 0 {
		t.Errorf("an empty queue keeps %d accounts", q.retained())
	}
}

// TestOrderWithoutAccounts covers queues where accounts are not in use: requests are served by
// class, and in order of arrival within a class.
func TestOrderWithoutAccounts(t *testing.T) {
	q := Queue[string]{Strict: true}
	var want [Classes][]string
	for i := range 200 {
		class := rand.IntN(Classes)
		name := fmt.Sprint(class, "-", i)
		if ahead := q.Ahead(Request{Class: class}, start, cost); ahead != len(slices.Concat(want[:class+1]...)) {
			t.Fatalf("%d are ahead of a request of class %d, want %d", ahead, class, len(slices.Concat(want[:class+1]...)))
		}
		q.Push(Request{Class: class}, name, start, cost)
		want[class] = append(want[class], name)
	}
	if got := serve(&q, 200); !slices.Equal(got, slices.Concat(want[:]...)) {
		t.Errorf("served %v", got)
	}
}

// TestForecastAgreesWithOrder compares the forecasts that refusals rest on with the order in
// which requests are then served. Ahead counts every request of equal virtual start time as ahead,
// so it may be off by one for each account, and by four for a class.
func TestForecastAgreesWithOrder(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var q Queue[string]
		last := ""
		ahead := 0
		for i := range 80 {
			req := Request{
				Class: r.IntN(Classes), Account: session.Account(fmt.Sprint(r.IntN(6))), Weight: []float64{0, 0.5, 2}[r.IntN(3)],
				Until: start.Add(time.Hour),
			}
			if r.IntN(3) == 0 {
				req.TargetBy = start.Add(time.Duration(r.IntN(2)) * time.Second)
			}
			if i%3 == 2 {
				q.Take(q.Next(start, cost), cost)
			}
			last = fmt.Sprint(i)
			ahead = q.Ahead(req, start, cost)
			q.Push(req, last, start, cost)
		}
		var order []string
		for _, it := range q.order(start, cost, nil) {
			order = append(order, it.Value)
		}
		got := serve(&q, q.Len())
		if !slices.Equal(got, order) {
			t.Fatalf("seed %d: served %v, forecast %v", seed, got, order)
		}
		if at := slices.Index(got, last); at < ahead-8 || at > ahead+2 {
			t.Errorf("seed %d: %d were served before the last request, forecast %d", seed, at, ahead)
		}
	}
}

func BenchmarkThousandAccounts(b *testing.B) {
	var q Queue[string]
	for i := range 1000 {
		q.Push(read(session.Account(fmt.Sprint(i%100))), "", start, cost)
	}
	for i := range b.N {
		a := session.Account(fmt.Sprint(i % 1000))
		_ = q.Ahead(read(a), start, cost)
		q.Push(read(a), "", start, cost)
		q.Take(q.Next(start, cost), cost)
	}
}
