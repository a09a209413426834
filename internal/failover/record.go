package failover

import (
	"context"
	"errors"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// ErrConflict is returned by Store.Write if a record has changed since it was read.
var ErrConflict = errors.New("record has changed since it was read")

// Lease is the promotion lease: only its holder may promote, in any group.
type Lease struct {
	Holder string
	// Token is the fencing token, which increases with each new holder.
	Token uint64
	// Until is the end of the lease on the store's clock.
	Until   time.Duration
	Version uint64
}

// State is the lease and the leads as recorded in the store.
type State struct {
	Lease Lease
	Leads map[session.Group]replicaset.Lead
	// Now is the store's clock at the time of the read.
	Now time.Duration
}

// Change replaces a group's lead and, unless KeepLease is set, the lease. It applies only if
// the records that it replaces still have the versions given in it.
type Change struct {
	Lease     Lease
	KeepLease bool
	Group     session.Group
	Lead      replicaset.Lead
}

// Store holds the operations of a Manager on the platform's store. They are safe for
// concurrent use.
type Store struct {
	// Read also updates the members of all groups.
	Read func(ctx context.Context) (State, error)
	// Write returns the version of what it wrote, or ErrConflict.
	Write func(ctx context.Context, c Change) (uint64, error)
}
