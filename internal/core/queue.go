package core

import "time"

// Class orders waiting requests.
type Class int

// The classes of requests. Orders come before portal reads.
const (
	ClassWrite Class = iota
	ClassRead
	classCount
)

// writesInARow bounds how many writes go before a waiting read.
const writesInARow = 4

// Waiter is one waiting request.
type Waiter[T any] struct {
	Item     T
	Deadline time.Time
	gone     bool
}

// Queue hands out scarce connections: writes before reads, round robin between
// client accounts, first come first served within one. The zero value is an
// empty queue.
type Queue[T any] struct {
	lanes  [classCount]lane[T]
	inARow int
	n      int
}

type lane[T any] struct {
	accounts []*accountQueue[T]
}

type accountQueue[T any] struct {
	name    string
	waiters []*Waiter[T]
}

// Len counts the waiting requests.
func (q *Queue[T]) Len() int { return q.n }

// Push adds a request of an account and returns its place for Remove.
func (q *Queue[T]) Push(account string, c Class, item T, deadline time.Time) *Waiter[T] {
	w := &Waiter[T]{Item: item, Deadline: deadline}
	l := &q.lanes[c]
	q.n++
	for _, a := range l.accounts {
		if a.name == account {
			a.waiters = append(a.waiters, w)
			return w
		}
	}
	l.accounts = append(l.accounts, &accountQueue[T]{name: account, waiters: []*Waiter[T]{w}})
	return w
}

// Remove takes a request out that no longer waits. It reports false when the
// request was handed out already.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	if w.gone {
		return false
	}
	w.gone = true
	q.n--
	return true
}

// Pop returns the next request whose deadline has not passed.
func (q *Queue[T]) Pop(now time.Time) (T, bool) {
	first, second := ClassWrite, ClassRead
	if q.inARow >= writesInARow {
		first, second = ClassRead, ClassWrite
	}
	for _, c := range []Class{first, second} {
		item, ok := q.lanes[c].pop(now, &q.n)
		if !ok {
			continue
		}
		q.inARow++
		if c == ClassRead {
			q.inARow = 0
		}
		return item, true
	}
	var none T
	return none, false
}

func (l *lane[T]) pop(now time.Time, n *int) (T, bool) {
	for len(l.accounts) > 0 {
		a := l.accounts[0]
		l.accounts = l.accounts[1:]
		w := a.next(now, n)
		if len(a.waiters) > 0 {
			l.accounts = append(l.accounts, a)
		}
		if w != nil {
			return w.Item, true
		}
	}
	var none T
	return none, false
}

// next drops requests that left or are late and returns the first that waits.
func (a *accountQueue[T]) next(now time.Time, n *int) *Waiter[T] {
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		if w.gone {
			continue
		}
		w.gone = true
		*n--
		if now.Before(w.Deadline) {
			return w
		}
	}
	return nil
}
