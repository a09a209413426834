package relay

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Table names a table of the store.
type Table string

// Version is a version of the store: it grows with each transaction.
type Version uint64

// Row is one row as of its last change.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version Version
	// Gone marks a row that was deleted.
	Gone bool
}

// Update is what changed in a table after one version, up to another.
type Update struct {
	_     struct{} `cbor:",toarray"`
	Table Table
	// After is the version that the rows changed since; 0 stands for all rows.
	After Version
	// Version is the one that the table is complete up to.
	Version Version
	// StoreNow is the store's clock, at the latest when the update was told.
	StoreNow time.Duration
	Rows     []Row
}

// maxGone bounds the deleted rows of a table that are kept for hosts that were
// away.
const maxGone = 512

// table is what a host knows of one table.
type table struct {
	// from is the version from which on all changes are known.
	from, version Version
	rows          map[string]Row
	gone          int
	way           way
}

// way is a host's own way to the store, for one table.
type way uint8

const (
	// wayUnknown is that of a host that does not follow the store.
	wayUnknown way = iota
	wayOpen
	wayLost
)

// Feed is what one host knows of the store. It serves other hosts as an
// http.Handler. Exported fields are set before its first use.
type Feed struct {
	// Tables are the tables that the feed covers.
	Tables []Table
	// Boot reads a clock that also counts suspended time.
	Boot func() time.Duration
	// Changed takes each update that brought something new, one at a time.
	Changed func(u Update)

	// taking orders updates and their handling.
	taking sync.Mutex

	mu     sync.Mutex
	tables map[Table]*table
	heard  map[*hearer]struct{}
	// storeAhead is how far the store's clock is ahead of Boot, at least.
	storeAhead time.Duration
	clockKnown bool
}

// Take takes an update. It reports false for one that brings nothing new, or
// that starts after what is known.
func (f *Feed) Take(u Update) bool {
	f.taking.Lock()
	defer f.taking.Unlock()
	f.setClock(u.StoreNow)
	if !f.merge(u) {
		return false
	}
	f.Changed(u)
	f.tell(u)
	return true
}

// setClock takes a reading of the store's clock, which is late rather than early.
func (f *Feed) setClock(storeNow time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ahead := storeNow - f.Boot(); !f.clockKnown || ahead > f.storeAhead {
		f.storeAhead, f.clockKnown = ahead, true
	}
}

// StoreNow estimates the store's clock, never ahead of it; 0 while it is unknown.
func (f *Feed) StoreNow() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeNow()
}

func (f *Feed) storeNow() time.Duration {
	if !f.clockKnown {
		return 0
	}
	return f.Boot() + f.storeAhead
}

// table returns what is known of a table.
func (f *Feed) table(name Table) *table {
	t := f.tables[name]
	if t == nil {
		t = &table{}
		if f.tables == nil {
			f.tables = make(map[Table]*table)
		}
		f.tables[name] = t
	}
	return t
}

// merge adds an update to the known rows.
func (f *Feed) merge(u Update) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.table(u.Table)
	if u.Version <= t.version || u.After > t.version || u.After != 0 && t.rows == nil {
		return false
	}
	if u.After == 0 {
		t.rows, t.gone, t.from = make(map[string]Row, len(u.Rows)), 0, u.Version
	}
	for _, r := range u.Rows {
		if t.rows[r.Key].Gone {
			t.gone--
		}
		if r.Gone {
			t.gone++
		}
		t.rows[r.Key] = r
	}
	t.version = u.Version
	t.forget()
	return true
}

// forget drops the deleted rows when there are many.
func (t *table) forget() {
	if t.gone <= maxGone {
		return
	}
	maps.DeleteFunc(t.rows, func(_ string, r Row) bool { return r.Gone })
	t.gone, t.from = 0, t.version
}

// Version returns the version that a table is known up to, 0 for an unknown one.
func (f *Feed) Version(name Table) Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table(name).version
}

// Rows returns the rows of a table that exist, ordered by key.
func (f *Feed) Rows(name Table) []Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table(name).since(0)
}

// Known reports whether all tables are known.
func (f *Feed) Known() bool {
	for _, name := range f.Tables {
		if f.Version(name) == 0 {
			return false
		}
	}
	return true
}

// since returns what changed in a table after a version.
func (f *Feed) since(name Table, after Version) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.table(name)
	if t.version <= after {
		return Update{}, false
	}
	if after < t.from {
		after = 0
	}
	return Update{Table: name, After: after, Version: t.version, StoreNow: f.storeNow(), Rows: t.since(after)}, true
}

// since returns the rows that changed after a version, ordered by key; after
// version 0, the rows that exist.
func (t *table) since(after Version) []Row {
	var rows []Row
	for _, r := range t.rows {
		if after == 0 && !r.Gone || after != 0 && r.Version > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// SetReached notes whether the last own call to the store for a table was answered.
func (f *Feed) SetReached(name Table, reached bool) {
	if reached {
		f.setWay(name, wayOpen)
	} else {
		f.setWay(name, wayLost)
	}
}

// Unfollow notes that this host does not follow the store any more.
func (f *Feed) Unfollow() {
	for _, name := range f.Tables {
		f.setWay(name, wayUnknown)
	}
}

func (f *Feed) setWay(name Table, w way) {
	current, lost := f.current(), f.Lost()
	f.mu.Lock()
	f.table(name).way = w
	f.mu.Unlock()
	if f.current() != current || f.Lost() != lost {
		f.beat()
	}
}

// LostTable reports whether this host's own way to the store is broken for a table.
func (f *Feed) LostTable(name Table) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table(name).way == wayLost
}

// Lost reports whether this host's own way to the store is broken for some table.
func (f *Feed) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.tables {
		if t.way == wayLost {
			return true
		}
	}
	return false
}

// current reports whether this host follows all tables, and was answered last.
func (f *Feed) current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range f.Tables {
		if t := f.table(name); t.way != wayOpen || t.version == 0 {
			return false
		}
	}
	return true
}
