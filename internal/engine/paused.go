package engine

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

const (
	// resumeDelay and resumeSpread are how long a replica that was seen paused is left to the
	// host that ended the switch, and how far hosts that see it spread their requests.
	resumeDelay  = 200 * time.Millisecond
	resumeSpread = 200 * time.Millisecond
	// recordAttempts and recordRetry bound the attempts to get a read of the record that is
	// recent enough: reads are shared for a while.
	recordAttempts = 5
	recordRetry    = 100 * time.Millisecond
	// recordShownTime is how long before a RESUME the read of the record may have begun.
	recordShownTime = 500 * time.Millisecond
)

// errNotEnded reports that the store does not show that the group's last switch has ended.
var errNotEnded = errors.New("the store does not show the end of the switch")

// leftPaused reports whether a replica is paused although no switch is known.
func leftPaused(lead replicaset.Lead, st replicaset.Status) bool {
	return lead.Version != 0 && !lead.Switching && st.Role == replicaset.Replica && st.Paused()
}

// checkPause starts to resume a member that has just reported a pause which may be left over.
func (e *Engine) checkPause(g *group, m replicaset.Member, st replicaset.Status) {
	if _, ok := g.Member(m.ID); !ok || !leftPaused(g.Lead(), st) || !g.beginResume(m.ID) {
		return
	}
	e.spawn("resume replica", func() {
		defer g.endResume(m.ID)
		e.resumeReplica(g, m)
	})
}

// beginResume marks a replica as being resumed. It returns false if it is already.
func (g *group) beginResume(id replicaset.EndpointID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resuming[id] {
		return false
	}
	if g.resuming == nil {
		g.resuming = make(map[replicaset.EndpointID]bool)
	}
	g.resuming[id] = true
	return true
}

func (g *group) endResume(id replicaset.EndpointID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.resuming, id)
}

// resumeReplica lets a replica follow its group's primary again if it is still paused by a
// switch that has ended. A switch is recorded before it pauses replicas: a record without one,
// from a read that began after the replica was seen paused, proves that the pause is left over.
func (e *Engine) resumeReplica(g *group, m replicaset.Member) {
	time.Sleep(resumeDelay + rand.N(resumeSpread))
	if g.Lead().Switching {
		return
	}
	st, err := e.status(m, proofTimeout)
	if err != nil || !leftPaused(g.Lead(), st) {
		return
	}
	decision, reason := "replica_resumed", "left paused: "+st.String()
	if err := e.awaitEnd(g, e.BootTime()); err != nil {
		e.emit(Event{Group: g.Name, Endpoint: m.ID, Decision: "replica_not_resumed", Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	if _, err := e.Control(ctx, m, Op{Kind: OpResume}); err != nil {
		decision, reason = "replica_not_resumed", err.Error()
	}
	e.emit(Event{Group: g.Name, Endpoint: m.ID, Decision: decision, Reason: reason})
}

// awaitEnd waits for a read of the group's record that began at or after the given time, and
// fails if it shows a switch.
func (e *Engine) awaitEnd(g *group, since replicaset.Instant) error {
	if e.RecordedLead == nil {
		return errNotEnded
	}
	for range recordAttempts {
		rec, readAt, err := e.RecordedLead(g.Name)
		switch {
		case err != nil:
			return fmt.Errorf("%w: %w", errNotEnded, err)
		case readAt < since:
			time.Sleep(recordRetry)
			continue
		case rec.Switching || rec.Version == 0 || e.BootTime().Sub(readAt) > recordShownTime:
			return errNotEnded
		}
		return nil
	}
	return errNotEnded
}
