// Package caller serves applications of client accounts over the PostgreSQL
// protocol. Such an application is called a caller.
//
// The user name is the client account and the database name is the database
// group. A pooled connection to an endpoint is used for one statement or one
// transaction. The session token holds the log points that a session has
// observed. It is reported whenever it has changed and may be passed to any
// entry host, which then serves no older data.
//
// Parameters, given at start-up or with SET:
//
//	cumintrestle.session_token  log points that reads must include
//	cumintrestle.request_id     id of the next statement or transaction, which
//	                            then runs at most once
//	cumintrestle.max_read_age   staleness bound for reads in ms; it can only
//	                            tighten the template's
//
// SHOW cumintrestle.outcome resolves the current request id: it returns done or
// not_run. A request that was reported as not_run can never run later. The id is
// then cleared from the session.
//
// # Usage
//
//	s := &caller.Server{Account: lookup, Group: groups, Clock: clk, ...}
//	s.Run(listener)
//	defer s.Drain(10 * time.Second)
package caller
