package endpoint

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/internal/netpeek"
)

// The protocol matches answers to requests by their order alone. A connection is in step if
// the endpoint has answered each request exactly once. That is proved by a marker after each
// request: an empty statement with a parameter type that no other marker of the connection
// has. The endpoint returns it in its description, in any state of a transaction, and runs
// nothing. A connection that is out of step stays so and is never pooled.

// errOutOfStep is returned if an answer is not that of the request.
var errOutOfStep = errors.New("the endpoint sent an answer to no request")

// drainTimeout bounds the wait for the rest of a message that has begun to arrive.
const drainTimeout = 100 * time.Millisecond

// step is whether the answers of a connection match its requests.
type step struct {
	// marker identifies the last request.
	marker uint32
	// open is true from a request until its marker has been answered.
	open bool
	// lost is true once an answer to no request was seen.
	lost bool
}

func newStep() step { return step{marker: rand.Uint32()} }

// types returns the parameter types of the marker. Type 0 would mean an unknown one.
func (s step) types() []uint32 { return []uint32{s.marker | 1<<31} }

// SendMarker sends a marker behind a request. The caller flushes both.
func (c *Conn) SendMarker() {
	c.step.marker++
	c.step.open = true
	c.Frontend.SendParse(&pgproto3.Parse{ParameterOIDs: c.step.types()})
	c.Frontend.SendDescribe(&pgproto3.Describe{ObjectType: 'S'})
	c.Frontend.SendSync(&pgproto3.Sync{})
}

// ReceiveMarker reads the answer to the marker. After an error, the answer before it may be
// that of another request.
func (c *Conn) ReceiveMarker() error {
	described := false
	for {
		m, err := c.Frontend.Receive()
		if err != nil {
			return fmt.Errorf("receive from endpoint %s: %w", c.Member, err)
		}
		switch m := m.(type) {
		case *pgproto3.ParseComplete, *pgproto3.NoData:
			continue
		case *pgproto3.ParameterDescription:
			described = slices.Equal(m.ParameterOIDs, c.step.types())
			continue
		case *pgproto3.ReadyForQuery:
			if described {
				c.step.open = false
				return nil
			}
		}
		if !isAsync(m) {
			c.step.lost = true
			return fmt.Errorf("endpoint %s: %w", c.Member, errOutOfStep)
		}
	}
}

// InStep reports whether a request may be sent: each earlier one has been answered, and
// nothing but asynchronous messages has arrived since.
func (c *Conn) InStep() bool {
	if c.step.open || c.step.lost {
		return false
	}
	for c.reader.Unread() || netpeek.Readable(c.net) {
		_ = c.net.SetReadDeadline(time.Now().Add(drainTimeout))
		m, err := c.Frontend.Receive()
		_ = c.net.SetReadDeadline(time.Time{})
		if err != nil {
			c.step.open = true
			return false
		}
		if !isAsync(m) {
			c.step.lost = !isFatal(m)
			c.step.open = true
			return false
		}
	}
	return true
}

// isFatal reports whether m announces that the endpoint closes the connection.
func isFatal(m pgproto3.BackendMessage) bool {
	e, ok := m.(*pgproto3.ErrorResponse)
	return ok && e.SeverityUnlocalized == "FATAL"
}

// isAsync reports whether an endpoint may send m at any time.
func isAsync(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return true
	}
	return false
}
