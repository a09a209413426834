package fairqueue

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// minWeight and maxWeight bound the weight of an account.
const (
	minWeight = 1.0 / 64
	maxWeight = 64.0
)

// flow has the waiting requests of one account in one class.
type flow[T any] struct {
	account session.Account
	weight  float64
	// start is the virtual start time of the flow's next request, in seconds.
	start float64
	// turn orders flows of equal start.
	turn uint64
	// onTime has the requests that may still meet their target, late the others, both in order
	// of arrival.
	onTime, late list.List
	index        int
}

func (f *flow[T]) len() int { return f.onTime.Len() + f.late.Len() }

// next returns the flow's next request, or nil. A request can meet its target if it would be
// answered by then if it were served now.
func (f *flow[T]) next(now time.Time, cost time.Duration) *Item[T] {
	for e := f.onTime.Front(); e != nil; e = f.onTime.Front() {
		it := item[T](e)
		if it.onTime(now, cost) {
			return it
		}
		f.onTime.Remove(e)
		f.insertLate(it)
	}
	if e := f.late.Front(); e != nil {
		return item[T](e)
	}
	return nil
}

// ordered returns the flow's requests in the order in which they would be served now.
func (f *flow[T]) ordered(now time.Time, cost time.Duration) []*Item[T] {
	all := make([]*Item[T], 0, f.len())
	var late []*Item[T]
	for e := f.onTime.Front(); e != nil; e = e.Next() {
		if it := item[T](e); it.onTime(now, cost) {
			all = append(all, it)
		} else {
			late = append(late, it)
		}
	}
	for e := f.late.Front(); e != nil; e = e.Next() {
		late = append(late, item[T](e))
	}
	slices.SortFunc(late, func(a, b *Item[T]) int { return cmp.Compare(a.seq, b.seq) })
	return append(all, late...)
}

// insertLate inserts a request that misses its target. Those of one account become late almost
// in order of arrival, so that the search ends early.
func (f *flow[T]) insertLate(it *Item[T]) {
	it.queue = &f.late
	for e := f.late.Back(); e != nil; e = e.Prev() {
		if item[T](e).seq < it.seq {
			it.element = f.late.InsertAfter(it, e)
			return
		}
	}
	it.element = f.late.PushFront(it)
}

// item returns the request of a list element.
func item[T any](e *list.Element) *Item[T] {
	it, _ := e.Value.(*Item[T])
	return it
}

// flowHeap orders flows by virtual start time. It implements heap.Interface.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].turn < h[j].turn
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap[T]) Push(x any) {
	f, _ := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}

// classQueue has the flows of one class.
type classQueue[T any] struct {
	// flows has the flows with waiting requests, and those without that have been served ahead
	// of the virtual time. An account that is idle for longer takes no memory.
	flows        map[session.Account]*flow[T]
	active, idle flowHeap[T]
	// now is the virtual time: the start of the request that was served last.
	now float64
	// start is the virtual start time of the class among classes.
	start float64
	len   int
}

// flow returns the flow of an account with the given weight, which is created if it does not
// exist.
func (c *classQueue[T]) flow(a session.Account, weight float64) *flow[T] {
	f, ok := c.flows[a]
	if !ok {
		f = &flow[T]{account: a, index: -1}
		if c.flows == nil {
			c.flows = make(map[session.Account]*flow[T])
		}
		c.flows[a] = f
	}
	f.weight = weight
	return f
}

// activate puts a flow that has got its first waiting request in order.
func (c *classQueue[T]) activate(f *flow[T], turn uint64) {
	if f.index >= 0 {
		heap.Remove(&c.idle, f.index)
	}
	f.start, f.turn = max(f.start, c.now), turn
	heap.Push(&c.active, f)
}

// charge counts a request of an active flow as served. The flow that is next moves the virtual
// time on.
func (c *classQueue[T]) charge(f *flow[T], cost float64, turn uint64) {
	if c.active[0] == f {
		c.now = f.start
	}
	f.start += cost / f.weight
	f.turn = turn
	heap.Fix(&c.active, f.index)
}

// settle removes an active flow without waiting requests from the order, and forgets idle flows
// that the virtual time has reached.
func (c *classQueue[T]) settle(f *flow[T]) {
	if f.len() == 0 {
		heap.Remove(&c.active, f.index)
		heap.Push(&c.idle, f)
	}
	for len(c.idle) > 0 && (c.len == 0 || c.idle[0].start <= c.now) {
		old, _ := heap.Pop(&c.idle).(*flow[T])
		delete(c.flows, old.account)
	}
	if c.len == 0 {
		c.now = 0
	}
}
