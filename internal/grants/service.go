package grants

import (
	"context"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/ratelimit"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// exchangeTimeout bounds the wait for the granting host's response. It is half of the time
	// after which a host without a response generates tokens itself.
	exchangeTimeout = 300 * time.Millisecond
	// maxRest bounds the sleep of the exchange loop.
	maxRest = time.Second
	// failedRest is the pause after a request that got no response.
	failedRest = 50 * time.Millisecond
)

// Service applies the limits of accounts on one host. Exported fields must be set before Run.
type Service struct {
	// Host is this host's name, Incarnation the number of its process.
	Host        string
	Incarnation ratelimit.Incarnation
	Bounds      ratelimit.Bounds
	// BootTime returns the time since boot from a clock that also counts the time during which
	// the host is suspended.
	BootTime func() replicaset.Instant
	// Bootstrap is true if the whole fleet starts for the first time, so that no lease can have
	// been lost.
	Bootstrap bool
	// Exchange sends a request for tokens to another host.
	Exchange func(ctx context.Context, host string, r ratelimit.Request) (ratelimit.Response, error)
	// Rank returns this host's position in the order in which hosts take over the lease, false if
	// it does not take part.
	Rank func() (int, bool)
	// ReadLease reads the lease from the store, WriteLease replaces it if it has not changed since
	// it was read. announce also tells all hosts of the holder.
	ReadLease  func(ctx context.Context) (Lease, error)
	WriteLease func(ctx context.Context, old, next Lease, announce bool) (Lease, error)
	// Event receives each change of the granting host; it must not block. It may be nil.
	Event func(decision, about, reason string)

	mu      sync.Mutex
	spender ratelimit.Spender
	granter ratelimit.Granter
	limits  map[session.Account]ratelimit.Limit
	// changed is closed and replaced after each response, to wake the operations that wait.
	changed chan struct{}
	// demand receives a value when an operation waits for tokens.
	demand chan struct{}
	// holder is the granting host as announced, and heldUntil the end of its lease as far as this
	// host knows.
	holder    string
	heldUntil replicaset.Instant
	// failingSince is when the first request without a response since the last one was sent, 0
	// for none.
	failingSince replicaset.Instant
	lease        leaseState
	initOnce     sync.Once
}

func (s *Service) init() {
	s.initOnce.Do(func() {
		s.spender.Bounds, s.spender.Host, s.spender.Incarnation = s.Bounds, s.Host, s.Incarnation
		s.granter.Bounds = s.Bounds
		s.changed, s.demand = make(chan struct{}), make(chan struct{}, 1)
	})
}

// SetLimits puts the limits of the accounts in force.
func (s *Service) SetLimits(limits map[session.Account]ratelimit.Limit) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.spender.SetLimits(limits)
	s.granter.SetLimits(s.now(), limits)
	s.wake()
}

// SetHolder sets the granting host as announced in the store; it is empty if none is known. This host
// answers an announcement with a request, so that a new granting host hears of it.
func (s *Service) SetHolder(host string) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	released := host == "" && s.holder != ""
	s.holder = host
	if host != "" {
		// Also for the same host, which may have restarted.
		s.lease.vacant = false
		s.spender.Announce()
	}
	if rank, ok := s.Rank(); released && ok {
		s.lease.vacated(s.BootTime(), rank)
	}
	s.requestSoon()
}

// SetHosts sets the names of the listed hosts, to which this host gives fallback rates if it grants.
func (s *Service) SetHosts(names []string) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granter.SetHosts(s.now(), names)
}

// now returns the time since boot.
func (s *Service) now() time.Duration { return time.Duration(s.BootTime()) }

// Run exchanges requests for tokens and keeps the lease until the context ends.
func (s *Service) Run(ctx context.Context) {
	s.init()
	var wg sync.WaitGroup
	wg.Go(func() { s.runLease(ctx) })
	for ctx.Err() == nil {
		s.exchange(ctx)
	}
	wg.Wait()
}

// Admit asks for one operation of an account, and waits for the decision until the deadline at
// most. The operation must be sent before sendBy, 0 if the account has no limit. A refusal is an
// *engine.LimitError.
func (s *Service) Admit(deadline time.Time, a session.Account) (sendBy replicaset.Instant, err error) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.spender.Take(s.now(), a)
	if v.Kind != ratelimit.Unknown {
		return s.decided(v)
	}
	s.requestSoon()
	if last := time.Now().Add(ratelimit.MaxWait); last.Before(deadline) {
		deadline = last
	}
	giveUp := time.Now().Add(s.spender.WaitLimit(s.now(), a))
	for v.Kind == ratelimit.Unknown {
		if deadline.Before(giveUp) {
			giveUp = deadline
		}
		rest := time.Until(giveUp)
		if rest <= 0 {
			return 0, &engine.LimitError{RetryAfter: s.spender.Abandon(s.now(), a, true), Undecided: true}
		}
		if v.RetryAfter > 0 {
			rest = min(rest, v.RetryAfter)
		}
		answered := s.awaitChange(rest)
		v = s.spender.Retry(s.now(), a)
		if answered {
			giveUp = time.Now().Add(s.spender.WaitLimit(s.now(), a))
		}
	}
	return s.decided(v)
}

// decided returns the result of Admit for a verdict other than Unknown.
func (s *Service) decided(v ratelimit.Verdict) (replicaset.Instant, error) {
	if s.spender.NextRequest(s.now()) <= s.now() {
		s.requestSoon()
	}
	if v.Kind == ratelimit.Exceeded {
		return 0, &engine.LimitError{RetryAfter: v.RetryAfter}
	}
	return replicaset.Instant(v.Until), nil
}

// awaitChange waits for the next response, at most for the given time, and reports whether there was
// one. The caller holds s.mu.
func (s *Service) awaitChange(limit time.Duration) bool {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
		return false
	}
}

// wake lets the operations that wait look again.
func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// requestSoon ends the sleep of the exchange loop.
func (s *Service) requestSoon() {
	select {
	case s.demand <- struct{}{}:
	default:
	}
}

// exchange sends the next request if one is due, and sleeps otherwise.
func (s *Service) exchange(ctx context.Context) {
	s.mu.Lock()
	now := s.now()
	r, due := s.spender.Request(now)
	next, holder := s.spender.NextRequest(now), s.holder
	s.mu.Unlock()
	if !due {
		s.rest(ctx, min(max(next-now, time.Millisecond), maxRest))
		return
	}
	a, err := s.ask(ctx, holder, r)
	if err != nil {
		s.noteFailure(replicaset.Instant(now))
		pause.For(ctx, failedRest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failingSince = 0
	s.spender.Receive(s.now(), now, a)
	s.heldUntil = max(s.heldUntil, replicaset.Instant(now+a.Lease))
	s.wake()
}

func (s *Service) noteFailure(sentAt replicaset.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince == 0 {
		s.failingSince = sentAt
	}
}

// ask sends a request to the granting host, which may be this one.
func (s *Service) ask(ctx context.Context, holder string, r ratelimit.Request) (ratelimit.Response, error) {
	if holder == "" {
		return ratelimit.Response{}, errNotHolder
	}
	if holder != s.Host {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		return s.Exchange(ctx, holder, r)
	}
	if a, ok := s.Grant(r); ok {
		return a, nil
	}
	return ratelimit.Response{}, errNotHolder
}

// rest sleeps until there is demand, at most for the given time.
func (s *Service) rest(ctx context.Context, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.demand:
	case <-t.C:
	}
}

// Grant answers another host's request for tokens. It returns false if this host does not hold the
// lease.
func (s *Service) Grant(r ratelimit.Request) (ratelimit.Response, bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	end, ok := s.lease.grantsUntil(s.BootTime())
	if !ok {
		return ratelimit.Response{}, false
	}
	a := s.granter.Grant(s.now(), time.Duration(end), r)
	return a, a.Epoch != 0
}

// Stats returns the counters of both sides, and whether this host grants.
func (s *Service) Stats() (spender ratelimit.SpenderStats, granter ratelimit.GranterStats, granting bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	_, granting = s.lease.grantsUntil(s.BootTime())
	return s.spender.Stats(s.now()), s.granter.Stats(), granting
}

// Busiest returns the n accounts with the most use and the use of all others, if this host grants.
func (s *Service) Busiest(n int) ([]ratelimit.Usage, float64) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.lease.grantsUntil(s.BootTime()); !ok {
		return nil, 0
	}
	return s.granter.Busiest(n)
}

func (s *Service) emit(decision, about, reason string) {
	if s.Event != nil {
		s.Event(decision, about, reason)
	}
}
