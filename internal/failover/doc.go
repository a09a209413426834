// Package failover replaces the primaries of database groups. Each entry host runs a
// Manager, which suspects a primary because of the results of the host's own statements,
// confirms the suspicion with the replicas, and carries out the promotion while it holds
// the promotion lease (Lease).
//
// A promotion takes the following steps, so that no acknowledged commit is lost and
// nothing that the old primary still does is acknowledged:
//
//  1. The host acquires the lease with a new fencing token and records the group as
//     switching, in one transaction of the store. Hosts that see the record send the old
//     primary nothing more.
//  2. It pauses all replicas and reads how far each has received the log. From then on
//     the old primary can complete no synchronous commit, and no replica gives the proof
//     that reads of the latest state need. The pause is for the term after the next one,
//     so that the promotion does not end it.
//  3. It promotes the replica that has received most of the log, releases the lease once
//     the promotion is ordered, and demotes the old primary. It waits until the new
//     primary leads and all proofs from before the pause have expired. Without
//     synchronous replicas it waits for the proofs to expire before the promotion as well.
//  4. It records the new primary and its term, and then resumes the other replicas. Only
//     after the record do hosts use the new primary.
//
// If the host fails in between, another one takes over after the deadline in the group's
// record. Each step can be repeated. A switch that is begun while an earlier one has not
// ended first looks for the member that the earlier one may have promoted, also among those
// whose registration has lapsed, and does not restore the old primary unless all have answered.
//
// A RESUME names no switch. It is sent only once the store shows that no switch is under way:
// by the host that recorded the outcome, or by hosts that find a replica paused and read the
// record after that.
//
// The store may come back from a copy and lose leases and records. Promotions then wait until
// a host has recorded the opening of the new era, after eraSettleTime: by then no host that
// holds a lost lease sends promote calls. A lost record of a promotion is written again by a
// host that knows it, or found by the terms that members report.
//
// # States of a group
//
// Each state without a serving primary has a way out that needs no other fault to end, except that a
// host promotes no replica that is known to lack an acknowledged commit. TestEveryStateHasAWayOut
// walks them.
//
//	state                way in                                     way out
//	unknown              no registration and no record names the    findPrimary: one that leads, or the only recorded
//	                     primary                                    member that is gone
//	leading              recorded, or reported by the members       silent, stuck, draining, overloaded: switchover
//	gone                 the registration has lapsed                switchover, or finishSwitch if another one leads its term
//	deposed              a replica by its own word: demoted by a    switchover, in which it counts as a replica
//	                     switch or an operator, or started again
//	superseded           a member reports a later term              finishSwitch; switchover if nobody leads it
//	unrecorded           the store came back from a copy, or its    recordAgain, by a host that knows
//	                     record can't be read
//	unconfirmed          a member did not report when the era       confirm, once all report
//	                     was opened
//	switching            a host has claimed the switch              its outcome is recorded: the new primary, or the old one
//	                                                                if that still leads
//	orphaned             its deadline has passed, or its host       finishSwitch; switchover, which takes over
//	                     started again
//	taken over           a switch was claimed before another ended  as switching; the old primary is restored only if
//	                                                                nobody has been promoted
//	given way            the old primary follows, or a replica      orphaned at once; each host tries in turn
//	                     that may have been promoted is silent
//	held back            a replica does not answer, or a lost one   it answers or its registration lapses; another replica
//	                     may hold the only copy of a commit         covers its commits; the primary has been gone, too, for
//	                                                                missingTimeout
//	held back for good   all replicas that are left lack a commit   the primary or a lost replica comes back
//	                     that this host has acknowledged
//
// # Usage
//
//	m := &failover.Manager{HostID: "host-1", Engine: e, Store: store, Promote: promote}
//	err := m.Run(ctx)
package failover
