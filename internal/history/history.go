// Package history records the writes and reads of a test run and checks them
// against the rows that the database groups contain at the end.
//
// # Usage
//
//	h := &history.History{}
//	h.AddWrite(history.Write{ID: "order-1", Session: 3, Outcome: history.Acked})
//	h.AddRead(history.Read{Session: 3, Missing: nil})
//	for _, v := range h.Check(final) { ... } // no violations in a correct run
package history

import (
	"fmt"
	"sort"
	"sync"
)

// Outcome is the outcome of a write as reported to its client.
type Outcome string

// The outcomes of a write: acknowledged, guaranteed not to have run, or unknown.
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

// Read is one read by a session, with the rows that it should have returned but
// didn't.
type Read struct {
	Session int `json:"session"`
	// Missing lists the session's own acknowledged writes that the read did not
	// return.
	Missing []string `json:"missing,omitempty"`
	// Vanished lists the rows that an earlier read of the session returned and
	// this read did not.
	Vanished []string `json:"vanished,omitempty"`
}

// Kind is a kind of consistency violation.
type Kind string

// The kinds of violations.
const (
	// Lost is an acknowledged write that has no row.
	Lost Kind = "lost"
	// Duplicated is a write that was applied more than once.
	Duplicated Kind = "doubled"
	// FalseNotRun is a write that was reported as not run but was applied.
	FalseNotRun Kind = "false_not_run"
	// OwnWriteMissing is a read that lacks one of the session's own acknowledged writes.
	OwnWriteMissing Kind = "read_misses_own_write"
	// NonMonotonicRead is a read that lacks a row which the session has read before.
	NonMonotonicRead Kind = "read_went_back"
	// NeverWritten is a row that no session wrote.
	NeverWritten Kind = "never_written"
)

// Violation is a consistency violation that concerns the write with the given ID.
type Violation struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
	Text string `json:"text"`
}

// History collects writes and reads. It is safe for concurrent use.
type History struct {
	mu     sync.Mutex
	writes []Write
	reads  []Read
}

// AddWrite records a write and its reported outcome.
func (h *History) AddWrite(w Write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
}

// AddRead records a read.
func (h *History) AddRead(r Read) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads = append(h.reads, r)
}

// Count returns the number of writes with outcome o.
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

// Check returns the violations in the history. final lists the ids of all rows at
// the end of the run; an id with several rows is listed once for each.
func (h *History) Check(final []string) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[string]int, len(final))
	for _, id := range final {
		counts[id]++
	}
	var out []Violation
	written := make(map[string]bool, len(h.writes))
	for _, w := range h.writes {
		written[w.ID] = true
		out = append(out, checkWrite(w, counts[w.ID])...)
	}
	for id := range counts {
		if !written[id] {
			out = append(out, Violation{NeverWritten, id, "stands in the group, but nobody wrote it"})
		}
	}
	for _, r := range h.reads {
		for _, id := range r.Missing {
			out = append(out, Violation{OwnWriteMissing, id, fmt.Sprintf("session %d wrote it and did not read it", r.Session)})
		}
		for _, id := range r.Vanished {
			out = append(out, Violation{NonMonotonicRead, id, fmt.Sprintf("session %d read it before and then did not", r.Session)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func checkWrite(w Write, count int) []Violation {
	var out []Violation
	if w.Outcome == Acked && count == 0 {
		out = append(out, Violation{Lost, w.ID, "was acknowledged and is gone"})
	}
	if w.Outcome == NotRun && count > 0 {
		out = append(out, Violation{FalseNotRun, w.ID, "was told not run and stands there"})
	}
	if count > 1 {
		out = append(out, Violation{Duplicated, w.ID, fmt.Sprintf("stands there %d times", count)})
	}
	return out
}
