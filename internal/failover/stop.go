package failover

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// A pause is no fence: a replica that restarts forgets it, any RESUME ends it, and a replica
// that joins was never paused. A switch therefore lets the commit proofs of all hosts expire
// and reads the positions only then. A host that has not heard of the switch gets no new proof
// after that, whatever becomes of the pauses: its chain of proofs has broken, and the store
// shows the switch.

// commitProofMargin is added to CommitProofTime where the end of commit proofs is awaited. It
// covers clocks that run at different rates.
const commitProofMargin = 50 * time.Millisecond

// lookTimeout is how long a switch asks replicas that do not answer, or are busy, before it
// pauses them again.
const lookTimeout = time.Second

var (
	errPauseEnded    = errors.New("the pause of a replica has ended")
	errPrimaryIsBack = errors.New("the primary answers again")
)

// stopReplicas pauses all replicas, waits until no host can acknowledge commits of the old
// primary, and returns what the replicas report then. It also returns the time of the pause.
func (r *replacement) stopReplicas(ctx context.Context) (map[replicaset.EndpointID]replicaset.Status, replicaset.Instant, error) {
	for {
		reports, err := r.pauseReplicas(ctx)
		pausedAt := r.Engine.BootTime()
		if _, promoted := r.promotedIn(reports); err != nil || promoted {
			return reports, pausedAt, err
		}
		former := r.formerCallsLeft(r.set.Name, r.old)
		if !r.Engine.Policy(r.set.Name).Synchronous && former == 0 {
			return reports, pausedAt, nil
		}
		back := r.probeOld(ctx)
		if !pause.For(ctx, max(replicaset.CommitProofTime+commitProofMargin, former)) {
			return nil, pausedAt, ctx.Err()
		}
		if r.reason == reasonSilent && <-back {
			return nil, pausedAt, errPrimaryIsBack
		}
		reports, err = r.readAgain(ctx, reports)
		if err == nil {
			return reports, pausedAt, nil
		}
		r.event(r.set.Name, "", "pause_repeated", err.Error())
		if !errors.Is(err, errPauseEnded) || r.leaseLeft() <= minLeaseToPromote {
			return nil, pausedAt, err
		}
	}
}

// pauseReplicas pauses all replicas and returns their reports. Each replica that may hold
// the only other copy of a commit has to answer. Unregistered ones are paused before, so that
// no commit can be acknowledged with one of them afterwards.
func (r *replacement) pauseReplicas(ctx context.Context) (map[replicaset.EndpointID]replicaset.Status, error) {
	began := r.Engine.BootTime()
	term := r.old.Term
	reports := make(map[replicaset.EndpointID]replicaset.Status)
	for {
		replicas := r.askTerms(ctx, &term)
		r.pauseOp = engine.Op{Kind: engine.OpPause, Term: max(r.pauseTerm, term+pauseTermOffset)}
		r.pauseTerm = r.pauseOp.Term + 1
		maps.Copy(r.unregistered, r.controlLost(ctx, r.set, r.pauseOp))
		if !r.Engine.Policy(r.set.Name).Synchronous {
			// Nobody looks at these pauses again, so all have to answer in one round.
			clear(reports)
		}
		maps.Copy(reports, r.controlAll(ctx, unanswered(replicas, reports), r.pauseOp))
		left, missing := len(unanswered(replicas, reports)), r.missingReplicas(r.set, r.old, reports)
		if left == 0 && len(replicas) > 0 && missing == 0 {
			return reports, nil
		}
		if r.Engine.BootTime().Sub(began) > pauseTimeout || !pause.For(ctx, pollInterval) {
			return nil, fmt.Errorf("%d of %d replicas answered, %d lost replicas may hold commits", len(replicas)-left, len(replicas), missing)
		}
	}
}

// askTerms returns the replicas that are to be paused, and raises term to the highest one that
// they report.
func (r *replacement) askTerms(ctx context.Context, term *session.Term) []replicaset.Member {
	replicas := r.replicas()
	if r.asked == nil {
		r.askedAt = r.Engine.BootTime()
		r.asked = r.controlAll(ctx, replicas, engine.Op{Kind: engine.OpStatus})
	}
	for _, st := range r.asked {
		*term = max(*term, st.Term)
	}
	r.asked = nil
	return slices.DeleteFunc(replicas, func(m replicaset.Member) bool { return r.set.Absent(m.ID, r.askedAt) })
}

// unanswered returns the members without a report.
func unanswered(members []replicaset.Member, reports map[replicaset.EndpointID]replicaset.Status) []replicaset.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m replicaset.Member) bool {
		_, ok := reports[m.ID]
		return ok
	})
}

// probeOld asks the old primary whether it still leads.
func (r *replacement) probeOld(ctx context.Context) <-chan bool {
	back := make(chan bool, 1)
	go guard.Run("status request to the old primary", r.Engine.ReportPanic, func() {
		leads := false
		defer func() { back <- leads }()
		if old, ok := r.set.Member(r.old.ID); ok && r.reason == reasonSilent {
			st, ok := r.controlAll(ctx, []replicaset.Member{old}, engine.Op{Kind: engine.OpStatus})[old.ID]
			leads = ok && st.Role == replicaset.Primary && st.Term == r.old.Term
		}
	})
	return back
}

// readAgain returns what the replicas report now, including those that have registered since
// the pause. It fails if the store no longer shows this switch, or if a replica that was paused
// or recorded is not paused any more.
func (r *replacement) readAgain(ctx context.Context, paused map[replicaset.EndpointID]replicaset.Status) (map[replicaset.EndpointID]replicaset.Status, error) {
	if err := r.readRecord(ctx); err != nil {
		return nil, err
	}
	// A report covers losses. One that is newer than the position that decides must not.
	if missing := r.missingReplicas(r.set, r.old, paused); missing > 0 {
		return nil, fmt.Errorf("%d lost replicas may hold commits", missing)
	}
	replicas, reports, err := r.askAll(ctx)
	if err != nil {
		return nil, err
	}
	var joined []replicaset.Member
	for _, m := range replicas {
		before, wasPaused := paused[m.ID]
		switch st, ok := reports[m.ID]; {
		case !ok || wasPaused && before.Paused() && st.PausedTerm == before.PausedTerm:
		case wasPaused || r.set.IsRecorded(m):
			return nil, fmt.Errorf("%w: %s, %s", errPauseEnded, m.ID, st)
		default:
			joined = append(joined, m)
		}
	}
	maps.Copy(reports, r.controlAll(ctx, joined, r.pauseOp))
	maps.Copy(r.unregistered, r.controlLost(ctx, r.set, r.pauseOp))
	if missing := r.missingReplicas(r.set, r.old, reports); missing > 0 {
		return nil, fmt.Errorf("%d lost replicas may hold commits", missing)
	}
	return reports, nil
}

// askAll asks the replicas until each has reported, or another endpoint has answered at its
// address.
func (r *replacement) askAll(ctx context.Context) ([]replicaset.Member, map[replicaset.EndpointID]replicaset.Status, error) {
	began, reports := r.Engine.BootTime(), make(map[replicaset.EndpointID]replicaset.Status)
	for {
		replicas := r.replicas()
		maps.Copy(reports, r.controlAll(ctx, unanswered(replicas, reports), engine.Op{Kind: engine.OpStatus}))
		left := slices.DeleteFunc(unanswered(replicas, reports), func(m replicaset.Member) bool { return r.set.Absent(m.ID, began) })
		if len(left) == 0 {
			return replicas, reports, nil
		}
		if r.Engine.BootTime().Sub(began) > lookTimeout || !pause.For(ctx, pollInterval) {
			return nil, nil, fmt.Errorf("%w: %s does not answer", errPauseEnded, left[0].ID)
		}
	}
}

// readRecord reads the members and the group's record, and fails if the record is not that of
// this switch. It retries while the lease lasts.
func (r *replacement) readRecord(ctx context.Context) error {
	for {
		requestedAt := r.Engine.BootTime()
		st, err := r.Store.Read(ctx)
		if err == nil && st.Revision.Era == r.heldLease.Era {
			if st.Lease.Holder != r.HostID || st.Lease.Token != r.heldLease.Token {
				return errLeaseLost
			}
			if !r.recordedBy(st.Leads[r.set.Name]) {
				return errRecordChanged
			}
			r.leaseShownAt = requestedAt
			return nil
		}
		if err == nil {
			return errLeaseLost
		}
		if r.leaseLeft() <= minLeaseToPromote || !pause.For(ctx, pollInterval) {
			return fmt.Errorf("read the group's record: %w", err)
		}
	}
}
