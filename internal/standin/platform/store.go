// Package platform is a small in-memory stand-in for the platform's table
// service, object store and host list. It can simulate a slow or unavailable
// platform, and a response that is lost after the write took effect.
//
// # Usage
//
//	s := platform.NewServer(clock.New())
//	go http.Serve(ln, s)
//	s.SetFaults(platform.Faults{Down: true})
package platform

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// row is one versioned row. A deleted row stays as a tombstone, so that readers
// of changes learn of the deletion.
type row struct {
	Key      string `json:"key"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// write is the change of one row in a commit. Expect is the version that the
// row must have; 0 means that the row must not exist.
type write struct {
	Key    string `json:"key"`
	Expect uint64 `json:"expect"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// store holds the rows and objects. A commit is atomic.
type store struct {
	mu       sync.Mutex
	rows     map[string]row
	objects  map[string][]byte
	revision uint64
	// era rises with each restore.
	era uint64
	// log has the rows of each commit, for restore.
	log     []commitRecord
	changed chan struct{} // closed and replaced by every commit
	reads   uint64        // calls of changesSince
	writes  uint64        // calls of commit, failed ones included
}

// commitRecord is the rows of one commit and when it was made.
type commitRecord struct {
	at   time.Time
	rows []row
}

func newStore() *store {
	return &store{era: 1, rows: make(map[string]row), objects: make(map[string][]byte), changed: make(chan struct{})}
}

// commit applies all writes and returns the new revision. If any row does not
// have the expected version, it applies none and returns these rows.
func (s *store) commit(now time.Time, writes []write) (uint64, []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	var conflicts []row
	for _, w := range writes {
		current := s.rows[w.Key]
		version := current.Version
		if current.Deleted {
			version = 0
		}
		if version != w.Expect {
			current.Key = w.Key
			conflicts = append(conflicts, current)
		}
	}
	if len(conflicts) > 0 {
		return 0, conflicts
	}
	s.revision++
	record := commitRecord{at: now}
	for _, w := range writes {
		r := row{
			Key:      w.Key,
			Version:  s.rows[w.Key].Version + 1,
			Revision: s.revision,
			Value:    w.Value,
			Deleted:  w.Delete,
		}
		s.rows[w.Key] = r
		record.rows = append(record.rows, r)
	}
	s.log = append(s.log, record)
	s.notify()
	return s.revision, nil
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore replaces the table by the state that it had at a time. Later commits are gone,
// their numbers are given out again, and a new era begins.
func (s *store) restore(to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := sort.Search(len(s.log), func(i int) bool { return s.log[i].at.After(to) })
	s.log = s.log[:n]
	s.rows, s.revision = make(map[string]row), uint64(n)
	for _, c := range s.log {
		for _, r := range c.rows {
			s.rows[r.Key] = r
		}
	}
	s.era++
	s.notify()
}

// currentEra returns the era of the table.
func (s *store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// changesSince returns the rows under a key prefix that changed after a
// revision, ordered by revision and key, the current revision, and a channel
// that is closed by the next commit.
func (s *store) changesSince(prefix string, revision uint64) ([]row, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var out []row
	for _, r := range s.rows {
		if r.Revision > revision && strings.HasPrefix(r.Key, prefix) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b row) int {
		if a.Revision != b.Revision {
			return int(a.Revision) - int(b.Revision)
		}
		return strings.Compare(a.Key, b.Key)
	})
	return out, s.revision, s.changed
}
