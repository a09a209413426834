// Package lending lets entry hosts use each other's connections to endpoints. Two
// hosts of an endpoint's availability zone hold connections to it; the other hosts
// borrow one for the duration of a statement or a transaction. Each host computes
// the two holders on its own, by rendezvous hashing over the hosts of the zone,
// weighted by their size, so that no coordination is needed.
//
// Hosts exchange CBOR messages over one WebSocket from borrower to lender. When
// that link breaks, the lender closes every connection with a transaction that was
// opened over it, which rolls the transaction back. The borrower assumes that
// statements without a response were sent.
//
// # Usage
//
//	ring := &lending.Ring{Self: "host-1", Now: time.Now}
//	ring.Set(peers)
//	borrower := &lending.Borrower{OnDown: ring.MarkDown, OnUp: ring.MarkUp}
//	lender := &lending.Lender{Engine: e, Unavailable: draining}
//	http.Handle("GET /lend", lender)
//	e.Lenders = ring.Lenders
//	e.Borrow, e.EndLoan = borrower.Run, borrower.EndLoan
//	e.Preconnect, e.FetchKnowledge = borrower.Preconnect, borrower.FetchKnowledge
package lending
