package replicaset

// Change says what an event of a group may call for.
type Change uint8

const (
	// StateChanged is a change of the members, the leadership, or the records in the store.
	StateChanged Change = iota
	// WorkChanged is a statement that was sent, failed or was refused, or a report of a later
	// term.
	WorkChanged
)

// report passes an event to OnChange. The caller holds mu.
func (s *Set) report(c Change) {
	if s.OnChange != nil {
		s.OnChange(c)
	}
}

// reportWork reports an event at a member if that is the primary. The caller holds mu.
func (s *Set) reportWork(id EndpointID) {
	if id == s.lead.ID {
		s.report(WorkChanged)
	}
}

// Unsettled reports whether the passage of time alone may give a reason to replace the primary,
// or whether there is one now. If it returns false, there is none before the next call of
// OnChange.
func (s *Set) Unsettled(now Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead.ID == "" {
		return s.earlier.since != 0
	}
	m, ok := s.members[s.lead.ID]
	switch {
	case !ok || m.Draining || m.removedAt != 0:
		return true
	case s.lead.Switching || s.recordOutdated || s.unreadableAt != 0:
		return true
	case s.lead.Version != 0 && s.lead.Term != 0 && s.reportedTerm > s.lead.Term:
		return true
	case m.failingSince != 0 || m.unansweredSince != 0 || s.stuckSince != 0 || s.deposedSince != 0:
		return true
	}
	return m.overloadedAt != 0 && now.Sub(m.overloadedAt) <= maxOverloadGap
}

// Lapsing reports whether Expire may have something to do later without a further change: a
// registration has lapsed, or a loss is remembered.
func (s *Set) Lapsing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lost) > 0 {
		return true
	}
	for _, m := range s.members {
		if m.removedAt != 0 {
			return true
		}
	}
	return false
}
