package relay

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/revision"
)

// Table names a table of the store.
type Table string

// Row is one row of a table. Version is that of its last change, in the era of the table.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version revision.Version
	// Deleted marks a deleted row (a tombstone).
	Deleted bool
}

// Update holds the rows of a table that changed between two revisions of one era.
type Update struct {
	_     struct{} `cbor:",toarray"`
	Table Table
	// After is the revision that the update starts from. If it is zero, Rows is the whole
	// table.
	After revision.Revision
	// Revision is that of the table once the update is applied.
	Revision revision.Revision
	// StoreNow is the store's clock at a time not later than when the update was sent.
	StoreNow time.Duration
	Rows     []Row
}

// maxTombstones is the maximum number of tombstones per table. They let a host that
// was disconnected catch up without the whole table.
const maxTombstones = 512

// table is this host's copy of one table.
type table struct {
	// revision is that of the last update. The changes up to it can be listed from the
	// version from on.
	revision revision.Revision
	from     revision.Version
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
	// Reserve charges the bytes of the tables that are sent to a new subscriber, and Release
	// returns them. A subscriber for which Reserve fails is disconnected. Both may be nil.
	Reserve func(n int) error
	Release func(n int)

	// applyMu serializes updates: applying them, calling OnUpdate and broadcasting.
	applyMu sync.Mutex

	mu          sync.Mutex
	tables      map[Table]*table
	subscribers map[*subscriber]struct{}
	// storeAhead is a lower bound of the store's clock minus BootTime, from readings of
	// the era clockEra.
	storeAhead time.Duration
	clockEra   revision.Era
	clockKnown bool
}

// Apply applies an update and passes it to OnUpdate and to the subscribers. It reports
// false, and ignores the rows, if the update has no newer revision, or if changes before
// it are missing: it starts after the table's revision, or in another era.
func (f *Feed) Apply(u Update) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.setClock(u.Revision.Era, u.StoreNow)
	if !f.merge(u) {
		return false
	}
	f.OnUpdate(u)
	f.broadcastUpdate(u)
	return true
}

// setClock updates the estimate of the store's clock from a reading. A reading is old
// by the time it arrives, so the largest offset is the best lower bound. Each era has a
// clock of its own.
func (f *Feed) setClock(era revision.Era, storeNow time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clockKnown && era < f.clockEra {
		return
	}
	if ahead := storeNow - f.BootTime(); !f.clockKnown || era > f.clockEra || ahead > f.storeAhead {
		f.storeAhead, f.clockEra, f.clockKnown = ahead, era, true
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

// follows reports whether an update can be applied to the table.
func (t *table) follows(u Update) bool {
	switch {
	case !t.revision.Less(u.Revision):
		return false
	case u.After.IsZero():
		return true
	}
	return t.rows != nil && u.After.Era == t.revision.Era && u.Revision.Era == t.revision.Era && u.After.Version <= t.revision.Version
}

// merge applies an update to the rows and reports whether it did. An update that holds
// the whole table replaces all rows.
func (f *Feed) merge(u Update) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.table(u.Table)
	if !t.follows(u) {
		return false
	}
	if u.After.IsZero() {
		t.rows, t.tombstones, t.from = make(map[string]Row, len(u.Rows)), 0, u.Revision.Version
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
	t.revision = u.Revision
	t.dropTombstones()
	return true
}

// dropTombstones removes all tombstones when there are more than maxTombstones.
func (t *table) dropTombstones() {
	if t.tombstones <= maxTombstones {
		return
	}
	maps.DeleteFunc(t.rows, func(_ string, r Row) bool { return r.Deleted })
	t.tombstones, t.from = 0, t.revision.Version
}

// Revision returns the revision of a table, zero if nothing of it has been received.
func (f *Feed) Revision(name Table) revision.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table(name).revision
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
		if f.Revision(name).IsZero() {
			return false
		}
	}
	return true
}

// updateSince returns the update of a table since a revision, and false if the table is
// not newer. The update holds the whole table if the revision is of another era, or if
// older changes are no longer known.
func (f *Feed) updateSince(name Table, after revision.Revision) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.table(name)
	if !after.Less(t.revision) {
		return Update{}, false
	}
	if after.Era != t.revision.Era || after.Version < t.from {
		after = revision.Revision{}
	}
	u := Update{Table: name, After: after, Revision: t.revision, Rows: t.rowsSince(after.Version)}
	// A reading of another era's clock says nothing about the era of the rows.
	if f.clockEra == t.revision.Era {
		u.StoreNow = f.storeNow()
	}
	return u, true
}

// rowsSince returns the rows that changed after a version, including tombstones, ordered
// by key. After version 0 it returns all rows without tombstones.
func (t *table) rowsSince(after revision.Version) []Row {
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
		if t := f.table(name); t.store != storeReachable || t.revision.IsZero() {
			return false
		}
	}
	return true
}
