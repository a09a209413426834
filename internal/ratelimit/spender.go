package ratelimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// minInterval bounds the messages of a host to 100 per second.
	minInterval = 10 * time.Millisecond
	// answerTimeout is the time after which an unanswered request is repeated with a new sequence number.
	answerTimeout = 300 * time.Millisecond
	// reviewInterval is the time between two reviews of all accounts in use at this host, and between two
	// requests of a host that has a fallback rate but no demand. Two intervals and the variation of the delays
	// must be below silenceLimit, since an answer is confirmed by the next request. At 300 ms, hosts counted as
	// silent for moments.
	reviewInterval = 250 * time.Millisecond
	// idleAfter is the time after its last operation at which an account is dropped.
	idleAfter = 10 * time.Second
	// MaxWait bounds the wait of an operation while the granting host answers.
	MaxWait = 2 * time.Second
	// patience bounds the wait for a generated token.
	patience = 300 * time.Millisecond
	// neverDue is the time of the next request if none will be due without demand.
	neverDue = time.Duration(math.MaxInt64)
	// minRetry is the shortest retry time given to a client.
	minRetry = 10 * time.Millisecond
	// unavailableSpread is the time over which retries are spread when the granting host does not answer.
	unavailableSpread = 2 * time.Second
)

// VerdictKind says what to do with an operation.
type VerdictKind int

const (
	// Allowed means that the operation must be sent before Until.
	Allowed VerdictKind = iota
	// Unknown means that the operation must wait and Retry after the next Receive, or after RetryAfter if that
	// is not 0, for at most WaitLimit.
	Unknown
	// Exceeded means that the operation must be refused, with RetryAfter.
	Exceeded
)

// Verdict is the result of Take and Retry.
type Verdict struct {
	Kind VerdictKind
	// Until is 0 if the account is not limited.
	Until, RetryAfter time.Duration
}

// Spender decides at one host which operations may be sent. Its exported fields are set before use.
type Spender struct {
	Bounds      Bounds
	Host        string
	Incarnation Incarnation

	limits   map[session.Account]Limit
	accounts map[session.Account]*spending
	// queue holds the accounts to include in the next request: those with something to request or report, and
	// those whose last item is not answered yet. askAt is the earliest askAt of the former.
	queue []*spending
	askAt time.Duration

	epoch Epoch
	// sequence is that of the last request, answered that of the last accepted response.
	sequence, answered Sequence
	inFlight           bool
	// confirm is true if the granting host should learn that its last response was received, because that
	// response withdrew a fallback rate and no other request may follow.
	confirm bool
	// announced is true if a request is due because the granting host has changed.
	announced bool
	// lastSent is when the last request was sent, unansweredSince when the first one after the last answer was.
	lastSent, unansweredSince time.Duration
	nextReview                time.Duration
	fallback                  fallback
	retries                   spreader
	stats                     SpenderStats
}

// fallback says when this host may generate tokens itself.
type fallback struct {
	// epoch is that of the valid fallback rates, 0 while the granting host recovers.
	epoch Epoch
	// from and until bound the generation.
	from, until time.Duration
}

func (f fallback) active(now time.Duration) bool {
	return now >= f.from && now < f.until
}

// spreader returns evenly spread numbers.
type spreader float64

// next returns the next number in [0, 1). Successive numbers are a golden ratio apart, which spreads any count of
// them evenly.
func (p *spreader) next() float64 {
	_, frac := math.Modf(float64(*p) + math.Phi)
	*p = spreader(frac)
	return frac
}

// SetLimits replaces the limits. The map must not be changed afterwards.
func (s *Spender) SetLimits(limits map[session.Account]Limit) {
	s.limits = limits
	for a, st := range s.accounts {
		l, ok := limits[a]
		if !ok {
			s.remove(st)
			continue
		}
		if l == st.limit {
			continue
		}
		st.limit = l
		st.emptyUntil = 0
		s.enqueue(st, 0)
	}
}

// Take decides about a new operation. If it returns Unknown, the operation counts as waiting until Retry returns
// another verdict or Abandon is called.
func (s *Spender) Take(now time.Duration, a session.Account) Verdict {
	st := s.accounts[a]
	if st == nil {
		l, ok := s.limits[a]
		if !ok {
			return Verdict{Kind: Allowed}
		}
		if l.blocked() {
			return s.refuseBlocked()
		}
		st = s.add(now, a, l)
	}
	v := s.decide(now, st)
	if v.Kind == Unknown {
		st.waiting++
		s.enqueue(st, st.emptyUntil)
	}
	return v
}

// Retry decides about a waiting operation.
func (s *Spender) Retry(now time.Duration, a session.Account) Verdict {
	st := s.accounts[a]
	if st == nil {
		return s.Take(now, a)
	}
	v := s.decide(now, st)
	if v.Kind != Unknown {
		st.stopWaiting()
		return v
	}
	// The account has no waiting operations if its limit was removed and set again meanwhile.
	st.waiting = max(st.waiting, 1)
	s.enqueue(st, st.emptyUntil)
	return v
}

// Abandon ends the wait of an operation without a verdict and returns the time after which the client may retry.
// refused is false if the client has gone.
func (s *Spender) Abandon(now time.Duration, a session.Account, refused bool) time.Duration {
	if refused {
		s.stats.Unavailable++
	}
	st := s.accounts[a]
	if st == nil {
		return minRetry
	}
	st.stopWaiting()
	return s.retryAfter(max(st.emptyUntil-now, 0), unavailableSpread)
}

// WaitLimit returns how much longer an operation that waits now should wait before it is refused. It applies when the
// operation begins to wait, and anew after each Receive, up to MaxWait in total.
func (s *Spender) WaitLimit(now time.Duration, a session.Account) time.Duration {
	st := s.accounts[a]
	if st == nil {
		return silenceLimit
	}
	if st.wait && now < st.emptyUntil {
		return st.emptyUntil - now + silenceLimit
	}
	limit := silenceLimit
	if s.unansweredSince > 0 {
		limit = max(s.unansweredSince+silenceLimit-now, 0)
	}
	due := s.nextGenerated(now, st)
	if due == 0 {
		return limit
	}
	due += seconds(min(float64(max(st.waiting-1, 0))/st.rate(), MaxWait.Seconds()))
	if due > patience {
		return limit
	}
	return max(limit, patience)
}

func (s *Spender) decide(now time.Duration, st *spending) Verdict {
	if st.limit.blocked() {
		return s.refuseBlocked()
	}
	if until, ok := s.spend(now, st); ok {
		st.use.add(now)
		s.stats.Allowed++
		if st.held() < st.target(now)/2 && now >= st.nextAhead {
			s.enqueue(st, max(st.emptyUntil, 0))
		}
		return Verdict{Kind: Allowed, Until: until}
	}
	if now >= st.emptyUntil {
		return Verdict{Kind: Unknown, RetryAfter: s.nextGenerated(now, st)}
	}
	if st.wait {
		return Verdict{Kind: Unknown, RetryAfter: st.emptyUntil - now}
	}
	s.stats.Exceeded++
	return Verdict{Kind: Exceeded, RetryAfter: s.retryAfter(st.emptyUntil-now, st.spread)}
}

func (s *Spender) refuseBlocked() Verdict {
	s.stats.Exceeded++
	return Verdict{Kind: Exceeded, RetryAfter: s.retryAfter(s.Bounds.Window, s.Bounds.Window)}
}

// spend uses a granted or a generated token and returns the time before which the operation must be sent.
func (s *Spender) spend(now time.Duration, st *spending) (time.Duration, bool) {
	s.stats.Expired += uint64(st.expire(now))
	if until, ok := st.takeToken(); ok {
		return until, true
	}
	if !s.hasFallback(st) || !s.fallback.active(now) {
		return 0, false
	}
	if !st.generate(now, s.fallback.from, s.reach()) {
		return 0, false
	}
	s.stats.Fallback++
	st.generated++
	s.enqueue(st, 0)
	return now + s.Bounds.Validity(st.limit), true
}

// hasFallback reports whether the account has a fallback rate of the epoch in force.
func (s *Spender) hasFallback(st *spending) bool {
	return st.rate() > 0 && st.partEpoch == s.fallback.epoch
}

// reach is the longest time between the grants of two operations in one window.
func (s *Spender) reach() time.Duration { return s.Bounds.Window + maxValidity }

// nextGenerated returns the time until the next generated token, or 0 if there will be none.
func (s *Spender) nextGenerated(now time.Duration, st *spending) time.Duration {
	if !s.hasFallback(st) {
		return 0
	}
	start := max(now, s.fallback.from)
	missing := 1 - st.generatedPart(start, s.fallback.from, s.reach())
	if start.Seconds()+missing/st.rate() >= s.fallback.until.Seconds() {
		return 0
	}
	at := start + seconds(missing/st.rate())
	return max(at-now, time.Millisecond)
}

// retryAfter returns a retry time of at least base, spread evenly over the given time.
func (s *Spender) retryAfter(base, spread time.Duration) time.Duration {
	if s.retries == 0 {
		s.retries = spreader(float64(xxhash.Sum64String(s.Host)>>11) / (1 << 53))
	}
	return max(base, minRetry) + time.Duration(s.retries.next()*float64(spread))
}

func (s *Spender) add(now time.Duration, a session.Account, l Limit) *spending {
	if s.accounts == nil {
		s.accounts = make(map[session.Account]*spending)
	}
	st := &spending{account: a, limit: l, created: now}
	s.accounts[a] = st
	return st
}

func (s *Spender) remove(st *spending) {
	st.removed = true
	delete(s.accounts, st.account)
	// Its fallback rate is known to the granting host, which ends it when a request confirms the response.
	s.confirm = s.confirm || st.part > 0
}

// enqueue includes the account in a request from time at on.
func (s *Spender) enqueue(st *spending, at time.Duration) {
	if !st.queued {
		if !st.listed {
			s.queue = append(s.queue, st)
			st.listed = true
		}
		st.queued = true
		st.askAt = at
	}
	st.askAt = min(st.askAt, at)
	s.askAt = min(s.askAt, st.askAt)
}

// Stats returns the counters.
func (s *Spender) Stats(now time.Duration) SpenderStats {
	out := s.stats
	out.Accounts = len(s.accounts)
	for _, st := range s.accounts {
		if s.hasFallback(st) && now < s.fallback.until {
			out.FallbackAccounts++
		}
	}
	out.InFallback = s.fallback.active(now)
	return out
}

func seconds(f float64) time.Duration {
	return time.Duration(f * float64(time.Second))
}
