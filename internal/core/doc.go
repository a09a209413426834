// Package core implements the replication decisions of an entry host: which
// endpoint is the primary, which writes may be acknowledged, how stale each
// endpoint may be, which endpoint serves a read, and when and how a new primary
// is promoted.
//
// It does no I/O, starts no goroutines and reads no clock. An entry host has one
// Group per database group, passes it events with their arrival times and
// executes the actions that Step returns.
//
// # Usage
//
//	g := &core.Group{Name: "die-ledger-1", Self: "host-1", Members: members,
//		Timing: core.DefaultTiming, NewNonce: nonce}
//	actions := g.Step(now, core.StatusReceived{Member: "m1", Status: st, SentAt: sent})
//	if g.DurabilityOf(point) == core.Safe { ... } // no promotion can lose the write
//	choice := g.RouteRead(now, core.ReadRequest{Need: need, MaxAge: age, Zone: zone})
package core
