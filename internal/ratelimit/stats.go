package ratelimit

import "github.com/cumintrestle/cumintrestle/pkg/session"

// SpenderStats counts since the start of the process.
type SpenderStats struct {
	// Granted is the number of tokens received, Expired those that were not used in time.
	Granted, Expired uint64
	// Allowed is the number of operations allowed, Fallback those of them under a fallback rate.
	Allowed, Fallback uint64
	// Exceeded is the number of operations refused because the account exceeded its limit, Unavailable that of
	// waiting operations that were abandoned because the granting host did not answer.
	Exceeded, Unavailable uint64
	// Requests and Responses count messages; Ignored counts responses that came too late, twice, or from a
	// former epoch.
	Requests, Responses, Ignored uint64
	// Accounts is the number of accounts with state, FallbackAccounts that of accounts with a fallback rate.
	Accounts, FallbackAccounts int
	// InFallback is true while the host generates tokens itself.
	InFallback bool
}

// GranterStats counts since the start of the process.
type GranterStats struct {
	// Requests counts the answered requests, Ignored those that were late, repeated, or of a later epoch.
	Requests, Ignored uint64
	// Granted is the number of tokens granted, Denied that of waiting operations without one, Returned that of
	// tokens given back unused.
	Granted, Denied, Returned uint64
	// Generated is the number of operations that hosts reported to have sent under a fallback rate.
	Generated uint64
	// Hosts and Accounts are the numbers with state, Silent the number of hosts charged for their fallback.
	Hosts, Accounts, Silent int
}

// Usage is the recent use of an account over all hosts.
type Usage struct {
	Account session.Account
	// Use is in operations per second.
	Use   float64
	Limit Limit
}
