// Package caller serves client accounts' applications over the PostgreSQL
// protocol.
//
// The user name is the client account and the database name is the database
// group. A connection to an endpoint is lent for one statement or one
// transaction. What a session has seen travels in its session token, which is
// reported with each answer that changes it and may be given to any entry host.
//
// Parameters, given at start-up or with SET:
//
//	cumintrestle.session_token  what the session has seen
//	cumintrestle.request_id     names the next statement or transaction, which
//	                            then runs at most once
//	cumintrestle.max_read_age   ms; tightens the template's oldest read
//
// SHOW cumintrestle.outcome settles the request id that is set: it answers
// done or not_run, and a request that was answered not_run never runs. The id is
// then taken off the session.
//
// # Usage
//
//	s := &caller.Server{Account: lookup, Group: groups, Clock: clk, ...}
//	s.Run(listener)
//	defer s.Drain(10 * time.Second)
package caller
