package failover

import (
	"context"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// confirmInterval is the time between two attempts of one host to confirm a group.
const confirmInterval = time.Second

// checkUnconfirmed starts to confirm the groups that were not confirmed when the era was opened,
// since a member did not report. Without a record that proves the lead, a chain of commit proofs
// that has broken is never begun again.
func (m *Manager) checkUnconfirmed(ctx context.Context) {
	for _, set := range m.Engine.ConfirmationChecks.Take() {
		lead := set.Lead()
		if lead.ID == "" || !m.unconfirmed(set.Name, lead) {
			continue
		}
		m.Engine.ConfirmationChecks.Add(set)
		if lead.Switching || !m.beginConfirm(set.Name, lead) {
			continue
		}
		m.wg.Add(1)
		go guard.Run("confirmation of "+string(set.Name), m.Engine.ReportPanic, func() {
			defer m.wg.Done()
			m.confirm(ctx, set, lead)
		})
	}
}

// unconfirmed reports whether the era is open and the record of a group does not prove its lead.
func (m *Manager) unconfirmed(g session.Group, lead replicaset.Lead) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era.unconfirmed(g, lead)
}

// beginConfirm reports whether a group is to be confirmed now.
func (m *Manager) beginConfirm(g session.Group, lead replicaset.Lead) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Engine.BootTime()
	if now < m.nextConfirm[g] || !m.era.unconfirmed(g, lead) {
		return false
	}
	if m.nextConfirm == nil {
		m.nextConfirm = make(map[session.Group]replicaset.Instant)
	}
	m.nextConfirm[g] = now.Add(confirmInterval)
	return true
}

// confirm writes a group's lead again if all members report it: the record is then from the
// open era.
func (m *Manager) confirm(ctx context.Context, set *replicaset.Set, lead replicaset.Lead) {
	if !pause.For(ctx, m.staggerDelay(set, lead)) || set.Lead().Revision() != lead.Revision() {
		return
	}
	reported, ok := m.confirmLead(ctx, set)
	if !ok || reported.ID != lead.ID || lead.Term != 0 && reported.Term != lead.Term {
		return
	}
	readAt := m.Engine.BootTime()
	st, err := m.Store.Read(ctx)
	if err != nil {
		m.event(set.Name, lead.ID, "not_confirmed", err.Error())
		return
	}
	m.Observe(st, readAt)
	rec := st.Leads[set.Name]
	if _, confirmed := st.Confirmed(set.Name); confirmed || st.opening().Version == 0 || st.Unreadable[set.Name] ||
		rec.Switching || rec.Version != 0 && (rec.ID != reported.ID || rec.Term != reported.Term) {
		return
	}
	r := &replacement{Manager: m, set: set, old: lead, heldLease: Lease{Token: max(rec.Token, lead.Token)}}
	if err := r.recordLead(ctx, st, reported); err != nil {
		m.event(set.Name, lead.ID, "not_confirmed", err.Error())
		return
	}
	m.event(set.Name, lead.ID, "confirmed", "all members report the recorded primary")
}
