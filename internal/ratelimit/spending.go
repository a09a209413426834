package ratelimit

import (
	"math"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// useTime is the time constant of the recent use.
	useTime = 3 * time.Second
	// aheadTime is the recent use, in time, that a host requests ahead.
	aheadTime = 400 * time.Millisecond
	// aheadInterval is the time between two requests of an account for tokens ahead that were not granted.
	aheadInterval = 100 * time.Millisecond
	// holdTime is the time after which a token requested ahead is given back if the account has no operations.
	holdTime = time.Second
	// minRemaining is the least remaining validity of a token, so that there is time to send the operation.
	minRemaining = 10 * time.Millisecond
	// reportedChange is the relative change of the recent use that is reported.
	reportedChange = 0.25
)

// spending is the state of an account at a host. It exists while the account is in use there.
type spending struct {
	account session.Account
	limit   Limit
	created time.Duration
	// removed is true if the account is no longer limited.
	removed bool

	// waiting is the number of waiting operations.
	waiting int
	tokens  []batch
	// emptyUntil is the time until which the granting host has no tokens. wait and spread are those of its answer.
	emptyUntil, spread time.Duration
	wait               bool
	// nextAhead is when tokens may be requested ahead again.
	nextAhead time.Duration

	// part is the fallback rate as a part of the limit's rate, partEpoch the epoch that gave it. fluid is the
	// generated part of the next token as of generatedAt, and generatedSent when the last one was used.
	part, fluid                float64
	partEpoch                  Epoch
	generatedAt, generatedSent time.Duration

	use recentUse
	// generated and returned are those of RequestItem.
	generated, returned uint64
	// listed is true if the account is in the queue, queued if it has something to request or report from askAt
	// on, and sent is the last request that had an item for it if that is unanswered.
	listed, queued bool
	askAt          time.Duration
	sent           Sequence
	// reportedUse and reportedHeld are those of the last item, at reportedAt.
	reportedUse  float64
	reportedHeld int
	reportedAt   time.Duration
}

// batch holds tokens of one response.
type batch struct {
	n               int
	received, until time.Duration
	// former is true if the tokens are of a former epoch, which can't take them back.
	former bool
}

// rate returns the fallback rate, per second.
func (st *spending) rate() float64 { return st.part * st.limit.Rate }

func (st *spending) stopWaiting() {
	st.waiting = max(st.waiting-1, 0)
}

// held returns the number of tokens.
func (st *spending) held() int {
	n := 0
	for _, b := range st.tokens {
		n += b.n
	}
	return n
}

// target returns the number of tokens to hold ahead.
func (st *spending) target(now time.Duration) int {
	return int(st.use.at(now) * aheadTime.Seconds())
}

func (st *spending) takeToken() (time.Duration, bool) {
	if len(st.tokens) == 0 {
		return 0, false
	}
	b := &st.tokens[0]
	b.n--
	until := b.until
	if b.n == 0 {
		st.tokens = st.tokens[1:]
	}
	return until, true
}

// expire gives up the tokens whose validity ends and returns their number.
func (st *spending) expire(now time.Duration) int {
	return st.giveUp(func(b batch) bool { return b.until < now+minRemaining })
}

func (st *spending) giveUp(old func(batch) bool) int {
	n := 0
	for len(st.tokens) > 0 && old(st.tokens[0]) {
		b := st.tokens[0]
		n += b.n
		if !b.former {
			st.returned += uint64(b.n)
		}
		st.tokens = st.tokens[1:]
	}
	return n
}

// generate uses one token generated under the fallback rate since from. At most one is kept.
func (st *spending) generate(now, from, reach time.Duration) bool {
	st.fluid = st.generatedPart(now, from, reach)
	st.generatedAt = max(now, st.generatedAt, from)
	if st.fluid < 1-1e-6 {
		return false
	}
	st.fluid, st.generatedSent = 0, now
	return true
}

// generatedPart returns the generated part of the next token. A fallback starts with a whole one, unless the host has
// used one within reach before: within one window, there is one whole token for each host beyond its rate.
func (st *spending) generatedPart(now, from, reach time.Duration) float64 {
	at, part := st.generatedAt, st.fluid
	if at < from {
		at = from
		if st.generatedSent == 0 || from-st.generatedSent >= reach {
			part = 1
		}
	}
	return min(part+st.rate()*max(now-at, 0).Seconds(), 1)
}

// enterEpoch starts counting reports anew, and gives up the fallback rate and the generated part of a token.
func (st *spending) enterEpoch() {
	st.part, st.fluid = 0, 0
	st.generated, st.returned, st.reportedHeld = 0, 0, 0
	for i := range st.tokens {
		st.tokens[i].former = true
	}
}

// heldOfEpoch returns the number of tokens of the current epoch.
func (st *spending) heldOfEpoch() int {
	n := 0
	for _, b := range st.tokens {
		if !b.former {
			n += b.n
		}
	}
	return n
}

// review gives up tokens that are not needed, and returns their number and whether there is something to report.
func (st *spending) review(now time.Duration) (expired int, report bool) {
	expired = st.giveUp(func(b batch) bool { return b.until < now+minRemaining || now-b.received > holdTime })
	if now-max(st.use.last, st.created) > idleAfter && st.waiting == 0 {
		st.use = recentUse{}
		return expired, true
	}
	change := math.Abs(st.use.at(now) - st.reportedUse)
	if change > reportedChange*max(st.reportedUse, 0.1) || now-st.reportedAt > idleAfter {
		return expired, true
	}
	return expired, st.reportedHeld > 0 && st.reportedHeld != st.heldOfEpoch()
}

// idle reports whether the account has had no operations for a while.
func (st *spending) idle() bool {
	return st.use.rate == 0 && st.waiting == 0 && len(st.tokens) == 0
}

// item returns the item for the account in request n.
func (st *spending) item(now time.Duration, n Sequence) RequestItem {
	st.sent, st.queued = n, false
	st.reportedUse, st.reportedAt = st.use.at(now), now
	st.reportedHeld = st.heldOfEpoch()
	it := RequestItem{
		Account: st.account, Held: uint32(st.reportedHeld),
		Generated: st.generated, Returned: st.returned, Use: st.reportedUse,
	}
	if now < st.emptyUntil {
		return it
	}
	it.Waiting = uint32(max(st.waiting-st.held(), 0))
	it.Wanted = it.Waiting
	if now >= st.nextAhead {
		it.Wanted = uint32(max(st.waiting+st.target(now)-st.held(), int(it.Waiting)))
	}
	return it
}

// receive applies the answer to an item of a request sent at sentAt, and returns the number of tokens.
func (st *spending) receive(now, sentAt time.Duration, it ResponseItem) int {
	n := int(it.Granted)
	if n > 0 {
		st.tokens = append(st.tokens, batch{n: n, received: now, until: sentAt + it.Validity})
		st.reportedHeld += n
	}
	st.nextAhead = now + aheadInterval
	st.emptyUntil = 0
	if it.AskAgain > 0 {
		st.emptyUntil = now + it.AskAgain
		st.spread, st.wait = it.Spread, it.Wait
	}
	return n
}

// recentUse is an exponentially decaying rate of operations.
type recentUse struct {
	rate float64
	last time.Duration
}

func (u *recentUse) at(now time.Duration) float64 {
	if u.rate == 0 || now <= u.last {
		return u.rate
	}
	return u.rate * math.Exp(-(now-u.last).Seconds()/useTime.Seconds())
}

func (u *recentUse) add(now time.Duration) {
	u.rate = u.at(now) + 1/useTime.Seconds()
	u.last = max(now, u.last)
}
