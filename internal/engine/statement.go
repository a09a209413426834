package engine

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Kind is the kind of a statement.
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
	// ID is the caller's request ID. Endpoints receive it unchanged.
	ID   string
	Kind Kind
	// Text is the statement as the caller wrote it. Endpoints receive it
	// unchanged, except for the name of a prepared statement.
	Text string
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the new value of a session value.
	Value string
	// Args is the text that follows the name of a prepared statement.
	Args string
	// Body is the body of the statement to prepare.
	Body PreparedBody
	// ReadOnly marks the start of a read-only transaction.
	ReadOnly bool
}

// PreparedBody is the body of a prepared statement.
type PreparedBody struct {
	Writes bool
	Text   string
}

// Code tells how a statement ended.
type Code uint8

// The outcome codes. NothingKept and notRun depend on their order.
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
	// UnknownAccount means that the caller's key belongs to no account.
	UnknownAccount
)

var codeNames = [...]string{
	"done", "busy", "behind", "read_only", "wrong_endpoint", "too_many_connections", "aborted", "failed",
	"no_statement", "timed_out", "in_doubt", "unknown_database", "malformed", "too_big", "unreachable",
	"unknown_account",
}

// String returns the name of the code.
func (c Code) String() string {
	if !c.Valid() {
		return "unknown"
	}
	return codeNames[c]
}

// Valid reports whether the code is one of the constants above.
func (c Code) Valid() bool { return int(c) < len(codeNames) }

// NothingKept reports whether the code guarantees that the attempt changed no
// data.
func (c Code) NothingKept() bool { return c >= Busy && c <= Aborted }

// notRun reports whether an endpoint that answers with the code has not run the
// statement.
func (c Code) notRun() bool { return c >= Busy && c <= TooManyConnections || c == NoStatement }

// TxState is the transaction state of a session between two statements.
type TxState uint8

// The transaction states.
const (
	Idle TxState = iota
	InTransaction
	FailedTransaction
)

// Valid reports whether the state is one of the constants above.
func (s TxState) Valid() bool { return s <= FailedTransaction }

// Outcome is the result of a statement.
type Outcome struct {
	Code   Code
	Reason string
	Rows   []string
	// Digest is the endpoint's proof that it ran the statement. It is empty if
	// the engine answered without an endpoint.
	Digest string
	State  TxState
	// Point is the endpoint's log position, zero if unknown.
	Point session.Point
	// Report is the endpoint's status in the answer to OpStatus, OpPause,
	// OpResume or OpDemote.
	Report replicaset.Status
}

// reasonOf returns an error as the reason of an outcome.
func reasonOf(err error) string { return oneLine(err.Error()) }

// oneLine returns a text for the reason of an outcome. Callers may print reasons, so that it has no
// line ends, control characters or bytes that are not UTF-8.
func oneLine(text string) string {
	text = strings.ReplaceAll(text, "\n", "; ")
	if utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl) {
		return text
	}
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}
