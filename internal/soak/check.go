package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

const (
	// cutSlack is how soon after it was sent a request may be cut off unread.
	cutSlack = 200 * time.Millisecond
	// settleTime is how long a fault is held to have effects after its end.
	settleTime = 5 * time.Second
)

// configured returns all versions so far.
func (w *world) configured() []configured {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.put)
}

// groupOf tells which group's endpoint gave a digest.
func (w *world) groupOf(digest string) int {
	for i, g := range w.group {
		if strings.HasPrefix(digest, g.Name+"-") {
			return i
		}
	}
	return -1
}

// ran reports whether some endpoint ran a request.
func (w *world) ran(id string) bool {
	for _, g := range w.group {
		for _, d := range g.Databases {
			for _, r := range d.Runs() {
				if r.ID == id {
					return true
				}
			}
		}
	}
	return false
}

// check compares what endpoints ran and hold with what callers sent and were
// told, after the end of a run.
func (l *ledger) check(runs []standin.Run, logs []string, tokens []uint64) []Violation {
	byDigest := make(map[string]standin.Run, len(runs))
	for _, r := range runs {
		l.checkRun(r)
		if r.Digest != "" {
			byDigest[r.Digest] = r
		}
	}
	l.checkAnswers(byDigest)
	for i := 1; i < len(tokens); i++ {
		if tokens[i] < tokens[i-1] {
			l.violate("token", "", "a promotion with token %d came after one with %d", tokens[i], tokens[i-1])
		}
	}
	for _, v := range l.history.Check(logs) {
		l.violate(string(v.Kind), v.ID, "%s", v.Text)
	}
	return l.violations
}

// checkRun checks that an endpoint ran what a caller sent, with the caller's
// session values.
func (l *ledger) checkRun(r standin.Run) {
	s, ok := l.sent[r.ID]
	if !ok {
		l.violate("unasked", r.ID, "nobody sent %q", r.Text)
		return
	}
	same := r.Text == s.text
	if s.shape != "" {
		f := strings.SplitN(r.Text, " ", 3)
		same = len(f) == 3 && f[0] == "EXEC" && f[2] == s.args && r.Body == s.shape
	}
	if !same {
		l.violate("unasked", r.ID, "%q (%s) was run, %q (%s) was sent", r.Text, r.Body, s.text, s.shape)
	}
	for name, v := range s.values {
		if r.Values[name] != v {
			l.violate("pinned", r.ID, "ran with %s = %q, want %q", name, r.Values[name], v)
		}
	}
	for name := range r.Values {
		if _, own := s.values[name]; !own {
			l.violate("pinned", r.ID, "ran with another session's %s", name)
		}
	}
}

// checkAnswers checks that each success carries its own run's digest and row,
// and that a transaction stayed on one connection.
func (l *ledger) checkAnswers(byDigest map[string]standin.Run) {
	conns := make(map[string]string)
	for id, s := range l.sent {
		if !s.answered || !s.answer.Done() || s.answer.Digest == "-" {
			continue
		}
		r, ok := byDigest[s.answer.Digest]
		if !ok || r.ID != id || len(s.answer.Rows) == 1 && s.answer.Rows[0] != r.Row {
			l.violate("mixed", id, "the answer %+v is not that of its own run %+v", s.answer, r)
			continue
		}
		if s.transaction == "" {
			continue
		}
		if first, ok := conns[s.transaction]; ok && first != r.Conn {
			l.violate("pinned", id, "a transaction ran on two connections")
		}
		conns[s.transaction] = r.Conn
	}
}
