package engine

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Consistency is what a database promises its readers.
type Consistency uint8

// The consistencies of databases.
const (
	// Latest reads see each commit that was acknowledged before.
	Latest Consistency = iota
	// Bounded reads are at most MaxAge old.
	Bounded
	// Session reads are at most MaxAge old and see the session's own commits.
	Session
)

// Database is what callers name when they connect.
type Database struct {
	Name        string
	Group       session.Group
	Consistency Consistency
	// MaxAge is the oldest read that is accepted.
	MaxAge time.Duration
	// StatementTimeout limits one statement.
	StatementTimeout time.Duration
	// Target is the latency to aim at for a whole operation.
	Target time.Duration
	// Priority orders callers, 0 first.
	Priority int
}

// GroupPolicy is what is declared for a database group.
type GroupPolicy struct {
	// MaxConnections is what an endpoint takes from all hosts together.
	MaxConnections int
	// Synchronous tells that a commit is answered only once a replica has it.
	Synchronous bool
}

// Declared is everything that operators declared, as of one version.
type Declared struct {
	Version   uint64
	Databases map[string]Database
	Groups    map[session.Group]GroupPolicy
	// IdleInTransaction ends transactions that rest longer, 0 for never.
	IdleInTransaction time.Duration
}
