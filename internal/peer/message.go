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

// GroupView is one host's view of one database group.
type GroupView struct {
	Group   session.Group `cbor:"1,keyasint"`
	Term    session.Term  `cbor:"2,keyasint"`
	HeardMS int64         `cbor:"3,keyasint"`
	Reaches bool          `cbor:"4,keyasint"`
}

// Heartbeat is what a host tells its peers again and again.
type Heartbeat struct {
	From     Info              `cbor:"1,keyasint"`
	Revision platform.Revision `cbor:"2,keyasint"`
	Leaving  bool              `cbor:"3,keyasint,omitempty"`
	Groups   []GroupView       `cbor:"4,keyasint,omitempty"`
	Known    []Info            `cbor:"5,keyasint,omitempty"`
}

// message is what goes over the wire; one field is set.
type message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Want      *want      `cbor:"2,keyasint,omitempty"`
	Rows      *rows      `cbor:"3,keyasint,omitempty"`
	Cancel    *cancel    `cbor:"4,keyasint,omitempty"`
	Loan      *Loan      `cbor:"5,keyasint,omitempty"`
}

// LoanStep is a step in the loan of a share between two hosts.
type LoanStep int

// The steps of a loan.
const (
	LoanAsked LoanStep = iota + 1
	LoanGiven
	LoanReturned
)

// Loan is a message about lending a part of a share.
type Loan struct {
	Step LoanStep `cbor:"1,keyasint"`
	From Info     `cbor:"2,keyasint"`
	// Key names the resource, Run the name under which the loan is used.
	Key string      `cbor:"3,keyasint"`
	Run core.HostID `cbor:"4,keyasint,omitempty"`
	N   int         `cbor:"5,keyasint,omitempty"`
}

// want asks for the declared rows after a revision.
type want struct {
	From  Info              `cbor:"1,keyasint"`
	Since platform.Revision `cbor:"2,keyasint"`
}

type rows struct {
	Rows     []platform.Row    `cbor:"1,keyasint"`
	Revision platform.Revision `cbor:"2,keyasint"`
}

// cancel passes on a caller's cancel request for a session of another host.
type cancel struct {
	PID    uint32 `cbor:"1,keyasint"`
	Secret uint32 `cbor:"2,keyasint"`
}

// encode returns the message's bytes. No field of a message can fail to encode.
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
