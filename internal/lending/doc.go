// Package lending lets entry hosts use each other's connections to endpoints. Two
// hosts of an endpoint's availability zone hold its connections, and the others
// borrow one for the time of a statement or a transaction. Which two follows from rendezvous hashing over
// the hosts of the zone, weighted by their size, so that nobody has to agree.
//
// Hosts speak CBOR over one WebSocket from borrower to lender. A link that
// breaks ends what was borrowed over it: the lender closes the connections,
// which rolls back their transactions, and the borrower treats statements that
// were under way as sent.
//
// # Usage
//
//	ring := &lending.Ring{Self: "host-1", Now: time.Now}
//	ring.Set(peers)
//	borrower := &lending.Borrower{Down: ring.Down, Up: ring.Up}
//	lender := &lending.Lender{Engine: e}
//	http.Handle("GET /lend", lender)
//	e.Lenders = ring.Lenders
//	e.Borrow, e.Return, e.Warm, e.Learn = borrower.Run, borrower.Return, borrower.Warm, borrower.Learn
package lending
