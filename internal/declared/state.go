// Package declared holds this entry host's in-memory copy of the declared
// configuration: the client accounts that operators declare and the database
// groups that the platform declares. It performs no I/O.
//
// A row is only ever replaced by one of a later revision, whether it comes from
// the platform's table or from a peer, so rows may arrive in any order. If the table
// comes back from a copy, its rows replace all known ones: a revision orders states by
// the table's era first.
//
// # Usage
//
//	s := declared.NewState()
//	changed := s.Merge(rows, revision)
//	t, row, ok := s.Account("bathafarn-shop-floor")
package declared

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// Key prefixes of the declared rows.
const (
	Prefix        = "declared/"
	AccountPrefix = Prefix + "account/"
	GroupPrefix   = Prefix + "group/"
)

// Endpoint is a member of a database group with its declared capacity.
type Endpoint struct {
	core.Member
	Connections int `json:"connections"`
	Slots       int `json:"slots"`
}

// Group is the declaration of a database group.
type Group struct {
	Name    session.Group `json:"name"`
	Members []Endpoint    `json:"members"`
}

// State holds the latest known declared rows. It is safe for concurrent use.
type State struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	revision platform.Revision
	accounts map[template.Account]template.Template
	changed  chan struct{}
}

// NewState returns an empty state at revision 0.
func NewState() *State {
	return &State{
		rows:     make(map[string]platform.Row),
		accounts: make(map[template.Account]template.Template),
		changed:  make(chan struct{}),
	}
}

// Merge applies rows and returns the keys of those that were newer than the
// stored ones. The rows must include every change after a revision that the
// state had reached, up to the given revision; in a later era of the table, they must
// be all rows.
func (s *State) Merge(rows []platform.Row, revision platform.Revision) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	if s.revision < revision && !s.revision.SameEra(revision) {
		keys = s.dropMissing(rows)
	}
	for _, r := range rows {
		if r.Revision <= s.rows[r.Key].Revision {
			continue
		}
		s.rows[r.Key] = r
		s.updateAccount(r)
		keys = append(keys, r.Key)
	}
	if revision <= s.revision && len(keys) == 0 {
		return nil
	}
	s.revision = max(s.revision, revision)
	close(s.changed)
	s.changed = make(chan struct{})
	return keys
}

// dropMissing removes the rows that the table has lost, and returns their keys. The
// caller holds mu.
func (s *State) dropMissing(rows []platform.Row) []string {
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	var keys []string
	for key := range s.rows {
		if present[key] {
			continue
		}
		s.updateAccount(platform.Row{Key: key, Deleted: true})
		delete(s.rows, key)
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// updateAccount caches the decoded template of an account row. A deleted or
// invalid row removes the account. The caller holds mu.
func (s *State) updateAccount(r platform.Row) {
	name, ok := strings.CutPrefix(r.Key, AccountPrefix)
	if !ok {
		return
	}
	var t template.Template
	if r.Deleted || json.Unmarshal(r.Value, &t) != nil {
		delete(s.accounts, template.Account(name))
		return
	}
	s.accounts[template.Account(name)] = t
}

// Revision returns the revision up to which the state includes every change.
func (s *State) Revision() platform.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Changed returns a channel that is closed when the state next changes.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// RowsSince returns the rows that changed after the given revision, sorted by
// key, and the state's own revision.
func (s *State) RowsSince(revision platform.Revision) ([]platform.Row, platform.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Row
	for _, r := range s.rows {
		if r.Revision > revision {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision
}

// Account returns the template of an account and the version of its row.
func (s *State) Account(a template.Account) (template.Template, platform.Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.accounts[a]
	return t, s.rows[AccountPrefix+string(a)].Version, ok
}

// Accounts returns all templates sorted by account name.
func (s *State) Accounts() []template.Template {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]template.Template, 0, len(s.accounts))
	for _, t := range s.accounts {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b template.Template) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	return out
}

// Groups returns all database groups sorted by name.
func (s *State) Groups() []Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Group
	for k, r := range s.rows {
		var g Group
		if strings.HasPrefix(k, GroupPrefix) && !r.Deleted && json.Unmarshal(r.Value, &g) == nil {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b Group) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}
