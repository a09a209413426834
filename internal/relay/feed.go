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

// Version is a version of the store. It increases with each transaction.
type Version uint64

// Row is one row of a table. Version is that of its last change.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version Version
	// Deleted marks a deleted row (a tombstone).
	Deleted bool
}

// Update holds the rows of a table that changed between two versions.
type Update struct {
	_     struct{} `cbor:",toarray"`
	Table Table
	// After is the version that the update starts from. If it is 0, Rows is the whole
	// table.
	After Version
	// Version is the version of the table once the update is applied.
	Version Version
	// StoreNow is the store's clock at a time not later than when the update was sent.
	StoreNow time.Duration
	Rows     []Row
}

// maxTombstones is the maximum number of tombstones per table. They let a host that
// was disconnected catch up without the whole table.
const maxTombstones = 512

// table is this host's copy of one table.
type table struct {
	// from is the oldest version from which the changes up to version can be listed.
	from, version Version
	// rows includes tombstones; tombstones is their number.
	rows       map[string]Row
	tombstones int
	store      storeState
}

// storeState is the state of this host's own access to the store, for one table.
type storeState uint8

const (
	// storeNotFollowed is the state of a host that does not follow the store.
	storeNotFollowed storeState = iota
	// storeReachable means that the store answered the last call.
	storeReachable
	// storeLost means that the last call to the store failed.
	storeLost
)

// Feed is one host's copy of the store's tables. As an http.Handler it serves the
// hosts that subscribe to it. Its exported fields must be set before first use.
type Feed struct {
	// Tables lists the tables of the feed.
	Tables []Table
	// BootTime returns the time since boot, including time in suspend.
	BootTime func() time.Duration
	// OnUpdate is called with each update that was applied, one at a time.
	OnUpdate func(u Update)

	// applyMu serializes updates: applying them, calling OnUpdate and broadcasting.
	applyMu sync.Mutex

	mu          sync.Mutex
	tables      map[Table]*table
	subscribers map[*subscriber]struct{}
	// storeAhead is a lower bound of the store's clock minus BootTime.
	storeAhead time.Duration
	clockKnown bool
}

// Apply applies an update and passes it to OnUpdate and to the subscribers. It reports
// false, and ignores the rows, if the update contains no newer version, or if it starts
// after the table's version so that changes in between are missing.
func (f *Feed) Apply(u Update) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.setClock(u.StoreNow)
	if !f.merge(u) {
		return false
	}
	f.OnUpdate(u)
	f.broadcastUpdate(u)
	return true
}

// setClock updates the estimate of the store's clock from a reading. A reading is old
// by the time it arrives, so the largest offset is the best lower bound.
func (f *Feed) setClock(storeNow time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ahead := storeNow - f.BootTime(); !f.clockKnown || ahead > f.storeAhead {
		f.storeAhead, f.clockKnown = ahead, true
	}
}

// StoreNow returns an estimate of the store's clock that is never ahead of it, or 0 if
// there has been no reading.
func (f *Feed) StoreNow() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeNow()
}

func (f *Feed) storeNow() time.Duration {
	if !f.clockKnown {
		return 0
	}
	return f.BootTime() + f.storeAhead
}

// table returns this host's copy of a table, and creates it if there is none.
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

// merge applies an update to the rows and reports whether it did. An update that starts
// from version 0 replaces the whole table.
func (f *Feed) merge(u Update) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.table(u.Table)
	if u.Version <= t.version || u.After > t.version || u.After != 0 && t.rows == nil {
		return false
	}
	if u.After == 0 {
		t.rows, t.tombstones, t.from = make(map[string]Row, len(u.Rows)), 0, u.Version
	}
	for _, r := range u.Rows {
		if t.rows[r.Key].Deleted {
			t.tombstones--
		}
		if r.Deleted {
			t.tombstones++
		}
		t.rows[r.Key] = r
	}
	t.version = u.Version
	t.dropTombstones()
	return true
}

// dropTombstones removes all tombstones when there are more than maxTombstones.
func (t *table) dropTombstones() {
	if t.tombstones <= maxTombstones {
		return
	}
	maps.DeleteFunc(t.rows, func(_ string, r Row) bool { return r.Deleted })
	t.tombstones, t.from = 0, t.version
}

// Version returns the version of a table, 0 if nothing of it has been received.
func (f *Feed) Version(name Table) Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table(name).version
}

// Rows returns the rows of a table without tombstones, ordered by key.
func (f *Feed) Rows(name Table) []Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table(name).rowsSince(0)
}

// Complete reports whether all tables have been received.
func (f *Feed) Complete() bool {
	for _, name := range f.Tables {
		if f.Version(name) == 0 {
			return false
		}
	}
	return true
}

// updateSince returns the update of a table since a version, and false if the table is
// not newer. The update holds the whole table if older changes are no longer known.
func (f *Feed) updateSince(name Table, after Version) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.table(name)
	if t.version <= after {
		return Update{}, false
	}
	if after < t.from {
		after = 0
	}
	return Update{Table: name, After: after, Version: t.version, StoreNow: f.storeNow(), Rows: t.rowsSince(after)}, true
}

// rowsSince returns the rows that changed after a version, including tombstones, ordered
// by key. After version 0 it returns all rows without tombstones.
func (t *table) rowsSince(after Version) []Row {
	var rows []Row
	for _, r := range t.rows {
		if after == 0 && !r.Deleted || after != 0 && r.Version > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// SetStoreReachable records whether the store answered this host's last call for a table.
func (f *Feed) SetStoreReachable(name Table, reached bool) {
	if reached {
		f.setStoreState(name, storeReachable)
	} else {
		f.setStoreState(name, storeLost)
	}
}

// StopFollowing records that this host no longer follows the store.
func (f *Feed) StopFollowing() {
	for _, name := range f.Tables {
		f.setStoreState(name, storeNotFollowed)
	}
}

// setStoreState sets the state of a table, and broadcasts the state of the feed if it
// changed.
func (f *Feed) setStoreState(name Table, state storeState) {
	current, lost := f.current(), f.StoreLost()
	f.mu.Lock()
	f.table(name).store = state
	f.mu.Unlock()
	if f.current() != current || f.StoreLost() != lost {
		f.broadcastState()
	}
}

// StoreLostFor reports whether this host follows the store and its last call for a table
// failed.
func (f *Feed) StoreLostFor(name Table) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table(name).store == storeLost
}

// StoreLost reports whether this host follows the store and its last call for some table
// failed.
func (f *Feed) StoreLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.tables {
		if t.store == storeLost {
			return true
		}
	}
	return false
}

// current reports whether this host has received all tables and follows all of them at
// the store, with the last call for each one answered.
func (f *Feed) current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range f.Tables {
		if t := f.table(name); t.store != storeReachable || t.version == 0 {
			return false
		}
	}
	return true
}
