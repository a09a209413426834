// Package endpoint talks to the databases of the platform's database groups:
// control connections that watch, fence and promote a member, and pools of
// connections that carry callers' statements.
//
// # Usage
//
//	c := &endpoint.Control{Member: m, Dial: dial, Deliver: group.Handle, Clock: clk}
//	c.Run(&tomb)                       // watches and polls until the tomb dies
//	p := &endpoint.Pool{Member: m, Dial: dial, Clock: clk}
//	p.SetLimit(5)
//	conn, err := p.Acquire(ctx, "bathafarn-shop-floor", core.ClassWrite)
//	defer p.Release(conn, true)
package endpoint
