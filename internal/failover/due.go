package failover

import (
	"context"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/pause"
)

const (
	// checkInterval is the minimum time between two checks of the groups that are due.
	checkInterval = 60 * time.Millisecond
	// idleInterval is the time between two checks while no group is due.
	idleInterval = time.Second
)

// Run checks the groups that are due until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.wg.Wait()
	for m.awaitDue(ctx) {
		m.check(ctx)
	}
	return nil
}

// check runs all checks that are due. A group is due after a change, and for as long as it may
// need a check without a further one.
func (m *Manager) check(ctx context.Context) {
	m.checkEra(ctx)
	for _, set := range m.Engine.FailoverChecks.Take() {
		m.checkGroup(ctx, set)
		if set.Unsettled(m.Engine.BootTime()) {
			m.Engine.FailoverChecks.Add(set)
		}
	}
	m.checkMemberships(ctx)
	m.checkUnconfirmed(ctx)
}

// awaitDue waits for checkInterval, and then until a check is due. It returns false once the
// context has ended.
func (m *Manager) awaitDue(ctx context.Context) bool {
	if !pause.For(ctx, checkInterval) {
		return false
	}
	e := m.Engine
	if e.FailoverChecks.Len() > 0 || e.MembershipChecks.Len() > 0 || e.ConfirmationChecks.Len() > 0 || m.eraPending() {
		return true
	}
	t := time.NewTimer(idleInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-e.FailoverChecks.Ready():
	case <-e.MembershipChecks.Ready():
	case <-e.ConfirmationChecks.Ready():
	case <-t.C:
	}
	return true
}
