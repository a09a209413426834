package budget

import (
	"sync"
	"time"
)

// Lines bounds log lines about refusals to one a second for each reason. Its zero value is
// ready for use.
type Lines struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu      sync.Mutex
	reasons map[Reason]*lineState
}

// lineState is when the last line about a reason was written, and how many refusals there
// were since.
type lineState struct {
	written time.Time
	count   int
}

// Admit reports whether a line about a refusal is due, and for how many refusals.
func (l *Lines) Admit(r Reason) (count int, ok bool) {
	now := time.Now
	if l.Now != nil {
		now = l.Now
	}
	at := now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reasons == nil {
		l.reasons = make(map[Reason]*lineState)
	}
	s := l.reasons[r]
	if s == nil {
		s = &lineState{}
		l.reasons[r] = s
	}
	s.count++
	if !s.written.IsZero() && at.Sub(s.written) < time.Second {
		return 0, false
	}
	count, s.count, s.written = s.count, 0, at
	return count, true
}
