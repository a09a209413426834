package engine

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Consistency is the consistency level of a database's reads.
type Consistency uint8

// The consistency levels.
const (
	// Latest reads see every commit that was acknowledged before.
	Latest Consistency = iota
	// Bounded reads are at most MaxAge stale.
	Bounded
	// Session reads are at most MaxAge stale and see the session's own commits.
	Session
)

// Database is a database that callers connect to by name.
type Database struct {
	Name        string
	Group       session.Group
	Consistency Consistency
	// MaxAge is the staleness bound of reads.
	MaxAge time.Duration
	// StatementTimeout limits the duration of one statement.
	StatementTimeout time.Duration
	// TargetLatency is the target latency of a whole operation.
	TargetLatency time.Duration
	// Priority orders callers; 0 is the highest.
	Priority int
	// Public databases are open to callers without an account.
	Public bool
}

// defaultTimeout is the statement timeout where none is declared.
const defaultTimeout = time.Second

// Timeout returns the statement timeout in force.
func (db Database) Timeout() time.Duration {
	if db.StatementTimeout <= 0 {
		return defaultTimeout
	}
	return db.StatementTimeout
}

// GroupPolicy is the declared policy of a database group.
type GroupPolicy struct {
	// MaxConnections is the number of connections that an endpoint accepts from
	// all hosts together, 0 if none is declared.
	MaxConnections int
	// Synchronous means that a commit is answered only after a replica has
	// received it.
	Synchronous bool
}

// Declared is the configuration that operators declared, as of one version.
type Declared struct {
	Version   uint64
	Databases map[string]Database
	Groups    map[session.Group]GroupPolicy
	// Accounts has the client accounts, nil where accounts are not in use.
	Accounts map[session.Account]Account
	// Keys has the account of each key. A key that several accounts hold is missing.
	Keys map[KeyDigest]session.Account
	// IdleInTransaction is how long a transaction may stay idle before it is
	// ended, 0 for no limit.
	IdleInTransaction time.Duration
}

// Supersedes reports whether d replaces old, which is nil if no configuration is in force yet.
func (d *Declared) Supersedes(old *Declared) bool { return old == nil || d.Version > old.Version }
