package grants

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/ratelimit"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
)

const (
	// LeaseTime is how long a host may grant without renewing its lease. The next one can start only
	// after that. Outages of the store of 5.5 to 9 s ended a lease of 6 s. Longer ones are bridged by
	// the fallback rates of the hosts.
	LeaseTime = 10 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 2 * time.Second
	// leaseMargin is added to the end of another host's lease for the difference of the clocks.
	leaseMargin = time.Second
	// eraTime is how long no host takes the lease after it first saw an era of the store: the
	// store may have lost a lease that is still in use, or fallback rates that were given under it.
	eraTime = LeaseTime + ratelimit.FallbackTime + leaseMargin
	// leaseCheckInterval is the time between two checks of the lease's state.
	leaseCheckInterval = 200 * time.Millisecond
	// rankDelay is the delay between hosts of consecutive ranks when a lease has to be taken over.
	rankDelay = 150 * time.Millisecond
	// maxRankDelay bounds that delay. Hosts of the last ranks only matter if all others are gone.
	maxRankDelay = 3 * time.Second
	// candidates is the number of hosts that watch the lease although they have no demand. Others
	// do so only after their requests have failed for starvedAfter.
	candidates   = 4
	starvedAfter = 1500 * time.Millisecond
	// readInterval is the pause after the lease was found to be held by another host, or could not
	// be read.
	readInterval = 2 * time.Second
	// EpochsPerEra is the number of epochs in an era of the store. An epoch that the store lost is
	// not given out again in a later era.
	EpochsPerEra = 1 << 32
)

var (
	errNotHolder = errors.New("this host does not hold the lease of the limits")
	// ErrConflict reports that the lease has changed since it was read.
	ErrConflict = errors.New("the lease of the limits has changed")
)

// Lease is the lease of the host that grants the limits of accounts, as recorded in the store.
type Lease struct {
	// Holder is the host's name. It keeps its name when the lease is released.
	Holder   string
	Epoch    ratelimit.Epoch
	Released bool
	// Until is the end of the lease on the store's clock. Fallback rates that were given under the
	// lease may be in use for ratelimit.FallbackTime after it, also after its release.
	Until time.Duration
	// FilledAt is when a term last began with filled buckets, on the store's clock, 0 if never.
	FilledAt time.Duration
	// Era is the era of the store in which the lease was written.
	Era revision.Era
	// ReadEra is the era in which it was read, Version its version, 0 if there is none, and Now the
	// store's clock at that time.
	ReadEra revision.Era
	Version revision.Version
	Now     time.Duration
	// SentAt is when the call was sent that read or wrote the lease.
	SentAt replicaset.Instant
}

// leaseState is what this host knows of its own lease, and when it acts next.
type leaseState struct {
	held Lease
	// until is the end of the lease that this host holds, 0 if it holds none.
	until replicaset.Instant
	// renewAt is when the lease is renewed, and nextTry when this host may try to take it.
	renewAt, nextTry replicaset.Instant
	// era is the store's era, eraSeen when this host first saw it. firstEra is the first one
	// that this process saw.
	era, firstEra revision.Era
	eraSeen       replicaset.Instant
	// shown is the version of the lease in the store that this host read last, and shownAt when it
	// first read it.
	shown   revision.Version
	shownAt replicaset.Instant
	// attempt is the recovery of the last attempt to take the lease.
	attempt ratelimit.Recovery
	// vacant is set after the lease was released, until a holder is known.
	vacant bool
	// stopping is set when this host gives up granting for good.
	stopping bool
}

// grantsUntil returns the end of the lease, false if this host does not hold it.
func (l *leaseState) grantsUntil(now replicaset.Instant) (replicaset.Instant, bool) {
	return l.until, !l.stopping && now < l.until
}

// runLease takes, renews and checks the lease until the context ends.
func (s *Service) runLease(ctx context.Context) {
	for pause.For(ctx, leaseCheckInterval) && s.checkLease(ctx) {
	}
}

// checkLease renews or takes the lease if that is due. It returns false once this host has given up
// granting for good.
func (s *Service) checkLease(ctx context.Context) bool {
	s.mu.Lock()
	now := s.BootTime()
	held, stopping := now < s.lease.until, s.lease.stopping
	renew := held && now >= s.lease.renewAt
	take := !held && now >= s.lease.nextTry && s.wantsLease(now)
	s.mu.Unlock()
	switch {
	case stopping:
		return false
	case renew:
		s.renew(ctx)
	case take:
		s.take(ctx)
	}
	return true
}

// wantsLease reports whether this host should try to take the lease: no holder is known, this host
// is the holder, or the holder's lease has ended. Hosts of later ranks wait longer.
func (s *Service) wantsLease(now replicaset.Instant) bool {
	if len(s.limits) == 0 {
		return false
	}
	rank, ok := s.Rank()
	if s.holder == s.Host {
		return true
	}
	if !ok || rank >= candidates && !s.lease.vacant && (s.failingSince == 0 || now.Sub(s.failingSince) < starvedAfter) {
		return false
	}
	if s.lease.nextTry == 0 && (s.holder == "" || s.heldUntil == 0) {
		// The host has just started: the holder may answer, or others may take the lease first.
		s.lease.nextTry = now.Add(readInterval + rankDelays(rank))
		if s.holder == "" && s.Bootstrap {
			s.lease.nextTry = now.Add(rankDelays(rank))
		}
		return false
	}
	return s.holder == "" || now >= s.heldUntil.Add(leaseMargin+rankDelays(rank))
}

// vacated lets this host take a lease that was released. All hosts may: those that come first in the
// order may be stopping, too.
func (l *leaseState) vacated(now replicaset.Instant, rank int) {
	l.vacant, l.nextTry = true, now.Add(rankDelays(rank))
}

func rankDelays(rank int) time.Duration { return min(time.Duration(rank)*rankDelay, maxRankDelay) }

// take tries to take the lease.
func (s *Service) take(ctx context.Context) {
	old, err := s.ReadLease(ctx)
	now := s.BootTime()
	if err != nil {
		s.retryLease(now.Add(readInterval), err)
		return
	}
	s.mu.Lock()
	wait := s.lease.untilFree(old, s.Host, s.Bootstrap, now)
	if old.Holder != "" && !old.Released {
		s.heldUntil = max(s.heldUntil, old.SentAt.Add(old.Until-old.Now))
	}
	s.mu.Unlock()
	if wait > 0 {
		s.retryLease(now.Add(min(wait, readInterval)), nil)
		return
	}
	next := Lease{
		Holder: s.Host, Epoch: nextEpoch(old), Until: old.Now + LeaseTime, FilledAt: old.FilledAt, Era: old.ReadEra,
	}
	s.mu.Lock()
	recovery := s.lease.recoveryFrom(old, next, s.Bounds.StartInterval())
	if recovery.Filled {
		next.FilledAt = old.Now
	}
	s.lease.attempt = recovery
	s.mu.Unlock()
	written, err := s.WriteLease(ctx, old, next, true)
	if err != nil {
		s.retryLease(s.BootTime().Add(readInterval), err)
		return
	}
	if s.begin(written, old, recovery) {
		return
	}
	if err := s.release(ctx, written); err != nil {
		s.emit("limits_lease_kept", s.Host, err.Error())
	}
}

// begin starts granting under a lease that this host has taken. It returns false if the host has
// stopped meanwhile.
func (s *Service) begin(written, old Lease, recovery ratelimit.Recovery) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease.stopping {
		return false
	}
	s.lease.hold(written, old.SentAt)
	s.granter.Start(s.now(), recovery)
	s.granter.SetLimits(s.now(), s.limits)
	s.holder = s.Host
	s.spender.Announce()
	s.requestSoon()
	s.emit("limits_granted_here", s.Host, fmt.Sprintf("epoch %d, the former lease was held by %q", written.Epoch, old.Holder))
	return true
}

// recoveryFrom returns how this host takes over from a lease, whoever held it. Fallback rates that
// were given under it may be in use after its end, unless it is one that this process wrote, without
// an answer, and never granted under.
func (l *leaseState) recoveryFrom(old, next Lease, startInterval time.Duration) ratelimit.Recovery {
	r := ratelimit.Recovery{Epoch: next.Epoch}
	r.Filled = old.FilledAt == 0 || old.Now-old.FilledAt >= startInterval
	switch left := old.Until + ratelimit.FallbackTime - old.Now; {
	case old.Version != 0 && old.Epoch == l.attempt.Epoch && l.held.Epoch != old.Epoch:
		r.ReducedUntil, r.Filled = l.attempt.ReducedUntil, l.attempt.Filled
	case old.Version != 0 && left > 0:
		r.ReducedUntil = time.Duration(old.SentAt.Add(left))
	}
	return r
}

// hold notes a lease that was written on the basis of what the store showed at shownAt.
func (l *leaseState) hold(written Lease, shownAt replicaset.Instant) {
	l.held = written
	l.until = shownAt.Add(LeaseTime)
	l.renewAt = shownAt.Add(renewInterval)
}

// untilFree returns how long this host has to wait before it may take a lease, 0 if it may now.
func (l *leaseState) untilFree(old Lease, host string, bootstrap bool, now replicaset.Instant) time.Duration {
	if l.eraSeen == 0 {
		l.firstEra = old.ReadEra
	}
	if old.ReadEra != l.era || l.eraSeen == 0 {
		l.era, l.eraSeen = old.ReadEra, now
	}
	first := bootstrap && old.ReadEra == l.firstEra
	lost := old.Version == 0 && !first || old.Version != 0 && old.Era != old.ReadEra
	if left := l.eraSeen.Add(eraTime).Sub(now); lost && left > 0 {
		return left
	}
	if old.Version == 0 || old.Released || old.Holder == host {
		return 0
	}
	if old.Version != l.shown || l.shownAt == 0 {
		l.shown, l.shownAt = old.Version, now
	}
	// A lease that was not renewed for its time has ended, also if its end can't be read.
	unchanged := l.shownAt.Add(LeaseTime + leaseMargin).Sub(now)
	return max(min(old.Until+leaseMargin-old.Now, unchanged), 0)
}

// nextEpoch returns an epoch above that of a lease and above all those of earlier eras.
func nextEpoch(old Lease) ratelimit.Epoch {
	return max(old.Epoch+1, ratelimit.Epoch(old.ReadEra)*EpochsPerEra)
}

// retryLease sets the time of the next attempt.
func (s *Service) retryLease(at replicaset.Instant, err error) {
	if err != nil && !errors.Is(err, ErrConflict) {
		s.emit("limits_lease_failed", s.Host, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.nextTry = at
}

// renew extends the lease that this host holds. If the lease turns out to be lost, it ends at
// once.
func (s *Service) renew(ctx context.Context) {
	s.mu.Lock()
	old := s.lease.held
	// After a restore of the store, another host or none may be announced.
	announce := s.holder != s.Host
	s.mu.Unlock()
	sentAt := s.BootTime()
	next := old
	next.Until, next.Era = old.Now+sentAt.Sub(old.SentAt)+LeaseTime, old.ReadEra
	written, err := s.WriteLease(ctx, old, next, announce)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lease.hold(written, sentAt)
		return
	}
	s.emit("limits_lease_not_renewed", s.Host, err.Error())
	var shown Lease
	if errors.Is(err, ErrConflict) {
		shown, err = s.ReadLease(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.renewAt = s.BootTime().Add(renewInterval / 4)
	switch {
	case err != nil:
	case s.lease.survives(shown):
		s.lease.held.Version, s.lease.held.ReadEra = shown.Version, shown.ReadEra
		s.lease.held.Now, s.lease.held.SentAt = shown.Now, shown.SentAt
		s.lease.renewAt = 0
	default:
		s.lease.until = 0
	}
}

// survives reports whether the lease that this host holds is in force although the store shows
// another version: the answer to a renewal was lost, or the store has come back from a copy with an
// earlier lease, which no other host may take over yet.
func (l *leaseState) survives(shown Lease) bool {
	copied := shown.ReadEra > l.held.ReadEra && (shown.Version == 0 || shown.Era < shown.ReadEra) && shown.Epoch <= l.held.Epoch
	return copied || shown.Holder == l.held.Holder && shown.Epoch == l.held.Epoch && !shown.Released
}

// Stop ends granting on this host and releases the lease, so that another host can take it.
func (s *Service) Stop(ctx context.Context) {
	s.init()
	s.mu.Lock()
	held := s.BootTime() < s.lease.until
	s.lease.stopping = true
	old := s.lease.held
	s.mu.Unlock()
	if !held {
		return
	}
	err := s.release(ctx, old)
	if errors.Is(err, ErrConflict) {
		// A renewal may have taken effect without an answer, or runs.
		if shown, readErr := s.ReadLease(ctx); readErr == nil && shown.Holder == old.Holder && shown.Epoch == old.Epoch {
			err = s.release(ctx, shown)
		}
	}
	if err != nil {
		s.emit("limits_lease_kept", s.Host, err.Error())
		return
	}
	s.emit("limits_released", s.Host, "")
}

// release marks a lease of this host as released.
func (s *Service) release(ctx context.Context, held Lease) error {
	next := held
	next.Released = true
	_, err := s.WriteLease(ctx, held, next, true)
	return err
}
