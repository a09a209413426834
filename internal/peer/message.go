package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Info describes an entry host to its peers.
type Info struct {
	Host    core.HostID `json:"host" cbor:"1,keyasint"`
	Zone    core.Zone   `json:"zone" cbor:"2,keyasint"`
	Address string      `json:"address" cbor:"3,keyasint"`
}

// GroupView is a host's view of a database group and its primary.
type GroupView struct {
	Group session.Group `cbor:"1,keyasint"`
	Term  session.Term  `cbor:"2,keyasint"`
	// PrimarySilenceMS is the time since the host last heard the primary, in ms.
	PrimarySilenceMS int64 `cbor:"3,keyasint"`
	// ReachesMajority is true when the host hears a majority of the members.
	ReachesMajority bool `cbor:"4,keyasint"`
}

// Heartbeat carries a host's state to its peers at a regular interval. Known
// lists the live peers of the sender; it is left out of most heartbeats.
type Heartbeat struct {
	From     Info              `cbor:"1,keyasint"`
	Revision platform.Revision `cbor:"2,keyasint"`
	Leaving  bool              `cbor:"3,keyasint,omitempty"`
	Groups   []GroupView       `cbor:"4,keyasint,omitempty"`
	Known    []Info            `cbor:"5,keyasint,omitempty"`
}

// message is the envelope of every message between hosts; exactly one field is
// set.
type message struct {
	Heartbeat   *Heartbeat   `cbor:"1,keyasint,omitempty"`
	RowsRequest *rowsRequest `cbor:"2,keyasint,omitempty"`
	Rows        *rows        `cbor:"3,keyasint,omitempty"`
	Cancel      *cancel      `cbor:"4,keyasint,omitempty"`
	Loan        *Loan        `cbor:"5,keyasint,omitempty"`
}

// LoanStep is the type of a loan message.
type LoanStep int

// Loan messages: the borrower requests a loan, the lender grants it, and the
// borrower returns it.
const (
	LoanRequested LoanStep = iota + 1
	LoanGranted
	LoanReturned
)

// Loan is a message about lending a part of one host's share of a resource to
// another host.
type Loan struct {
	Step LoanStep `cbor:"1,keyasint"`
	From Info     `cbor:"2,keyasint"`
	// Key is the key of the resource.
	Key string `cbor:"3,keyasint"`
	// Run is the host run ID under which the borrower uses the loan.
	Run core.HostID `cbor:"4,keyasint,omitempty"`
	// N is the number of units lent.
	N int `cbor:"5,keyasint,omitempty"`
}

// rowsRequest asks a peer for the declared rows that changed after revision
// Since.
type rowsRequest struct {
	From  Info              `cbor:"1,keyasint"`
	Since platform.Revision `cbor:"2,keyasint"`
}

// rows is the response to a rowsRequest. It includes every change up to
// Revision.
type rows struct {
	Rows     []platform.Row    `cbor:"1,keyasint"`
	Revision platform.Revision `cbor:"2,keyasint"`
}

// cancel forwards a caller's cancel request, which may be for a session on
// another host than the one that received it.
type cancel struct {
	PID    uint32 `cbor:"1,keyasint"`
	Secret uint32 `cbor:"2,keyasint"`
}

// encode returns the CBOR encoding of the message. All field types can be
// encoded, so an error is not expected.
func (msg message) encode() []byte {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return nil
	}
	return body
}

func decode(body []byte) (message, error) {
	var msg message
	if err := cbor.Unmarshal(body, &msg); err != nil {
		return message{}, fmt.Errorf("peer message: %w", err)
	}
	return msg, nil
}
