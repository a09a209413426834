package engine

import "time"

// answer is how a request to an endpoint ended.
type answer struct {
	took         time.Duration
	shed, failed bool
	// commits marks a request that commits writes, and place is what it holds at the gate.
	commits bool
	place   *gatePlace
}

// gatePlace is the place at the gate of a request that gives it up before it is answered. g.mu
// guards it.
type gatePlace struct{ freed bool }

// free frees the place and reports whether it was held. A request without a place of its own
// holds one until it is answered.
func (p *gatePlace) free() bool {
	if p == nil {
		return true
	}
	held := !p.freed
	p.freed = true
	return held
}

// admits reports whether a call needs admission. Where accounts are in use, a write outside of a
// transaction does, so that an account's writes don't take the slots of others. The end of a
// transaction does not: a refusal would undo the transaction.
func (g *gate) admits(call Call) bool {
	return !call.commitsWrites() || call.Class != classInTransaction && g.fair != nil && g.fair()
}

// freeWhenDone returns the place of an admitted request that commits writes. It is freed after
// the expected duration of a request: from then on the request waits for replicas.
func (g *gate) freeWhenDone() *gatePlace {
	g.mu.Lock()
	after := max(g.serviceTime, minWork)
	g.mu.Unlock()
	p := &gatePlace{}
	time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if p.free() {
			g.running--
			g.admitWaiting()
		}
	})
	return p
}
