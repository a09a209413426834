package engine

import (
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Kind is what a statement does.
type Kind uint8

// The kinds of statements.
const (
	Invalid Kind = iota
	Begin
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
)

// Statement is one statement of a caller.
type Statement struct {
	// ID is the caller's name for the request; endpoints see it unchanged.
	ID   string
	Kind Kind
	// Text is what the caller wrote; endpoints see it unchanged, but for the
	// name of a prepared statement.
	Text string
	// Name is that of a session value or of a prepared statement.
	Name string
	// Value is that of a session value.
	Value string
	// Args is what follows the name of a prepared statement.
	Args string
	// Shape is what a prepared statement runs.
	Shape Shape
	// ReadOnly marks the start of a transaction that only reads.
	ReadOnly bool
}

// Shape is the body of a prepared statement.
type Shape struct {
	Writes bool
	Text   string
}

// Code says how a statement ended.
type Code uint8

// The codes of outcomes.
const (
	Done Code = iota
	Busy
	Behind
	ReadOnly
	WrongEndpoint
	TooManyConnections
	Aborted
	Failed
	NoStatement
	TimedOut
	InDoubt
	UnknownDatabase
	Malformed
	TooBig
	Unreachable
)

var codeNames = [...]string{
	"done", "busy", "behind", "read_only", "wrong_endpoint", "too_many_connections", "aborted", "failed",
	"no_statement", "timed_out", "in_doubt", "unknown_database", "malformed", "too_big", "unreachable",
}

// String names the code.
func (c Code) String() string {
	if !c.Valid() {
		return "unknown"
	}
	return codeNames[c]
}

// Valid reports whether the code is one of those above.
func (c Code) Valid() bool { return int(c) < len(codeNames) }

// NothingKept reports whether the code promises that nothing is kept.
func (c Code) NothingKept() bool { return c >= Busy && c <= Aborted }

// notRun reports whether an endpoint that answers with the code has not run the
// statement.
func (c Code) notRun() bool { return c >= Busy && c <= TooManyConnections || c == NoStatement }

// TxState is the state of a session between two statements.
type TxState uint8

// The states of a session.
const (
	Idle TxState = iota
	InTransaction
	FailedTransaction
)

// Valid reports whether the state is one of those above.
func (s TxState) Valid() bool { return s <= FailedTransaction }

// Outcome is the answer to a statement.
type Outcome struct {
	Code   Code
	Reason string
	Rows   []string
	// Digest is the endpoint's proof that it ran the statement; empty where
	// the engine answered itself.
	Digest string
	State  TxState
	// Point is the position of the endpoint's log, zero where none is known.
	Point session.Point
	// Report answers OpStatus, OpPause, OpResume and OpDemote.
	Report replicaset.Status
}
