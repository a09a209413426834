package core

import "time"

// Timing holds the timeouts and intervals of a Group.
type Timing struct {
	// SuspectTimeout is the time without a report after which a member counts as
	// unreachable and a primary that nobody hears from may be replaced.
	SuspectTimeout time.Duration
	// SuspectPartial is the time after which a primary is replaced that only its
	// replicas or only entry hosts still hear from.
	SuspectPartial time.Duration
	// Stagger is the delay between the promotion attempts of different entry hosts
	// and the unit of the backoff after a failed attempt.
	Stagger time.Duration
	// AttemptTimeout bounds a promotion attempt.
	AttemptTimeout time.Duration
	// PauseThreshold is the gap between two steps above which this entry host
	// assumes that its own process was paused and restarts its timers.
	PauseThreshold time.Duration
	// MaxConfirmationAge is the age of the last majority confirmation above which a
	// primary gets no new writes.
	MaxConfirmationAge time.Duration
	// LeavingGrace is the time that a leaving primary gets to finish running
	// transactions if a replica has caught up.
	LeavingGrace time.Duration
	// LeavingTimeout bounds the wait for a replica to catch up with a leaving primary.
	LeavingTimeout time.Duration
	// FollowInterval is the minimum time between two SendFollow to one endpoint.
	FollowInterval time.Duration
}

// DefaultTiming is used unless the settings override it.
var DefaultTiming = Timing{
	SuspectTimeout:     500 * time.Millisecond,
	SuspectPartial:     2 * time.Second,
	Stagger:            150 * time.Millisecond,
	AttemptTimeout:     time.Second,
	PauseThreshold:     250 * time.Millisecond,
	MaxConfirmationAge: time.Second,
	LeavingGrace:       2 * time.Second,
	LeavingTimeout:     5 * time.Second,
	FollowInterval:     200 * time.Millisecond,
}
