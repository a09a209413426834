// Package endpoint connects an entry host to the endpoints of database groups.
// Control connections monitor, fence and promote a member. Connection pools
// carry callers' statements.
//
// # Usage
//
//	c := &endpoint.Control{Member: m, Dialer: dialer, OnEvent: group.Handle, Clock: clk}
//	c.Run(&tomb)                       // monitors the member until the tomb dies
//	p := &endpoint.Pool{Member: m, Database: "die-ledger-1", Dialer: dialer, Clock: clk}
//	p.SetLimit(5)
//	conn, err := p.Acquire(ctx, "bathafarn-shop-floor", core.ClassWrite)
//	defer p.Release(conn, true)
package endpoint
