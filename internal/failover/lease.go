package failover

import (
	"context"
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// claimSwitch acquires the promotion lease and records that the group is switching.
func (r *replacement) claimSwitch(ctx context.Context, term session.Term) error {
	requestedAt := r.Engine.BootTime()
	st, err := r.Store.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the lease and leads: %w", err)
	}
	r.Observe(st, requestedAt)
	opening := st.opening()
	if opening.Version == 0 {
		return errEraNotOpen
	}
	ended := st.Lease.Version < opening.Version
	if !ended && st.Lease.Holder != "" && st.Lease.Holder != r.HostID && st.Now <= st.Lease.Until+leaseMargin {
		return errLeaseHeld
	}
	if recorded := st.Leads[r.set.Name]; recorded.Revision() != r.suspected {
		// The suspicion was about an earlier primary.
		if recorded.Version != 0 && !st.Unreadable[r.set.Name] {
			r.set.SetLead(r.Engine.BootTime(), recorded)
		}
		return errRecordChanged
	}
	d := st.Lease
	if ended || d.Holder != r.HostID || st.Now > d.Until || !r.hasOtherClaims() {
		d.Token = nextToken(d.Token, st.Revision)
	}
	d.Holder, d.Until = r.HostID, st.Now+leaseTime
	r.old = st.Leads[r.set.Name]
	if r.old.Version <= opening.Version {
		// In a copy of the store, it may be from before later acknowledgements.
		r.old.StopPoint = session.Point{}
	}
	known := r.set.Lead()
	if known.Term > r.old.Term {
		// The store has lost the record of the last promotion.
		r.old.ID, r.old.Term = known.ID, known.Term
	}
	if r.old.ID == "" || r.old.ID == known.ID && r.old.Term == 0 {
		// No promotion is recorded, so the members' term is that of the known primary.
		r.old.ID, r.old.Term = known.ID, max(known.Term, term)
	}
	lead := r.old
	lead.TakenOver = r.old.Switching || st.Unreadable[r.set.Name]
	lead.Switching, lead.Token, lead.Holder, lead.Until = true, d.Token, r.HostID, st.Now+leaseTime
	r.pauseTerm = max(lead.PauseTerm, lead.Term+pauseTermOffset)
	lead.PauseTerm = r.pauseTerm + pauseTermsPerSwitch
	at, err := r.Store.Write(ctx, Change{Read: st, Lease: d, SameMembership: true, Group: r.set.Name, Lead: lead})
	if err != nil {
		return fmt.Errorf("record the switch: %w", err)
	}
	d.Era, d.Version, lead.Era, lead.Version = at.Era, at.Version, at.Era, at.Version
	r.heldLease, r.leaseStart, r.recorded, r.claimed = d, requestedAt, lead, st
	r.leaseShownAt = requestedAt
	st.Lease = d
	r.Observe(st, requestedAt)
	r.set.SetLead(r.Engine.BootTime(), lead)
	return nil
}

// leaseLeft returns the time until the lease expires.
func (r *replacement) leaseLeft() time.Duration {
	return leaseTime - r.Engine.BootTime().Sub(r.leaseStart)
}

// proveLease reads the lease again if the store showed it too long ago.
func (r *replacement) proveLease(ctx context.Context) error {
	requestedAt := r.Engine.BootTime()
	if requestedAt.Sub(r.leaseShownAt) <= leaseProofTime {
		return nil
	}
	st, err := r.Store.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the lease: %w", err)
	}
	if st.Revision.Era != r.heldLease.Era || st.Lease.Holder != r.HostID || st.Lease.Token != r.heldLease.Token {
		return errLeaseLost
	}
	r.leaseShownAt = requestedAt
	if age := r.Engine.BootTime().Sub(requestedAt); age > leaseProofTime {
		return fmt.Errorf("the store showed the lease %s ago", age)
	}
	return nil
}

// releaseLease lets other groups be switched while this switch completes: no further
// promote call is sent with this token. The group stays recorded as switching, with what this switch
// has found out for one that may take over. The lease is kept while this host switches other groups.
func (r *replacement) releaseLease(ctx context.Context) {
	d, keep := r.heldLease, r.hasOtherSwitches()
	d.Holder, d.Until = "", 0
	at, err := r.Store.Write(ctx, Change{Read: r.claimed, Lease: d, KeepLease: keep, Group: r.set.Name, Lead: r.recorded})
	if err != nil {
		r.event(r.set.Name, "", "duty_kept", err.Error())
		return
	}
	if !keep {
		r.heldLease.Version = at.Version
	}
	r.recorded.Version = at.Version
	r.set.SetLead(r.Engine.BootTime(), r.recorded)
}
