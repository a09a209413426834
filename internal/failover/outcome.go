package failover

import (
	"context"

	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// recordOutcome records who leads and releases the lease. It retries while the lease lasts,
// unless the group's record is that of a later switch. It returns the time of the request whose
// answer showed the outcome in the store, false if none did.
func (r *replacement) recordOutcome(ctx context.Context, lead replicaset.Lead) (replicaset.Instant, bool) {
	for r.leaseLeft() > 0 {
		requestedAt := r.Engine.BootTime()
		st, err := r.Store.Read(ctx)
		rec := st.Leads[r.set.Name]
		switch {
		case err == nil && r.endedWith(rec, lead):
			// The answer to an earlier attempt was lost.
			r.set.SetLead(r.Engine.BootTime(), rec)
			return requestedAt, true
		case err == nil && !r.recordedBy(rec) && !r.recordLost(st):
			return 0, false
		case err == nil:
			requestedAt = r.Engine.BootTime()
			err = r.recordLead(ctx, st, lead)
		}
		if err == nil {
			return requestedAt, true
		}
		r.event(r.set.Name, lead.ID, "record_failed", err.Error())
		if !pause.For(ctx, pollInterval) {
			break
		}
	}
	return 0, false
}

// endedWith reports whether a record shows that this switch has ended with the given primary.
func (r *replacement) endedWith(rec, lead replicaset.Lead) bool {
	return !rec.Switching && rec.Token == r.heldLease.Token && rec.ID == lead.ID && rec.Term == lead.Term
}

// recordedBy reports whether a record is that of this switch.
func (r *replacement) recordedBy(rec replicaset.Lead) bool {
	return rec.Switching && rec.Holder == r.HostID && rec.Token == r.heldLease.Token
}

// recordLost reports whether the store has come back from a copy since this switch was
// recorded, and holds no later switch.
func (r *replacement) recordLost(st State) bool {
	rec := st.Leads[r.set.Name]
	return st.Revision.Era > r.recorded.Era && rec.Term <= r.recorded.Term && rec.Token < r.heldLease.Token
}

// recordLead records the primary and ends the switch. It also releases the lease if this
// switch holds it and no other switch of this host needs it.
func (r *replacement) recordLead(ctx context.Context, st State, lead replicaset.Lead) error {
	d := st.Lease
	ownLease := d.Holder == r.HostID && d.Token == r.heldLease.Token && !r.hasOtherSwitches()
	if ownLease {
		d.Holder, d.Until = "", 0
	}
	lead.Switching, lead.TakenOver, lead.Token, lead.Holder, lead.Until = false, false, r.heldLease.Token, "", 0
	rec := st.Leads[r.set.Name]
	lead.Version, lead.PauseTerm, lead.StopPoint = rec.Version, max(rec.PauseTerm, r.recorded.PauseTerm), session.Point{}
	at, err := r.Store.Write(ctx, Change{Read: st, Lease: d, KeepLease: !ownLease, Group: r.set.Name, Lead: lead})
	if err != nil {
		return err
	}
	lead.Era, lead.Version = at.Era, at.Version
	if ownLease {
		d.Era, d.Version = at.Era, at.Version
		st.Lease = d
		r.Observe(st, r.Engine.BootTime())
	}
	r.set.SetLead(r.Engine.BootTime(), lead)
	return nil
}
