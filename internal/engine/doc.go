// Package engine runs the statements of callers' sessions. It chooses the
// endpoint and the connection for each statement, retries what is safe to
// retry, and returns typed outcomes. It is independent of the wire protocol: a
// front end decodes the statements of callers, and the function fields of Conn
// talk to an endpoint.
//
// # Usage
//
//	e := &engine.Engine{Zone: "zone-a", Now: time.Now, BootTime: clock, Dial: dial}
//	e.Apply(declared)
//	s, outcome := e.Open("orders")
//	defer s.Close()
//	outcome = s.Run(engine.Statement{ID: "1", Kind: engine.Read, Text: "READ 7"})
//
// # Guarantees of an outcome
//
// An outcome whose code satisfies NothingKept guarantees that the attempt
// changed no data. Such an outcome is returned only if nothing was sent, if the
// endpoint reported that it did not run the statement, if the statement only
// read, or if it was part of a transaction whose COMMIT was never sent.
package engine
