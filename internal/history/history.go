// Package history records what callers asked and were told, and checks it
// against what the database groups hold in the end.
//
// # Usage
//
//	h := &history.History{}
//	h.Wrote(history.Write{ID: "order-1", Session: 3, Outcome: history.Acked})
//	h.Read(history.Read{Session: 3, Missing: nil})
//	for _, v := range h.Check(final) { ... } // violations, none is right
package history

import (
	"fmt"
	"sort"
	"sync"
)

// Outcome is what a caller was told of a write.
type Outcome string

// The outcomes of a write.
const (
	Acked   Outcome = "acked"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Write is one write with a unique id.
type Write struct {
	ID      string  `json:"id"`
	Session int     `json:"session"`
	Outcome Outcome `json:"outcome"`
}

// Read is one read by a session that should see its own acknowledged writes.
type Read struct {
	Session int `json:"session"`
	// Missing lists the session's acknowledged writes that the read lacked.
	Missing []string `json:"missing,omitempty"`
	// Vanished lists what an earlier read of the session saw and this lacked.
	Vanished []string `json:"vanished,omitempty"`
}

// Kind names a violation of what must always hold.
type Kind string

// The kinds of violations.
const (
	Lost         Kind = "lost"
	Doubled      Kind = "doubled"
	FalseNotRun  Kind = "false_not_run"
	NotYourWrite Kind = "read_misses_own_write"
	WentBack     Kind = "read_went_back"
	Invented     Kind = "never_written"
)

// Violation is one broken promise.
type Violation struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
	Text string `json:"text"`
}

// History collects writes and reads. It is safe for use by several goroutines.
type History struct {
	mu     sync.Mutex
	writes []Write
	reads  []Read
}

// Wrote records what a caller was told of a write.
func (h *History) Wrote(w Write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
}

// Read records a read.
func (h *History) Read(r Read) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads = append(h.reads, r)
}

// Count returns how many writes had an outcome.
func (h *History) Count(o Outcome) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, w := range h.writes {
		if w.Outcome == o {
			n++
		}
	}
	return n
}

// Check compares the history with the ids that the group holds in the end,
// each as often as it stands there.
func (h *History) Check(final []string) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	times := make(map[string]int, len(final))
	for _, id := range final {
		times[id]++
	}
	var out []Violation
	told := make(map[string]bool, len(h.writes))
	for _, w := range h.writes {
		told[w.ID] = true
		out = append(out, checkWrite(w, times[w.ID])...)
	}
	for id := range times {
		if !told[id] {
			out = append(out, Violation{Invented, id, "stands in the group, but nobody wrote it"})
		}
	}
	for _, r := range h.reads {
		for _, id := range r.Missing {
			out = append(out, Violation{NotYourWrite, id, fmt.Sprintf("session %d wrote it and did not read it", r.Session)})
		}
		for _, id := range r.Vanished {
			out = append(out, Violation{WentBack, id, fmt.Sprintf("session %d read it before and then did not", r.Session)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func checkWrite(w Write, times int) []Violation {
	var out []Violation
	if w.Outcome == Acked && times == 0 {
		out = append(out, Violation{Lost, w.ID, "was acknowledged and is gone"})
	}
	if w.Outcome == NotRun && times > 0 {
		out = append(out, Violation{FalseNotRun, w.ID, "was told not run and stands there"})
	}
	if times > 1 {
		out = append(out, Violation{Doubled, w.ID, fmt.Sprintf("stands there %d times", times)})
	}
	return out
}
