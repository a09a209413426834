package ratelimit

import (
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Epoch numbers the terms of granting hosts. It increases with each holder of the lease and each process.
type Epoch uint64

// Incarnation numbers the processes of a host. It must increase with each start.
type Incarnation uint64

// Sequence numbers the requests of a host's process, from 1.
type Sequence uint64

// Request is a message from a host to the granting host.
type Request struct {
	Host        string
	Incarnation Incarnation
	Sequence    Sequence
	// Epoch is the highest epoch known to the host.
	Epoch Epoch
	// Answered is the last request whose response the host has accepted, of any epoch. Later responses are
	// accepted only if they answer a later request.
	Answered Sequence
	// Items holds the accounts with something to request or report. An account without an item has nothing new
	// to report.
	Items []RequestItem
}

// RequestItem is the part of a request about one account. Generated and Returned count since the host accepted
// the epoch, so that repeating or losing a report is harmless.
type RequestItem struct {
	Account session.Account
	// Waiting is the number of operations that wait for a token, Wanted the number of tokens requested, for
	// those and ahead.
	Waiting, Wanted uint32
	// Held is the number of unused tokens that were granted in this epoch.
	Held uint32
	// Generated is the number of operations allowed under the fallback rate, Returned that of granted tokens
	// given up unused.
	Generated, Returned uint64
	// Use is the recent rate of operations, per second; 0 means that the host no longer needs a fallback rate.
	Use float64
}

// Response is the granting host's answer to a request. It must not be sent if its epoch is 0.
type Response struct {
	Epoch Epoch
	// Incarnation and Sequence are those of the request.
	Incarnation Incarnation
	Sequence    Sequence
	// Lease is the remaining time of the lease, counted from the sending of the request.
	Lease time.Duration
	// Recovering is true while no fallback rates are given, because some of former epochs may be in use.
	Recovering bool
	// Items answers each item of the request.
	Items []ResponseItem
}

// ResponseItem is the part of a response about one account.
type ResponseItem struct {
	Account session.Account
	// Granted is the number of tokens, which may be used for Validity after the sending of the request.
	Granted  uint32
	Validity time.Duration
	// Fallback is the rate at which the host may generate tokens when it gets no answer, as a part of the limit's
	// rate: a host that has a lowered limit before the granting host must not generate at a rate under the old one.
	Fallback float64
	// AskAgain is not zero if fewer tokens than waiting operations were granted. The host requests no tokens
	// for that time.
	AskAgain time.Duration
	// Spread is the time over which to spread the retries of refused operations.
	Spread time.Duration
	// Wait is true if the bucket has tokens soon, or is empty only because other hosts hold tokens ahead, so that
	// operations should wait instead of being refused.
	Wait bool
}
