package engine

import (
	"errors"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

const (
	// sampleRefreshAge and proofRefreshAge are the ages at which a host that
	// holds connections to a group's members renews its sample of the primary's
	// log position and its leadership proof, before borrowing hosts need them: a
	// read of the latest state accepts a proof up to ProofTime old, and any
	// other read a sample as old as its staleness bound.
	sampleRefreshAge = 400 * time.Millisecond
	proofRefreshAge  = 500 * time.Millisecond
	// maxUsefulSampleAge is the age up to which a position sample is useful to
	// most reads.
	maxUsefulSampleAge = time.Second
	// demandWindow is how long after the last loan a holder keeps renewing what
	// borrowing hosts need.
	demandWindow = 3 * time.Second
	// positionWait bounds the wait of a read for a log position. It covers two
	// status requests: to a replica and to the primary.
	positionWait = 2 * proofTimeout
	// prewarmSpare is how many connections beyond an endpoint's slots are opened
	// ahead of demand.
	prewarmSpare = 2
)

// errNoPosition reports that no known log position of the primary is recent
// enough for a read.
var errNoPosition = errors.New("no known log position of the primary is recent enough")

// noteBorrowed records that another host has just borrowed a connection.
func (p *pool) noteBorrowed(now replicaset.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrowedAt = now
}

// inDemand reports whether another host borrowed a connection within
// demandWindow. The first look counts as a loan, so that the first borrower after
// a start finds a proof and a position.
func (p *pool) inDemand(now replicaset.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.borrowedAt == 0 {
		p.borrowedAt = now
	}
	return now.Sub(p.borrowedAt) < demandWindow
}

// startRefresh starts a refresh of proof and log position, or returns the one in
// progress.
func (e *Engine) startRefresh(g *group) *sharedCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refreshing != nil {
		return g.refreshing
	}
	call := &sharedCall{done: make(chan struct{})}
	g.refreshing = call
	e.spawn("refresh proof and position", func() {
		defer func() {
			g.mu.Lock()
			g.refreshing = nil
			g.mu.Unlock()
			close(call.done)
		}()
		e.refreshKnowledge(g)
	})
	return call
}

// awaitPosition waits for a refresh of the primary's log position. All reads
// that lack one share the refresh: after a start or an idle period, replicas can
// then serve reads that would otherwise all go to the primary.
func (e *Engine) awaitPosition(g *group, deadline time.Time) {
	t := time.NewTimer(min(deadline.Sub(e.Now()), positionWait))
	defer t.Stop()
	select {
	case <-e.startRefresh(g).done:
	case <-t.C:
	}
}

func (g *group) maxConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy.MaxConnections
}

// refreshKnowledge renews the proof that the primary leads, and the position of
// its log.
func (e *Engine) refreshKnowledge(g *group) {
	lead := g.Lead()
	if lead.ID == "" || lead.Switching || e.refreshFromPeer(g, lead) {
		return
	}
	if k := g.Knowledge(e.BootTime()); k.ProofAge < 0 || k.ProofAge > proofRefreshAge {
		call, isNew := g.joinProof()
		if isNew {
			e.runProof(g, call, func() error { return e.renewProof(g, lead) })
		}
		<-call.done
	}
	m, ok := g.Member(g.Lead().ID)
	if k := g.Knowledge(e.BootTime()); !ok || k.SampleAge >= 0 && k.SampleAge <= sampleRefreshAge {
		return
	}
	sentAt := e.BootTime()
	st, err := e.status(m, proofTimeout)
	if err != nil {
		e.emit(Event{Group: g.Name, Endpoint: m.ID, Decision: "no_sample", Reason: err.Error()})
		return
	}
	if st.Role == replicaset.Primary {
		e.recordSample(g, m, sentAt, st.Received)
	}
}

// refreshFromPeer requests proof and position from the host that holds the
// primary's connections, and reports whether they are recent enough.
func (e *Engine) refreshFromPeer(g *group, lead replicaset.Lead) bool {
	m, ok := g.Member(lead.ID)
	if !ok {
		return false
	}
	address, ok := e.primaryHolder(g, m)
	if !ok {
		return false
	}
	if g.Knowledge(e.BootTime()).Fresh(proofRefreshAge, sampleRefreshAge) {
		return true
	}
	asked := e.BootTime()
	k, err := e.FetchKnowledge(address, g.Name, e.Now().Add(proofTimeout))
	if err != nil {
		e.emit(Event{Group: g.Name, Endpoint: m.ID, Decision: "not_told", Reason: err.Error()})
		return false
	}
	g.MergeKnowledge(asked, k)
	return g.Knowledge(e.BootTime()).Fresh(ProofTime, maxUsefulSampleAge)
}

// reservePrewarm reports whether a connection should be opened ahead of demand,
// and if so counts it as open.
func (p *pool) reservePrewarm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.prewarming || p.open >= p.prewarmTarget() || !p.canOpen() || p.member.Role == replicaset.Unknown {
		return false
	}
	p.prewarming = true
	p.open++
	return true
}

// prewarm opens the connection that reservePrewarm counted.
func (p *pool) prewarm() {
	c, err := p.connect(p.now().Add(dialTimeout), connNeed{class: classRead})
	p.mu.Lock()
	p.prewarming = false
	p.mu.Unlock()
	if err == nil {
		p.release(c)
	}
}
