package core

import "time"

// Class is the priority class of a waiting request; lower values go first.
type Class int

// The priority classes. Writes, such as orders, go before reads, such as those of
// portal pages.
const (
	ClassWrite Class = iota
	ClassRead
	classCount
)

// maxConsecutiveWrites is the number of writes after which a waiting read goes
// first, so that writes can't starve reads.
const maxConsecutiveWrites = 4

// Waiter is a queued request.
type Waiter[T any] struct {
	Item     T
	Deadline time.Time
	dequeued bool // popped, canceled or expired
}

// Queue is an admission queue for connections: writes before reads, round robin
// between client accounts, first in first out within an account. The zero value
// is an empty queue.
type Queue[T any] struct {
	classes           [classCount]classQueue[T]
	consecutiveWrites int
	waiting           int
}

// classQueue holds the requests of one class; the first account is served next.
type classQueue[T any] struct {
	accounts []*accountQueue[T]
}

type accountQueue[T any] struct {
	name    string
	waiters []*Waiter[T]
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.waiting }

// Push adds a request of an account and returns the waiter to pass to Remove.
func (q *Queue[T]) Push(account string, c Class, item T, deadline time.Time) *Waiter[T] {
	w := &Waiter[T]{Item: item, Deadline: deadline}
	class := &q.classes[c]
	q.waiting++
	for _, a := range class.accounts {
		if a.name == account {
			a.waiters = append(a.waiters, w)
			return w
		}
	}
	class.accounts = append(class.accounts, &accountQueue[T]{name: account, waiters: []*Waiter[T]{w}})
	return w
}

// Remove cancels a waiting request. It returns false if the request is no longer in
// the queue.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	if w.dequeued {
		return false
	}
	w.dequeued = true
	q.waiting--
	return true
}

// Pop removes and returns the next request whose deadline has not passed.
func (q *Queue[T]) Pop(now time.Time) (T, bool) {
	first, second := ClassWrite, ClassRead
	if q.consecutiveWrites >= maxConsecutiveWrites {
		first, second = ClassRead, ClassWrite
	}
	for _, c := range []Class{first, second} {
		item, ok := q.classes[c].pop(now, &q.waiting)
		if !ok {
			continue
		}
		q.consecutiveWrites++
		if c == ClassRead {
			q.consecutiveWrites = 0
		}
		return item, true
	}
	var none T
	return none, false
}

func (q *classQueue[T]) pop(now time.Time, waiting *int) (T, bool) {
	for len(q.accounts) > 0 {
		a := q.accounts[0]
		q.accounts = q.accounts[1:]
		w := a.dequeue(now, waiting)
		if len(a.waiters) > 0 {
			q.accounts = append(q.accounts, a)
		}
		if w != nil {
			return w.Item, true
		}
	}
	var none T
	return none, false
}

// dequeue returns the account's first waiting request and drops canceled and
// expired ones before it.
func (a *accountQueue[T]) dequeue(now time.Time, waiting *int) *Waiter[T] {
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		if w.dequeued {
			continue
		}
		w.dequeued = true
		*waiting--
		if now.Before(w.Deadline) {
			return w
		}
	}
	return nil
}
