// Package soak runs entry hosts as separate local processes under load, injects
// faults from outside, and checks the answers that callers get and the statements
// that endpoints run.
//
// The store and the endpoints are simulated in the soak's own process, so that the
// checker knows every statement that endpoints ran. A loopback proxy between each
// entry host and each endpoint, and between each entry host and the store, delays,
// resets or blocks connections, in one or both directions. Hosts are stopped,
// paused and killed by signals, and restarted after they exit. The seed determines
// all faults and their times within a run. Faults within a switch start when a host has
// recorded it, a replica is paused, or the promote call arrives.
//
// Runs with client accounts (PlanAccounts) have configurations that move keys between accounts, one
// account far above its limit, and faults of the host that grants limits. They check under which
// account each statement ran, that revoked keys are refused, and the operations of each account.
//
// Runs of PlanLosses lose endpoints for good, their logs, their registrations or what the store says of a
// switch, one story for each group: a copy that no host knows of, a replica that starts again without
// its log, a promoted replica that is lost before it leads, a primary that is lost while all hosts are down.
//
// Callers send texts of any bytes, some of them long, and endpoints send one answer in a hundred a
// second time, at once or later, unless Options says otherwise.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Binary: "target/cumintrestle-entry", Seed: 1, Length: 12 * time.Second})
//	for _, v := range report.Violations { ... } // a correct run has none
package soak
