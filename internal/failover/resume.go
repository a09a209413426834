package failover

import (
	"context"
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// resumeAttempts and resumeInterval bound the attempts to resume a replica that does
	// not answer after a switch.
	resumeAttempts = 40
	resumeInterval = 500 * time.Millisecond
	// endShownTime is how long before a RESUME the store must have shown that the switch has
	// ended.
	endShownTime = 500 * time.Millisecond
)

// demote tells the old primary that it no longer leads, which it also finds out by itself
// once it reaches the new primary. Replicas are resumed only afterwards: until they learn
// of the new primary, they report that they follow the old one.
func (r *replacement) demote(ctx context.Context, term session.Term) {
	if old, ok := r.set.Member(r.old.ID); ok {
		r.controlAll(ctx, []replicaset.Member{old}, engine.Op{Kind: engine.OpDemote, Term: term})
	}
}

// followers returns the paused replicas that are to follow the new primary.
func (r *replacement) followers(next replicaset.Lead) []replicaset.Member {
	return slices.DeleteFunc(r.replicas(), func(m replicaset.Member) bool { return m.ID == next.ID })
}

// controlAll sends a control request of this switch. A host that wakes after its lease pauses
// nothing: no other host may know of the pause.
func (r *replacement) controlAll(ctx context.Context, members []replicaset.Member, op engine.Op) map[replicaset.EndpointID]replicaset.Status {
	if op.Kind == engine.OpPause && (r.leaseLeft() <= 0 || !r.recordedBy(r.set.Lead())) {
		return nil
	}
	return r.Manager.controlAll(ctx, members, op)
}

// conclude records who leads and then ends the pauses of this switch. It returns the replicas
// that did not answer. Without the record the replicas stay paused: another switch may have
// paused them as well.
func (r *replacement) conclude(ctx context.Context, lead replicaset.Lead, paused []replicaset.Member) []replicaset.Member {
	endedAt, ok := r.recordOutcome(ctx, lead)
	if !ok {
		return nil
	}
	unresumed := r.resume(ctx, paused, endedAt)
	r.resumeUnregistered(ctx, endedAt)
	return unresumed
}

// resume ends the pause of replicas and returns those that did not answer. The store showed the
// end of the switch in the answer to a request sent at endedAt.
func (r *replacement) resume(ctx context.Context, paused []replicaset.Member, endedAt replicaset.Instant) []replicaset.Member {
	// A RESUME that is delivered late, by a busy endpoint or a lending host, may still meet the
	// pause of a later switch. Promotions look at the pauses again, and commits are proved.
	if r.Engine.BootTime().Sub(endedAt) > endShownTime {
		return paused
	}
	resumed := r.controlAll(ctx, paused, engine.Op{Kind: engine.OpResume})
	return slices.DeleteFunc(paused, func(m replicaset.Member) bool {
		_, ok := resumed[m.ID]
		return ok
	})
}

// retryResume retries replicas that did not answer, as long as the store shows that the new
// primary leads. Hosts that later find a replica still paused resume it as well.
func (r *replacement) retryResume(ctx context.Context, next replicaset.Lead, paused []replicaset.Member) {
	for range resumeAttempts {
		if len(paused) == 0 || !pause.For(ctx, resumeInterval) {
			return
		}
		if lead := r.set.Lead(); lead.ID != next.ID || lead.Switching {
			return
		}
		reports := r.controlAll(ctx, paused, engine.Op{Kind: engine.OpStatus})
		var silent, left []replicaset.Member
		for _, m := range paused {
			if st, ok := reports[m.ID]; !ok {
				silent = append(silent, m)
			} else if st.Paused() {
				left = append(left, m)
			}
		}
		paused = append(silent, left...)
		if len(left) == 0 {
			continue
		}
		requestedAt := r.Engine.BootTime()
		st, err := r.Store.Read(ctx)
		if err != nil {
			continue
		}
		if rec := st.Leads[r.set.Name]; rec.Switching || rec.ID != next.ID || rec.Term != next.Term {
			return
		}
		paused = append(silent, r.resume(ctx, left, requestedAt)...)
	}
}

// resumeUnregistered ends the pause of replicas whose registration has lapsed. One that does
// not answer is resumed by hosts that find it paused once it is registered again.
func (r *replacement) resumeUnregistered(ctx context.Context, endedAt replicaset.Instant) {
	for _, o := range r.unregistered {
		if r.Engine.BootTime().Sub(endedAt) > endShownTime {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		if _, err := r.Engine.ControlDirect(ctx, o.Member, engine.Op{Kind: engine.OpResume}); err != nil {
			r.event(r.set.Name, o.ID, "no_report", err.Error())
		}
		cancel()
	}
}
