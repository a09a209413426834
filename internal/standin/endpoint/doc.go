// Package endpoint is a small stand-in for one database of a database group,
// used by the demo, the tests and the measurements.
//
// It speaks the PostgreSQL protocol and stores its data in SQLite in memory. It
// implements what the proxy relies on: transactions, a log with terms and
// positions, asynchronous replication, fencing, promotion, a connection limit
// and a number of execution slots. All data is lost when its process ends.
//
// # Usage
//
//	n := &endpoint.Node{ID: "die-ledger-1-a", Slots: 3, Limit: 40, Clock: clock.New()}
//	ln, err := net.Listen("tcp", "127.0.0.1:0")
//	n.Start(ln)
//	defer n.Stop()
package endpoint
