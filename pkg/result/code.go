// Package result defines the result codes of answers that cumintrestle itself
// generates, as opposed to answers of an endpoint.
//
// A code belongs to one of three families: 1xxx means that the request is done,
// 2xxx that it was not run and never will be, and 3xxx that its outcome is
// unknown. The family is part of the contract: a 2xxx code is sent only if no
// endpoint can have run the request.
//
// # Usage
//
//	err := result.New(result.QueueDeadline, "no connection within %s", wait)
//	var e *result.Error
//	if errors.As(err, &e) && e.Code.Family() == result.NotRun { ... }
package result

import (
	"errors"
	"fmt"
)

// Code is a result code.
type Code int

// Family is what a code says about the outcome of the request.
type Family int

// The families of codes.
const (
	Done    Family = 1
	NotRun  Family = 2
	Unknown Family = 3
)

// String returns the name of the family.
func (f Family) String() string {
	switch f {
	case Done:
		return "done"
	case NotRun:
		return "not run"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// The result codes. A test checks docs/result-codes.md against Table.
const (
	AlreadyDone        Code = 1001
	Applied            Code = 1002
	Unchanged          Code = 1003
	AuthFailed         Code = 2001
	AccountUnknown     Code = 2002
	AccountRetired     Code = 2003
	GroupNotAllowed    Code = 2004
	MessageInvalid     Code = 2005
	NotSupported       Code = 2006
	SettingInvalid     Code = 2007
	TooManyConnections Code = 2008
	QueueFull          Code = 2009
	QueueDeadline      Code = 2010
	NoFreshMember      Code = 2011
	NoPrimary          Code = 2012
	ShuttingDown       Code = 2013
	EndpointRefused    Code = 2014
	RequestIDReused    Code = 2015
	RequestSettled     Code = 2016
	TransactionFailed  Code = 2017
	Cancelled          Code = 2018
	TemplateInvalid    Code = 2101
	NotApplied         Code = 2102
	CredentialInvalid  Code = 2103
	PlatformDown       Code = 2104
	NotFound           Code = 2105
	SettingsInvalid    Code = 2106
	OutcomeUnknown     Code = 3001
	AckMissing         Code = 3002
	AnswerLost         Code = 3003
	ApplyUnknown       Code = 3101
)

// Info describes one code.
type Info struct {
	Code     Code
	Name     string
	SQLState string
	Meaning  string
}

// Table lists all codes in ascending order.
var Table = []Info{
	{AlreadyDone, "already_done", "00000", "the request id was run before; the answer is the recorded one"},
	{Applied, "applied", "00000", "the change is in the platform's table"},
	{Unchanged, "unchanged", "00000", "the stored template equals the given one"},
	{AuthFailed, "auth_failed", "28P01", "wrong client account or password"},
	{AccountUnknown, "account_unknown", "28000", "no template for this client account"},
	{AccountRetired, "account_retired", "28000", "the client account's template is retired"},
	{GroupNotAllowed, "group_not_allowed", "3D000", "the template does not list this database group"},
	{MessageInvalid, "message_invalid", "08P01", "the message is broken or too large"},
	{NotSupported, "not_supported", "0A000", "the statement needs state that a pooled connection does not keep"},
	{SettingInvalid, "setting_invalid", "22023", "a cumintrestle parameter has a value that is not allowed"},
	{TooManyConnections, "too_many_connections", "53300", "the client account holds all connections of its template"},
	{QueueFull, "queue_full", "53400", "too many requests wait already"},
	{QueueDeadline, "queue_deadline", "53400", "no connection to an endpoint became free in time"},
	{NoFreshMember, "no_fresh_member", "72000", "no endpoint is known to be fresh enough for this read"},
	{NoPrimary, "no_primary", "57P03", "the database group had no reachable primary in time"},
	{ShuttingDown, "shutting_down", "57P01", "the entry host is shutting down"},
	{EndpointRefused, "endpoint_refused", "57P03", "the endpoint refused the request before running it"},
	{RequestIDReused, "request_id_reused", "22023", "the request id was used with another statement"},
	{RequestSettled, "request_settled", "40000", "the request id was settled as not run"},
	{TransactionFailed, "transaction_failed", "40000", "the endpoint was lost inside the transaction before COMMIT was sent"},
	{Cancelled, "cancelled", "57014", "the caller cancelled the request before it was sent to an endpoint"},
	{TemplateInvalid, "template_invalid", "22023", "a template field has a value that is not allowed"},
	{NotApplied, "not_applied", "40001", "the template changed since the version that the change names"},
	{CredentialInvalid, "credential_invalid", "28000", "the operator credential is wrong"},
	{PlatformDown, "platform_down", "57P03", "the platform's table service does not answer"},
	{NotFound, "not_found", "02000", "no such template"},
	{SettingsInvalid, "settings_invalid", "22023", "the settings file has a value that is not allowed"},
	{OutcomeUnknown, "outcome_unknown", "08007", "the connection broke after the request was sent; ask for the outcome by request id"},
	{AckMissing, "ack_missing", "08007", "the write ran on a primary but no majority confirmed it in time"},
	{AnswerLost, "answer_lost", "08007", "the answer could not be kept or delivered whole"},
	{ApplyUnknown, "apply_unknown", "08007", "the platform's answer was lost; repeat with the same operation id"},
}

// Family returns the family of the code.
func (c Code) Family() Family {
	return Family(c / 1000)
}

// Info returns the Table entry of the code.
func (c Code) Info() Info {
	for _, i := range Table {
		if i.Code == c {
			return i
		}
	}
	return Info{Code: c, Name: "invalid", SQLState: "XX000"}
}

// Error is an error with a result code.
type Error struct {
	Code Code
	Text string
	Err  error
}

// New returns an error with code c and a formatted text; %w wraps a cause.
func New(c Code, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Code: c, Text: err.Error(), Err: errors.Unwrap(err)}
}

// Error returns the code, its name and the text.
func (e *Error) Error() string {
	return fmt.Sprintf("CT%d %s: %s", int(e.Code), e.Code.Info().Name, e.Text)
}

// Unwrap returns the wrapped cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// TextOf returns the text, without code, of the first Error in the chain of err. If
// there is none, it returns err.Error().
func TextOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Text
	}
	return err.Error()
}

// CodeOf returns the code of the first Error in the chain of err, or 0.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}
