package lending

import (
	"errors"
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
)

// call sends a request and waits for its response. At the deadline, or once withdrawn is closed, it
// withdraws the request. If there is no response responseMargin after the deadline, it returns
// errTimeout.
func (l *link) call(deadline time.Time, withdrawn <-chan struct{}, q request) (response, error) {
	ch := make(chan response, 1)
	if !l.addPending(&q, ch) {
		return response{}, engine.NotSent(fmt.Errorf("%w: %w", engine.ErrLenderUnavailable, errLinkBroken))
	}
	err := l.send(q)
	if errors.Is(err, errRequestTooLarge) {
		l.removePending(q.Seq)
		return response{}, engine.NotSent(err)
	}
	if err != nil {
		// The lender cannot have run a request that it did not receive completely.
		return response{}, engine.NotSent(fmt.Errorf("%w: %w", engine.ErrLenderUnavailable, err))
	}
	end := time.NewTimer(time.Until(deadline) + responseMargin)
	defer end.Stop()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	due := t.C
	for {
		select {
		case a, ok := <-ch:
			if !ok {
				return response{}, l.endError()
			}
			return a, nil
		case <-withdrawn:
		case <-due:
		case <-end.C:
			l.abandon(q, ch)
			return response{}, errTimeout
		}
		withdrawn, due = nil, nil
		if q.Verb == verbRun {
			// If this fails, the link ends, and so does the call.
			_ = l.send(request{Verb: verbRelease, Seq: q.Seq})
		}
	}
}

// addPending gives a request its sequence number and registers it. It returns false if the link has
// ended.
func (l *link) addPending(q *request, ch chan response) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		return false
	}
	l.lastSeq++
	q.Seq, l.lastUsed = l.lastSeq, time.Now()
	l.pending[q.Seq] = ch
	l.watch()
	return true
}

// removePending removes a request that no response is waited for.
func (l *link) removePending(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, seq)
}

// abandon stops waiting for a call that has timed out. If the call left or may leave
// a transaction open at the lender, the transaction is ended here or, if its handle
// is not known yet, when readLoop receives the late response.
func (l *link) abandon(q request, ch <-chan response) {
	l.removePending(q.Seq)
	handle := q.Handle
	select {
	case a := <-ch:
		handle = max(handle, a.Handle)
	default:
	}
	if handle != 0 {
		l.release(handle)
	}
}
