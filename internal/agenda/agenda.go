// Package agenda collects what is due for a periodic check, so that the check looks only at what
// has changed or asked for another look.
//
// A checker takes all that is due, and adds again what needs another look without a further
// change. What changes while it is looked at is due again.
package agenda

import "sync"

// Agenda is a set of items that are due for a check. Its zero value is empty and ready to use. It
// is safe for concurrent use, and calls nothing while it is locked.
type Agenda[T comparable] struct {
	mu    sync.Mutex
	due   map[T]struct{}
	ready chan struct{}
}

// Add makes an item due.
func (a *Agenda[T]) Add(item T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.due == nil {
		a.due = make(map[T]struct{})
	}
	a.due[item] = struct{}{}
	select {
	case a.signal() <- struct{}{}:
	default:
	}
}

// Take returns the items that are due, in no order, and removes them.
func (a *Agenda[T]) Take() []T {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.due) == 0 {
		return nil
	}
	all := make([]T, 0, len(a.due))
	for item := range a.due {
		all = append(all, item)
	}
	clear(a.due)
	return all
}

// Len returns how many items are due.
func (a *Agenda[T]) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.due)
}

// Ready returns a channel that receives a value after an item was added.
func (a *Agenda[T]) Ready() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.signal()
}

func (a *Agenda[T]) signal() chan struct{} {
	if a.ready == nil {
		a.ready = make(chan struct{}, 1)
	}
	return a.ready
}
