package core

import "time"

// Timing holds the delays of the decisions.
type Timing struct {
	// Suspect is the silence after which a primary may be replaced.
	Suspect time.Duration
	// SuspectAlone is the silence towards entry hosts after which a primary
	// is replaced although its replicas still hear it.
	SuspectAlone time.Duration
	// Stagger separates the entry hosts that may attempt a promotion.
	Stagger time.Duration
	// Attempt bounds one promotion attempt.
	Attempt time.Duration
	// Pause is the gap between two steps after which this entry host takes
	// itself to have been paused and distrusts what it saw before.
	Pause time.Duration
	// Confirm is the age of the last confirmation by a majority above which a
	// primary gets no new work.
	Confirm time.Duration
	// LeavingGrace lets running transactions finish on a leaving primary.
	LeavingGrace time.Duration
	// LeavingLimit bounds the wait for a replica that has caught up.
	LeavingLimit time.Duration
	// Repair is the least time between two SendFollow to one endpoint.
	Repair time.Duration
}

// DefaultTiming is used where the settings say nothing else.
var DefaultTiming = Timing{
	Suspect:      500 * time.Millisecond,
	SuspectAlone: 2 * time.Second,
	Stagger:      150 * time.Millisecond,
	Attempt:      time.Second,
	Pause:        250 * time.Millisecond,
	Confirm:      time.Second,
	LeavingGrace: 2 * time.Second,
	LeavingLimit: 5 * time.Second,
	Repair:       200 * time.Millisecond,
}
