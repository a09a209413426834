// Package soak runs entry hosts as separate processes on one machine, injects
// faults from outside of them, and checks what callers and endpoints see.
//
// The store and the endpoints are stand-ins in the soak's own process, so that
// the checker knows everything that endpoints ran. Between each entry host and
// each endpoint, and between each entry host and the store, stands a loopback
// proxy that delays, resets, silences or cuts connections in one direction.
// Processes are stopped, paused, killed and restarted by signals. All faults
// follow from the seed; their times within a run do as well.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Binary: "target/cumintrestle-entry", Seed: 1, Length: 12 * time.Second})
//	for _, v := range report.Violations { ... } // none is right
package soak
