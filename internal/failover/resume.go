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
	// resumeTries and resumeEvery bound the tries to resume a replica that does not
	// answer after a switch.
	resumeTries = 40
	resumeEvery = 500 * time.Millisecond
)

// demote tells the old primary that it lost the lead, which it also finds out by
// itself once it reaches the new one. Replicas are resumed after it: until they
// hear of the new primary, they say that they follow the old one.
func (r *run) demote(ctx context.Context, term session.Term) {
	if old, ok := r.set.Member(r.old.ID); ok {
		r.ask(ctx, []replicaset.Member{old}, engine.Op{Kind: engine.OpDemote, Term: term})
	}
}

// followers are the replicas that were paused and are to follow the new primary.
func (r *run) followers(next replicaset.Lead) []replicaset.Member {
	return slices.DeleteFunc(r.replicas(), func(m replicaset.Member) bool { return m.ID == next.ID })
}

// resume ends the pause of replicas and returns those that did not answer.
func (r *run) resume(ctx context.Context, paused []replicaset.Member) []replicaset.Member {
	resumed := r.ask(ctx, paused, engine.Op{Kind: engine.OpResume})
	return slices.DeleteFunc(paused, func(m replicaset.Member) bool {
		_, ok := resumed[m.ID]
		return ok
	})
}

// resumeRest goes on with replicas that did not answer, while the new primary
// leads. Hosts that find one paused later resume it as well.
func (r *run) resumeRest(ctx context.Context, next replicaset.Lead, paused []replicaset.Member) {
	for range resumeTries {
		if len(paused) == 0 || !pause.For(ctx, resumeEvery) {
			return
		}
		if lead := r.set.Lead(); lead.ID != next.ID || lead.Switching {
			return
		}
		paused = r.resume(ctx, paused)
	}
}
