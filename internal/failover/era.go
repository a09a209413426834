package failover

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// eraSettleTime is how long a host waits after it first saw an era before it opens it.
	// The holder of a lease that the store has lost saw it there before any host saw the new
	// era, so that no promote call of such a holder is in flight any more.
	eraSettleTime = leaseProofTime + promoteTimeout + eraSettleMargin
	// eraSettleMargin is for the time between the last check of a lease and the call.
	eraSettleMargin = 250 * time.Millisecond
	// eraRetryInterval is the pause after a failed attempt to open an era.
	eraRetryInterval = time.Second
	// maxEraStagger bounds the random delay that keeps hosts from opening an era all at once.
	maxEraStagger = 2 * time.Second
)

// eraState is what a host knows of the store's era.
type eraState struct {
	era   revision.Era
	known bool
	// openAt is when this host opens the era, unless another host has.
	openAt replicaset.Instant
	// openedAt is the version of the record that opens the era, 0 if there is none. Leases
	// and switches that were recorded before it are over.
	openedAt revision.Version
	// terms has the groups that were confirmed when the era was opened, primaries who led then.
	terms     map[session.Group]session.Term
	primaries map[session.Group]replicaset.EndpointID
	// opening is set while this host opens the era.
	opening bool
}

// observe takes in the era of a state. It returns false if the state is of an earlier era.
func (s *eraState) observe(st State, now replicaset.Instant) bool {
	if s.known && st.Revision.Era < s.era {
		return false
	}
	if !s.known || st.Revision.Era > s.era {
		*s = eraState{era: st.Revision.Era, known: true, openAt: now.Add(eraSettleTime), opening: s.opening}
	}
	if o := st.opening(); o.Version > s.openedAt {
		s.openedAt, s.terms, s.primaries = o.Version, o.Terms, o.Primaries
	}
	return true
}

// unconfirmed reports whether the era is open and the record of a group does not prove its lead:
// it may be from before the store came back from a copy.
func (s *eraState) unconfirmed(g session.Group, lead replicaset.Lead) bool {
	if s.openedAt == 0 || lead.Era == s.era && lead.Version > s.openedAt {
		return false
	}
	term, ok := s.terms[g]
	return !ok || lead.Version != 0 && term != lead.Term
}

// over reports whether a lease or switch of the given revision ended before the era was
// opened.
func (s *eraState) over(at revision.Revision) bool {
	return s.openedAt != 0 && at.Less(revision.Revision{Era: s.era, Version: s.openedAt})
}

// due reports whether this host is to open the era.
func (s *eraState) due(now replicaset.Instant) bool {
	return s.known && s.openedAt == 0 && !s.opening && now >= s.openAt
}

// eraPending reports whether this host has seen an era that is not open yet.
func (m *Manager) eraPending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era.known && m.era.openedAt == 0
}

// checkEra opens the store's era in the background once no earlier lease can be in force.
func (m *Manager) checkEra(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.era.due(m.Engine.BootTime()) {
		return
	}
	m.era.opening = true
	spread := min(time.Duration(m.hostCount+1)*staggerPerHost, maxEraStagger)
	m.wg.Add(1)
	go guard.Run("opening of an era", m.Engine.ReportPanic, func() {
		defer m.wg.Done()
		defer m.endOpening()
		m.openEra(ctx, rand.N(spread))
	})
}

func (m *Manager) endOpening() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era.opening = false
	m.era.openAt = max(m.era.openAt, m.Engine.BootTime().Add(eraRetryInterval))
}

// closedEra returns the era that this host knows, false if it is open.
func (m *Manager) closedEra() (revision.Era, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era.era, m.era.openedAt == 0
}

// awaitClosedEra waits for a delay and returns the store's era, false if another host has
// opened it meanwhile.
func (m *Manager) awaitClosedEra(ctx context.Context, delay time.Duration) (revision.Era, bool) {
	for end := m.Engine.BootTime().Add(delay); ; {
		era, closed := m.closedEra()
		left := end.Sub(m.Engine.BootTime())
		if !closed || left <= 0 {
			return era, closed
		}
		if !pause.For(ctx, min(checkInterval, left)) {
			return era, false
		}
	}
}

// openEra records the opening of the store's era after a delay, unless another host has
// recorded it meanwhile.
func (m *Manager) openEra(ctx context.Context, delay time.Duration) {
	era, ok := m.awaitClosedEra(ctx, delay)
	// A host that does not know the groups yet can't confirm their terms.
	if !ok || len(m.Engine.Groups()) == 0 {
		return
	}
	readAt := m.Engine.BootTime()
	st, err := m.Store.Read(ctx)
	if err != nil {
		m.event("", "", "era_not_opened", err.Error())
		return
	}
	m.Observe(st, readAt)
	if st.Revision.Era != era || st.opening().Version != 0 {
		return
	}
	opening := m.confirmLeads(ctx)
	err = m.Store.OpenEra(ctx, st, opening)
	switch {
	case err == nil:
		m.event("", "", "era_opened", fmt.Sprintf("era %d, %d of %d groups confirmed", era, len(opening.Terms), len(m.Engine.Groups())))
	case !errors.Is(err, ErrConflict):
		m.event("", "", "era_not_opened", err.Error())
	}
}

// confirmLeads returns an opening with the primary and the term of each group whose members all
// report it.
func (m *Manager) confirmLeads(ctx context.Context) EraOpening {
	o := EraOpening{Terms: make(map[session.Group]session.Term), Primaries: make(map[session.Group]replicaset.EndpointID)}
	for _, set := range m.Engine.Groups() {
		if lead, ok := m.confirmLead(ctx, set); ok {
			o.Terms[set.Name], o.Primaries[set.Name] = lead.Term, lead.ID
		}
	}
	return o
}

// adoptPrimaries adopts the primaries that led when the era was opened, in groups of which this host
// knows none. A group that was switched since has a record.
func (m *Manager) adoptPrimaries(now replicaset.Instant) {
	for g, id := range m.era.primaries {
		set := m.Engine.Group(g)
		if lead := set.Lead(); lead.ID == "" && lead.Version == 0 {
			set.AdoptReportedLead(now, replicaset.Lead{ID: id, Term: m.era.terms[g]}, 0)
		}
	}
}

// confirmLead returns the primary of a group if all members report, and none is in a later term.
func (m *Manager) confirmLead(ctx context.Context, set *replicaset.Set) (replicaset.Lead, bool) {
	members := set.Members()
	reports := m.controlAll(ctx, members, engine.Op{Kind: engine.OpStatus})
	if len(members) == 0 || len(reports) != len(members) {
		return replicaset.Lead{}, false
	}
	var lead replicaset.Lead
	for id, st := range reports {
		switch {
		case st.Term > lead.Term:
			lead.Term, lead.ID = st.Term, ""
		case st.Term < lead.Term:
			continue
		}
		if st.Role == replicaset.Primary {
			lead.ID = id
		}
	}
	return lead, lead.ID != ""
}

// unreadableTime is how long a group's record must have been unreadable before it is written
// again. A switch that was recorded before has ended by then.
const unreadableTime = leaseTime + leaseMargin

// recordAgain records the known primary of a group whose record the store has lost, or cannot
// be read.
func (m *Manager) recordAgain(ctx context.Context, set *replicaset.Set) {
	st, err := m.Store.Read(ctx)
	lead := set.Lead()
	unreadable := err == nil && st.Unreadable[set.Name] && set.UnreadableFor(m.Engine.BootTime()) >= unreadableTime
	if err == nil && !unreadable && (!set.RecordOutdated() || lead.Switching || st.Leads[set.Name].Revision() != lead.Revision()) {
		return
	}
	if unreadable && m.finishSwitch(ctx, set, lead) {
		return
	}
	if err == nil {
		r := &replacement{Manager: m, set: set, old: lead, heldLease: Lease{Token: lead.Token}}
		err = r.recordLead(ctx, st, lead)
	}
	if err != nil {
		m.event(set.Name, lead.ID, "record_failed", err.Error())
		return
	}
	m.event(set.Name, lead.ID, "recorded_again", "the store had lost the record of this primary")
}
