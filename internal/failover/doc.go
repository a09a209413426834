// Package failover replaces primaries. Each entry host runs a Manager, which
// suspects primaries from what its own statements met and confirms that with
// the replicas, and which carries out a promotion while it holds the duty.
//
// A promotion goes through these steps, so that no acknowledged commit is lost
// and nothing that the old primary still does is acknowledged:
//
//  1. The holder takes the duty with a new fencing token and records the group
//     as switching, in one transaction of the store. Hosts that see the record
//     send the old primary nothing more.
//  2. It pauses all replicas and reads how far each has received the log. From
//     then on no synchronous commit can be answered by the old primary, and no
//     replica gives the proof that reads of the latest state need. The pause is
//     for the term after the next one, so that the promotion does not end it.
//  3. It promotes the furthest, gives the duty back once that is ordered, and
//     demotes the old primary. It waits until the new one leads and until all
//     proofs from before the pause are too old to count. Without synchronous
//     replicas it waits before the promotion as well.
//  4. It resumes the other replicas and records the new primary and its term. Only
//     then do hosts use the new primary.
//
// A host that dies in between is followed by another one once the time that the
// group's record names is over; each step can be repeated.
//
// # Usage
//
//	m := &failover.Manager{Self: "host-1", Engine: e, Records: records, Promote: promote}
//	err := m.Run(ctx)
package failover
