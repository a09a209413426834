// Package replicaset holds what one entry host knows about one database group: its
// members, the current primary and its term, recent samples of the primary's log
// position, and how fast each member answers. From that it derives the log position
// that a read must include and the order in which members are tried.
//
// The package does no I/O and reads no clock. Times are Instants of a clock that also
// counts the time for which the host was suspended, so that an age is never
// underestimated.
//
// # Usage
//
//	set := replicaset.New("orders-1", "zone-a")
//	set.Register(now, replicaset.Member{ID: "m1", Zone: "zone-a", Role: replicaset.Primary})
//	set.Sample("m1", sentAt, point)                   // after each answer of the primary
//	need, ok := set.RequiredPoint(now, maxAge, seen)  // the position that a read must include
//	order, _ := set.ReadOrder(now, need, tried)
//	for _, m := range order { ... }
package replicaset
