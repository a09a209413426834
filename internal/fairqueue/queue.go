package fairqueue

import (
	"container/heap"
	"container/list"
	"math"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Classes is the number of classes. Class 0 always goes first.
const Classes = 3

// classWeights are the shares of the classes after the first. While both wait, four writes are
// served for each read: reads are refused or tried at another member sooner than starved.
var classWeights = [Classes]float64{1: 4, 2: 1}

// minCost is the least cost of a request.
const minCost = time.Microsecond

// Request describes a request to the queue.
type Request struct {
	Class   int
	Account session.Account
	// Weight is the account's share relative to other accounts. 0 means the usual share, 1.
	Weight float64
	// TargetBy is when the request has to be answered to meet its target latency, zero for no
	// target. Until is when it has to be served at the latest.
	TargetBy, Until time.Time
}

// Item is a request in the queue.
type Item[T any] struct {
	Request
	Value T

	seq     uint64
	flow    *flow[T]
	queue   *list.List
	element *list.Element
}

// Queue has the waiting requests. The zero value is an empty queue.
type Queue[T any] struct {
	// Strict serves a class only while none below it waits.
	Strict bool

	classes [Classes]classQueue[T]
	// now is the virtual time among classes.
	now float64
	seq uint64
	len int
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.len }

// LenOf returns the number of waiting requests of a class.
func (q *Queue[T]) LenOf(class int) int { return q.classes[class].len }

// Push adds a request. cost is the expected time that a request takes.
func (q *Queue[T]) Push(r Request, v T, now time.Time, cost time.Duration) *Item[T] {
	r = r.valid()
	c := &q.classes[r.Class]
	f := c.flow(r.Account, r.Weight)
	q.seq++
	it := &Item[T]{Request: r, Value: v, seq: q.seq, flow: f, queue: &f.onTime}
	if c.len == 0 {
		c.start = max(c.start, q.now)
	}
	if f.len() == 0 {
		c.activate(f, q.seq)
	}
	if r.onTime(now, cost) {
		it.element = f.onTime.PushBack(it)
	} else {
		f.insertLate(it)
	}
	c.len++
	q.len++
	return it
}

// onTime reports whether the request would meet its target if it were served now.
func (r Request) onTime(now time.Time, cost time.Duration) bool {
	return r.TargetBy.IsZero() || !r.TargetBy.Before(now.Add(cost))
}

// valid returns the request with class and weight within their bounds.
func (r Request) valid() Request {
	r.Class = min(max(r.Class, 0), Classes-1)
	if !(r.Weight > 0) {
		r.Weight = 1
	}
	r.Weight = min(max(r.Weight, minWeight), maxWeight)
	return r
}

// Next returns the request that is to be served next, or nil. cost is the expected time that a
// request takes.
func (q *Queue[T]) Next(now time.Time, cost time.Duration) *Item[T] {
	if q.len == 0 {
		return nil
	}
	c := &q.classes[q.nextClass()]
	return c.active[0].next(now, cost)
}

// NextOf returns the request of an account that is to be served next, or nil.
func (q *Queue[T]) NextOf(a session.Account, now time.Time, cost time.Duration) *Item[T] {
	for i := range q.classes {
		if f, ok := q.classes[i].flows[a]; ok && f.len() > 0 {
			return f.next(now, cost)
		}
	}
	return nil
}

// nextClass returns the class to serve next. The queue must not be empty.
func (q *Queue[T]) nextClass() int {
	best := -1
	for i := range q.classes {
		c := &q.classes[i]
		if c.len == 0 {
			continue
		}
		if i == 0 || q.Strict {
			return i
		}
		if best < 0 || c.start < q.classes[best].start {
			best = i
		}
	}
	return best
}

// Take removes a request that is served now and counts it against its account and class.
func (q *Queue[T]) Take(it *Item[T], cost time.Duration) {
	seconds := max(cost, minCost).Seconds()
	c := &q.classes[it.Class]
	if it.Class > 0 {
		if q.nextClass() == it.Class {
			q.now = c.start
		}
		c.start += seconds / classWeights[it.Class]
	}
	q.seq++
	c.charge(it.flow, seconds, q.seq)
	q.Remove(it)
}

// Charge counts a cost, which may be negative, against an account that was served before. An account
// without waiting requests that the others have caught up with is not charged.
func (q *Queue[T]) Charge(class int, a session.Account, extra time.Duration) {
	c := &q.classes[min(max(class, 0), Classes-1)]
	f, ok := c.flows[a]
	if !ok {
		return
	}
	f.start = max(f.start+extra.Seconds()/f.weight, c.now)
	if f.len() > 0 {
		heap.Fix(&c.active, f.index)
	} else {
		heap.Fix(&c.idle, f.index)
	}
}

// Remove removes a request that is not served. It returns false if the request is not in the
// queue.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.element == nil {
		return false
	}
	it.queue.Remove(it.element)
	it.element = nil
	c := &q.classes[it.Class]
	c.len--
	q.len--
	c.settle(it.flow)
	if q.len == 0 {
		q.now = 0
		for i := range q.classes {
			q.classes[i].start = 0
		}
	}
	return true
}

// Drain removes and returns all requests.
func (q *Queue[T]) Drain() []*Item[T] {
	all := q.order(time.Time{}, 0, nil)
	for _, it := range all {
		q.Remove(it)
	}
	return all
}

// Ahead returns how many of the waiting requests are expected to be served before a request
// that arrives now. It takes time proportional to the accounts that wait in the same class.
func (q *Queue[T]) Ahead(r Request, now time.Time, cost time.Duration) int {
	r = r.valid()
	seconds := max(cost, minCost).Seconds()
	c := &q.classes[r.Class]
	start, own := c.now, 0
	if f, ok := c.flows[r.Account]; ok {
		start = max(start, f.start)
		if own = f.len(); r.onTime(now, cost) {
			f.next(now, cost)
			own = f.onTime.Len()
		}
	}
	start += float64(own) * seconds / r.Weight
	ahead := own
	for _, f := range c.active {
		if f.account != r.Account {
			ahead += served(f.start, start, f.weight/seconds, f.len())
		}
	}
	return ahead + q.otherClasses(r.Class, ahead, seconds)
}

// otherClasses returns how many requests of other classes go before one of the given class that
// has the given number of its own class ahead.
func (q *Queue[T]) otherClasses(class, ahead int, seconds float64) int {
	n := 0
	start := q.classes[class].start
	if q.classes[class].len == 0 {
		start = max(start, q.now)
	}
	if class > 0 {
		start += float64(ahead) * seconds / classWeights[class]
	}
	for i := range q.classes {
		c := &q.classes[i]
		switch {
		case i == class || c.len == 0 || i > class && (class == 0 || q.Strict):
		case i == 0 || q.Strict:
			n += c.len
		default:
			n += served(c.start, start, classWeights[i]/seconds, c.len)
		}
	}
	return n
}

// served returns how many of n requests, the first of which starts at the virtual time from and
// the others at the given rate, start until the virtual time to.
func served(from, to, rate float64, n int) int {
	if from > to {
		return 0
	}
	return int(min(math.Floor((to-from)*rate+1e-9)+1, float64(n)))
}

// Overdue returns the waiting requests that are not expected to be served in time: admission is
// predicted in the order of the queue, where wait returns how long a number of requests takes, and
// a request is overdue if that is longer than the time that it has left, multiplied by tolerance.
// Overdue takes time proportional to n log n.
func (q *Queue[T]) Overdue(now time.Time, cost time.Duration, wait func(requests int) time.Duration, tolerance float64) []*Item[T] {
	var overdue []*Item[T]
	admitted := 0
	q.order(now, cost, func(it *Item[T]) bool {
		if float64(wait(admitted+1)) > tolerance*float64(it.Until.Sub(now)) {
			overdue = append(overdue, it)
			return false
		}
		admitted++
		return true
	})
	return overdue
}

// order returns the waiting requests in the order in which they would be served. serve, if set,
// reports whether a request counts as served.
func (q *Queue[T]) order(now time.Time, cost time.Duration, serve func(*Item[T]) bool) []*Item[T] {
	seconds := max(cost, minCost).Seconds()
	copied := &Queue[T]{Strict: q.Strict, now: q.now, seq: q.seq, len: q.len}
	waiting := make(map[*flow[T]][]*Item[T])
	for i := range q.classes {
		from, to := &q.classes[i], &copied.classes[i]
		to.now, to.start, to.len = from.now, from.start, from.len
		for _, f := range from.active {
			g := &flow[T]{account: f.account, weight: f.weight, start: f.start, turn: f.turn}
			waiting[g] = f.ordered(now, cost)
			heap.Push(&to.active, g)
		}
	}
	var all []*Item[T]
	for copied.len > 0 {
		i := copied.nextClass()
		c := &copied.classes[i]
		f := c.active[0]
		it := waiting[f][0]
		waiting[f] = waiting[f][1:]
		all = append(all, it)
		if serve == nil || serve(it) {
			if i > 0 {
				c.start += seconds / classWeights[i]
			}
			copied.seq++
			c.charge(f, seconds, copied.seq)
		}
		if len(waiting[f]) == 0 {
			heap.Remove(&c.active, f.index)
		}
		c.len--
		copied.len--
	}
	return all
}
