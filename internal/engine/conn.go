package engine

import (
	"errors"
	"strconv"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// maxPrepared bounds the prepared statements that are kept on one connection.
const maxPrepared = 64

// errSetup says that a connection could not be brought to a session's state.
var errSetup = errors.New("connection refused the session's state")

// OpKind is what is asked of an endpoint.
type OpKind uint8

// The requests to endpoints.
const (
	OpStatement OpKind = iota
	OpExecute
	OpBegin
	OpBeginRead
	OpRollback
	OpReset
	OpSet
	OpPrepare
	// OpStatus asks for the endpoint's report.
	OpStatus
	// OpPause makes a replica stop receiving, for a term above all known ones.
	OpPause
	// OpResume ends a pause.
	OpResume
	// OpDemote makes a primary of a lower term a replica.
	OpDemote
)

// Op is one request to an endpoint.
type Op struct {
	Kind OpKind
	// ID is the caller's, Text the statement's or the arguments of a prepared
	// one; both are set for OpStatement and OpExecute only.
	ID, Text string
	// After is the log position that the endpoint must have, if any.
	After session.Point
	// Name and Value are those of a session value or a prepared statement.
	Name, Value string
	Shape       Shape
	// Commits marks a request whose success acknowledges writes.
	Commits bool
	// Term is that of OpPause and OpDemote.
	Term session.Term
}

// Conn is one connection to an endpoint. Its function fields are set by the
// dialer; it belongs to one session at a time.
type Conn struct {
	Endpoint replicaset.EndpointID
	// Do sends requests and returns their answers in order. After an error the
	// connection is closed; the answers that arrived are returned with it.
	Do func(deadline time.Time, ops ...Op) ([]Outcome, error)
	// Close ends the connection at once.
	Close func()
	// RoundTrip is how long a message to the endpoint and back was on its way, 0
	// where that is not known.
	RoundTrip time.Duration
	// Far runs calls over a connection that another host holds, and GiveBack ends
	// its loan; both are nil for a connection of this host.
	Far      func(Call) ([]Outcome, error)
	GiveBack func()

	gate     *gate
	state    TxState
	values   map[string]string
	prepared map[Shape]string
	broken   bool
	idleFrom time.Time
}

// setup lists what brings the connection to the session's values and lets it
// know the given shape.
func (c *Conn) setup(values map[string]string, shape *Shape) []Op {
	var ops []Op
	has, known := c.values, c.prepared
	if c.foreign(values) || len(known) >= maxPrepared {
		ops = append(ops, Op{Kind: OpReset})
		has, known = nil, nil
	}
	for name, v := range values {
		if old, ok := has[name]; !ok || old != v {
			ops = append(ops, Op{Kind: OpSet, Name: name, Value: v})
		}
	}
	if shape != nil {
		if _, ok := known[*shape]; !ok {
			ops = append(ops, Op{Kind: OpPrepare, Name: "c" + strconv.Itoa(len(known)), Shape: *shape})
		}
	}
	return ops
}

// fits reports whether a session's values stand on the connection already.
func (c *Conn) fits(values map[string]string) bool {
	for name, v := range values {
		if old, ok := c.values[name]; !ok || old != v {
			return false
		}
	}
	return !c.foreign(values)
}

// foreign reports whether the connection has a value that the session lacks.
func (c *Conn) foreign(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// learned notes what a setup request that succeeded has changed.
func (c *Conn) learned(op Op) {
	switch op.Kind {
	case OpReset:
		c.values, c.prepared = nil, nil
	case OpSet:
		if c.values == nil {
			c.values = make(map[string]string)
		}
		c.values[op.Name] = op.Value
	case OpPrepare:
		if c.prepared == nil {
			c.prepared = make(map[Shape]string)
		}
		c.prepared[op.Shape] = op.Name
	}
}
