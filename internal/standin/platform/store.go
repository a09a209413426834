// Package platform is a small stand-in for the platform's table service,
// object store and host list. It can be slow, down, or lose an answer after
// the write took effect.
//
// # Usage
//
//	s := platform.NewServer(clock.New())
//	go http.Serve(ln, s)
//	s.SetFaults(platform.Faults{Down: true})
package platform

import (
	"slices"
	"strings"
	"sync"
)

// row is one versioned row; a deleted row stays as a mark for readers of
// changes.
type row struct {
	Key      string `json:"key"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// write is one row of a commit. Expect is the version that the row must have;
// 0 means that it must not exist.
type write struct {
	Key    string `json:"key"`
	Expect uint64 `json:"expect"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// store holds the rows. All writes of a commit take effect or none.
type store struct {
	mu       sync.Mutex
	rows     map[string]row
	objects  map[string][]byte
	revision uint64
	changed  chan struct{}
	reads    uint64
	writes   uint64
}

func newStore() *store {
	return &store{rows: make(map[string]row), objects: make(map[string][]byte), changed: make(chan struct{})}
}

// commit applies the writes, or returns the rows that had another version.
func (s *store) commit(writes []write) (uint64, []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	var conflicts []row
	for _, w := range writes {
		have := s.rows[w.Key]
		version := have.Version
		if have.Deleted {
			version = 0
		}
		if version != w.Expect {
			have.Key = w.Key
			conflicts = append(conflicts, have)
		}
	}
	if len(conflicts) > 0 {
		return 0, conflicts
	}
	s.revision++
	for _, w := range writes {
		s.rows[w.Key] = row{
			Key:      w.Key,
			Version:  s.rows[w.Key].Version + 1,
			Revision: s.revision,
			Value:    w.Value,
			Deleted:  w.Delete,
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, nil
}

// since returns the rows of a prefix that changed after a revision, in order.
func (s *store) since(prefix string, revision uint64) ([]row, uint64, <-chan struct{}) {
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
