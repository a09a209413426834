package failover

import (
	"context"
	"errors"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// ErrConflict says that a record changed since it was read.
var ErrConflict = errors.New("record has another version")

// Duty is who may promote, in all groups.
type Duty struct {
	Holder string
	// Token is the fencing token; it grows with each new holder.
	Token uint64
	// Until is the end of the lease on the store's clock.
	Until   time.Duration
	Version uint64
}

// State is what the store has recorded.
type State struct {
	Duty  Duty
	Leads map[session.Group]replicaset.Lead
	// Now is the store's clock at the reading.
	Now time.Duration
}

// Change replaces a group's leadership and, unless it is kept, the duty; both must
// still have the versions that they name.
type Change struct {
	Duty     Duty
	KeepDuty bool
	Group    session.Group
	Lead     replicaset.Lead
}

// Records are the operations on the store. They are safe for concurrent use.
type Records struct {
	// Read also brings the members of all groups up to date.
	Read func(ctx context.Context) (State, error)
	// Write returns the version of what it wrote, or ErrConflict.
	Write func(ctx context.Context, c Change) (uint64, error)
}
