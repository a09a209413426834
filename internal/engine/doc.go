// Package engine serves sessions: it takes typed statements, decides which
// endpoint runs them and on which connection, retries what may be retried, and
// gives typed outcomes. It knows no protocol. Callers are met by a front end
// that decodes statements; endpoints behind Conn, whose function fields speak
// to one of them.
//
// # Usage
//
//	e := &engine.Engine{Zone: "zone-a", Boot: clock, Dial: dial}
//	e.Apply(declared)
//	s, outcome := e.Open("orders")
//	defer s.Close()
//	outcome = s.Run(engine.Statement{ID: "1", Kind: engine.Read, Text: "READ 7", Item: "7"})
//
// # What an outcome promises
//
// Outcomes for which NothingKept holds are promises that nothing of this
// attempt is kept. They are given only when nothing was sent, when the endpoint
// said that it did not run the statement, when the statement only read, or when
// it was part of a transaction whose end was never sent.
package engine
