// Package failover replaces primaries. Each entry host runs a Manager, which
// suspects primaries from what its own statements met and confirms that with
// the replicas, and which carries out a promotion while it holds the duty.
//
// A promotion goes through these steps, so that no acknowledged commit is lost
// and nothing that the old primary still does is acknowledged:
//
//  1. The holder takes the duty with a new fencing token and records the group
//     as switching, in one transaction of the store.
//  2. It waits until each live host has answered that it saw the record, or
//     until their leases have run out.
//  3. It pauses all replicas and reads how far each has received the log.
//  4. It promotes the furthest, and waits until that one leads.
//  5. It records the new primary and its term, and gives the duty back.
//
// A host that dies in between is followed by another one once the duty's lease
// is over; each step can be repeated.
//
// # Usage
//
//	m := &failover.Manager{Self: "host-1", Engine: e, Records: records, Promote: promote}
//	t.Go(func() error { return m.Run(ctx) })
package failover
