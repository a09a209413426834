// Package declared holds what the operators and the platform declared: the
// rows of client accounts and database groups, as far as this entry host has
// learned them. It does no input or output.
//
// A State only moves forward: a row is replaced by one of a later revision,
// whether it comes from the platform's table or from a peer.
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

// The kinds of declared rows, as prefixes of their keys.
const (
	Prefix        = "declared/"
	AccountPrefix = Prefix + "account/"
	GroupPrefix   = Prefix + "group/"
)

// Endpoint is one member of a database group and what it can hold.
type Endpoint struct {
	core.Member
	Connections int `json:"connections"`
	Slots       int `json:"slots"`
}

// Group is a database group as the platform declares it.
type Group struct {
	Name    session.Group `json:"name"`
	Members []Endpoint    `json:"members"`
}

// State is the declared state up to a revision. It is safe for use by several
// goroutines.
type State struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	revision platform.Revision
	accounts map[template.Account]template.Template
	changed  chan struct{}
}

// NewState returns the state before the first revision.
func NewState() *State {
	return &State{
		rows:     make(map[string]platform.Row),
		accounts: make(map[template.Account]template.Template),
		changed:  make(chan struct{}),
	}
}

// Merge takes in all rows that changed between some revision that the state
// had and the given one. It returns the keys that became newer.
func (s *State) Merge(rows []platform.Row, revision platform.Revision) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, r := range rows {
		if r.Revision <= s.rows[r.Key].Revision {
			continue
		}
		s.rows[r.Key] = r
		s.decode(r)
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

// decode keeps the template of an account row at hand.
func (s *State) decode(r platform.Row) {
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

// Revision returns the revision up to which the state is complete.
func (s *State) Revision() platform.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Since returns the rows that changed after a revision, in order, and the
// revision up to which that is complete.
func (s *State) Since(revision platform.Revision) ([]platform.Row, platform.Revision) {
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

// Account returns an account's template and its row's version.
func (s *State) Account(a template.Account) (template.Template, platform.Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.accounts[a]
	return t, s.rows[AccountPrefix+string(a)].Version, ok
}

// Accounts returns all templates in order of account.
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

// Groups returns all database groups in order of name.
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
