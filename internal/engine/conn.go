package engine

import (
	"errors"
	"strconv"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// maxPrepared bounds the prepared statements on one connection. A connection
// that has reached it is reset before its next use.
const maxPrepared = 64

// errSetup reports that the endpoint rejected the session state for a
// connection.
var errSetup = errors.New("endpoint rejected the session state")

// errStrayTransaction reports that a statement outside of a transaction left one open.
// It was not committed then, whatever its answer says.
var errStrayTransaction = errors.New("statement outside of a transaction left one open")

// ErrOutOfStep reports that the answers of a connection cannot be matched with its requests.
var ErrOutOfStep = errors.New("endpoint connection is out of step")

// OpKind is the kind of a request to an endpoint.
type OpKind uint8

// The kinds of requests to endpoints.
const (
	OpStatement OpKind = iota
	OpExecute
	OpBegin
	OpBeginRead
	OpRollback
	OpReset
	OpSet
	OpPrepare
	// OpStatus requests the endpoint's status.
	OpStatus
	// OpPause stops a replica from receiving the primary's log, for a term above
	// all known ones.
	OpPause
	// OpResume ends a pause.
	OpResume
	// OpDemote turns a primary of a lower term into a replica.
	OpDemote
)

// Op is one request to an endpoint.
type Op struct {
	Kind OpKind
	// ID is the caller's request ID. Text is the statement, or the arguments of
	// a prepared one. Both are set only for OpStatement and OpExecute.
	ID, Text string
	// MinPosition is the log position that the endpoint must have reached, if any.
	MinPosition session.Point
	// Name is the name of a session value or of a prepared statement, Value the
	// value of a session value.
	Name, Value string
	Body        PreparedBody
	// Commits marks a request whose success acknowledges writes.
	Commits bool
	// Term is the term for OpPause and OpDemote.
	Term session.Term
}

// Conn is one connection to an endpoint. The dialer sets its function fields. It
// belongs to one session at a time.
type Conn struct {
	Endpoint replicaset.EndpointID
	// Do sends requests and returns their answers in order. After an error the
	// connection is closed; the answers that arrived are returned with the
	// error.
	Do func(deadline time.Time, ops ...Op) ([]Outcome, error)
	// InStep reports whether another session may use the connection. It may be nil.
	InStep func() bool
	// Close closes the connection immediately.
	Close func()
	// RoundTrip is the network round trip to the endpoint, 0 if unknown.
	RoundTrip time.Duration
	// RunRemote runs calls over a connection that another host holds, and
	// EndLoan ends that loan. Both are nil for a connection of this host.
	RunRemote func(Call) ([]Outcome, error)
	EndLoan   func()

	// account is the account whose statements the connection may run.
	account  session.Account
	gate     *gate
	bootTime func() replicaset.Instant
	state    TxState
	values   map[string]string
	prepared map[PreparedBody]string
	// stateSize is what values and prepared take, in bytes.
	stateSize int
	broken    bool
	idleSince time.Time
}

// reusable reports whether another session may use the connection: the endpoint has
// answered everything that it was sent, the connection is in step, no transaction was
// open in its last answer, and it does not keep much for the session that had it.
func (c *Conn) reusable() bool {
	return !c.broken && c.state == Idle && c.stateSize <= maxKeptState && (c.InStep == nil || c.InStep())
}

// setupOps returns the requests that give the connection the session's values
// and prepare the given statement on it.
func (c *Conn) setupOps(values map[string]string, body *PreparedBody) []Op {
	var ops []Op
	has, known := c.values, c.prepared
	if c.hasExtraValue(values) || len(known) >= maxPrepared {
		ops = append(ops, Op{Kind: OpReset})
		has, known = nil, nil
	}
	for name, v := range values {
		if old, ok := has[name]; !ok || old != v {
			ops = append(ops, Op{Kind: OpSet, Name: name, Value: v})
		}
	}
	if body != nil {
		if _, ok := known[*body]; !ok {
			ops = append(ops, Op{Kind: OpPrepare, Name: "c" + strconv.Itoa(len(known)), Body: *body})
		}
	}
	return ops
}

// hasValues reports whether the connection has exactly the given session values.
func (c *Conn) hasValues(values map[string]string) bool {
	for name, v := range values {
		if old, ok := c.values[name]; !ok || old != v {
			return false
		}
	}
	return !c.hasExtraValue(values)
}

// hasExtraValue reports whether the connection has a value that the session
// lacks.
func (c *Conn) hasExtraValue(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// noteSetup records the effect of a setup request that succeeded.
func (c *Conn) noteSetup(op Op) {
	switch op.Kind {
	case OpReset:
		c.values, c.prepared, c.stateSize = nil, nil, 0
	case OpSet:
		if c.values == nil {
			c.values = make(map[string]string)
		}
		if old, ok := c.values[op.Name]; ok {
			c.stateSize -= StateOverhead + len(op.Name) + len(old)
		}
		c.values[op.Name] = op.Value
		c.stateSize += StateOverhead + len(op.Name) + len(op.Value)
	case OpPrepare:
		if c.prepared == nil {
			c.prepared = make(map[PreparedBody]string)
		}
		c.prepared[op.Body] = op.Name
		c.stateSize += StateOverhead + len(op.Body.Text)
	}
}
