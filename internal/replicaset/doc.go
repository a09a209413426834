// Package replicaset keeps what one entry host believes about one database
// group: its members, who leads and since which term, how fresh the log of the
// primary was at which moment, and how fast each member answers. From that it
// decides which log position a read needs and in which order members are tried.
//
// It does no input or output and reads no clock. Times are Instants of a clock
// that also counts suspended time, so that an age is never underestimated.
//
// # Usage
//
//	set := replicaset.New("orders-1", "zone-a")
//	set.Register(replicaset.Member{ID: "m1", Zone: "zone-a", Role: replicaset.Primary})
//	set.Sample(sentAt, point)                 // each answer of the primary
//	need, ok := set.Need(now, maxAge, seen)   // what a read must include
//	for _, m := range set.ReadOrder(now, tried) { ... }
package replicaset
