// Package core decides: which endpoint is the primary, which writes are safe
// to acknowledge, how fresh each endpoint is, where a read goes, and when and
// how a new primary is promoted.
//
// It does no input or output, starts no goroutine and reads no clock. An entry
// host keeps one Group for each database group, feeds it events with the time
// at which they arrived and carries out the actions that Step returns.
//
// # Usage
//
//	g := &core.Group{Name: "die-ledger-1", Self: "host-1", Members: members,
//		Timing: core.DefaultTiming, NewNonce: nonce}
//	actions := g.Step(now, core.StatusReceived{Member: "m1", Status: st, SentAt: sent})
//	if g.Acked(point) { ... }          // the write can't be lost by a promotion
//	choice := g.RouteRead(now, core.ReadRequest{Need: need, MaxAge: age, Zone: zone})
package core
