package ratelimit

import (
	"container/list"
	"math"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// fallbackFactor is the fallback rate relative to the recent use of an account at a host.
	fallbackFactor = 1.5
	// aheadPart is the part of a bucket up to which tokens are granted ahead. What one host holds is missing at
	// another one for a moment.
	aheadPart = 0.25
	// shareWait is the longest time after which a host with operations that wait asks again.
	shareWait = 100 * time.Millisecond
	// graceTime is how long operations may wait for tokens instead of being refused. Delays of up to some 50 ms
	// between hosts compress the demand of an account that is just within its limit.
	graceTime = 100 * time.Millisecond
	// minAskAgain and maxAskAgain bound the time after which a host asks again when a bucket is empty.
	minAskAgain = 20 * time.Millisecond
	maxAskAgain = time.Second
	// maxSpread bounds the time over which retries of refused operations are spread.
	maxSpread = 10 * time.Second
)

// bucket is the token bucket of an account.
type bucket struct {
	account session.Account
	limit   Limit
	plan    plan
	// at is the time of level and top. level is the number of tokens. top is what level would be if silent
	// hosts had generated only what they have reported.
	at         time.Duration
	level, top float64
	// fullAt is the last time at which top was at the size of the bucket.
	fullAt time.Duration
	// ahead is the number of tokens that hosts hold ahead or have not reported as used. They may come back, so
	// that they take up room in the bucket. aheadSilent is the part that silent hosts held.
	ahead, aheadSilent float64
	// reserved is the sum of the fallback rates that hosts may have, as parts of the limit's rate, charged that of
	// the silent hosts, and chargedHosts the number of the latter with a fallback rate.
	reserved, charged float64
	chargedHosts      int
	// holders is the number of hosts with a fallback rate. parked holds the times until which the place of a host
	// that may have sent its operation in advance stays taken although the host has no rate any more.
	holders int
	parked  []time.Duration
	// entries is the number of hosts with state for this account, use the sum of their recent use.
	entries int
	use     float64
	// refused estimates the refused operations whose clients will retry. It shrinks at the account's rate.
	refused   float64
	refusedAt time.Duration
	// promised is the number of operations that wait for tokens and were not refused.
	promised float64
	// nextAsk is when the host that was refused last should ask again.
	nextAsk time.Duration
	// loweredAt is the time of the last lowering of the limit.
	loweredAt time.Duration
	element   *list.Element
}

// newBucket returns the bucket of an account that had no use since the start of the term.
func newBucket(a session.Account, l Limit, p plan, now time.Duration, t term) *bucket {
	b := &bucket{account: a, limit: l, plan: p, at: t.start, refusedAt: now, loweredAt: math.MinInt64 / 2}
	if t.filled {
		b.level, b.top = p.start, p.start
	}
	b.settle(now, t)
	return b
}

// settle updates the bucket to now.
func (b *bucket) settle(now time.Duration, t term) {
	if now <= b.at {
		return
	}
	refill := t.refill(b, b.at, now)
	cost := b.charged * b.limit.Rate * (now - b.at).Seconds()
	room := b.limit.depth() - b.ahead
	b.level = min(b.level+refill-cost, max(room, 0))
	b.top += refill
	if b.top >= room {
		b.top, b.fullAt = max(room, 0), now
	}
	b.at = now
}

// refillRate returns the rate at which the bucket fills while a part is held back.
func (b *bucket) refillRate(part float64) float64 {
	if part == 0 {
		return b.plan.refill
	}
	return b.limit.Rate * (1 - part)
}

// changeLimit sets another limit. The bucket is settled.
func (b *bucket) changeLimit(now time.Duration, l Limit, p plan, window time.Duration) {
	old := b.limit
	b.limit, b.plan = l, p
	if l.Rate < old.Rate || l.Burst < old.Burst {
		b.loweredAt = now
	}
	// A raised burst is available at once, but a limit that is lowered and raised again and again must not fill
	// the bucket each time.
	if grown := l.depth() - old.depth(); grown > 0 && b.loweredAt+2*window < now {
		b.level += grown
		b.top += grown
	}
	room := max(l.depth()-b.ahead, 0)
	b.level, b.top, b.fullAt = min(b.level, room), min(b.top, room), now
	b.refused, b.nextAsk = 0, 0
}

// grant takes tokens for the waiting operations of a request and, if the bucket is nearly full, ahead.
func (b *bucket) grant(it RequestItem) (granted uint32, ahead float64) {
	waiting := float64(min(it.Waiting, it.Wanted))
	n := max(min(waiting, math.Floor(b.level+1e-9)), 0)
	if n == waiting {
		spare := math.Floor(b.level - n - (1-aheadPart)*b.limit.depth())
		ahead = max(min(float64(it.Wanted)-n, spare), 0)
	}
	b.level -= n + ahead
	b.top -= n + ahead
	b.ahead += ahead
	return uint32(n + ahead), ahead
}

// clearPromise ends the wait of operations whose host asks again, or won't.
func (b *bucket) clearPromise(e *entry) {
	b.promised = max(b.promised-e.promised, 0)
	e.promised = 0
}

// beginSilence notes that other hosts should not wait for what a silent host holds, and that it does not wait.
func (b *bucket) beginSilence(e *entry) {
	e.aheadSilent = e.ahead
	b.aheadSilent += e.ahead
	b.clearPromise(e)
}

func (b *bucket) endSilence(e *entry) {
	b.aheadSilent = max(b.aheadSilent-e.aheadSilent, 0)
	e.aheadSilent = 0
}

// used notes that tokens held ahead were used.
func (b *bucket) used(n float64) {
	b.ahead = max(b.ahead-n, 0)
}

// giveBack puts tokens that were held ahead back.
func (b *bucket) giveBack(n float64) {
	b.ahead = max(b.ahead-n, 0)
	b.level += n
	b.top += n
}

// charge starts charging the fallback rate of a silent host from time at on. The bucket is settled.
func (b *bucket) charge(e *entry, at time.Duration) {
	at = max(at, b.at)
	e.silentAt, e.chargedAt, e.charged, e.reported = at, at, 0, 0
	b.changeCharge(e, 0, e.reserved)
}

// changeCharge changes the rate at which a silent host is charged. The operation that it may send at once is charged when
// it is reported: the bounds reserve a token for it. Charging it in advance refused operations of accounts just below
// their limit, since slow hosts count as silent for moments.
func (b *bucket) changeCharge(e *entry, from, to float64) {
	b.charged += to - from
	if to > 0 && !e.counted {
		e.counted = true
		b.chargedHosts++
	}
}

// uncharge ends charging a host. If the host has reported what it generated, it refunds the rest.
func (b *bucket) uncharge(e *entry, now time.Duration, reported bool) {
	e.settleCharge(now)
	b.charged -= e.reserved
	if !e.counted {
		return
	}
	e.counted, e.sentAt = false, now
	b.chargedHosts--
	unused := e.charged - e.reported
	// If the bucket would not have been full even without any charge, refunds simply add up.
	exact := b.fullAt < e.silentAt
	switch {
	case reported && unused < 0:
		// The fallback may have begun up to skewMargin before it was charged.
		b.level += unused
	case reported && exact:
		b.level = min(b.level+unused, b.top)
	case !reported && exact:
		b.top -= max(unused, 0)
	case !reported:
		b.top = b.level
	}
	if b.chargedHosts == 0 {
		b.charged = 0
		b.level = b.top
	}
}

// fallback returns the fallback rate for a host, as a part of the limit's rate: in proportion to its recent use, at most
// perHostPart, and at most what other hosts leave.
func (b *bucket) fallback(e *entry, now time.Duration) float64 {
	if b.limit.Rate <= 0 || e.use <= 0 || e.reserved == 0 && !b.hasPlace(now) {
		return 0
	}
	part := min(fallbackFactor*e.use/b.limit.Rate, fallbackPart*e.use/max(b.use, e.use), perHostPart)
	return max(min(part, fallbackPart-(b.reserved-e.reserved)), 0)
}

// hasPlace reports whether one more host may have a fallback rate.
func (b *bucket) hasPlace(now time.Duration) bool {
	for len(b.parked) > 0 && b.parked[0] <= now {
		b.parked = b.parked[1:]
	}
	return b.holders+len(b.parked) < b.plan.hosts
}

// changeReserve changes the highest fallback rate that a host may have.
func (b *bucket) changeReserve(e *entry, part float64, now, reach time.Duration) {
	switch {
	case e.reserved == 0 && part > 0:
		b.holders++
	case e.reserved > 0 && part == 0:
		b.holders--
		if e.counted || now-e.sentAt < reach {
			// Within one window, another host in its place could send an operation at once as well.
			b.parked = append(b.parked, now+reach)
		}
	}
	b.reserved += part - e.reserved
	e.reserved = part
}

// deny returns the time after which a host that was denied n tokens should ask again, the time over which retries
// should be spread, and whether operations should wait for tokens that other hosts hold ahead.
func (b *bucket) deny(e *entry, now time.Duration, n float64, t term) (askAgain, spread time.Duration, wait bool) {
	rate := b.refillRate(t.part(now)) - b.charged*b.limit.Rate
	if rate <= 0 {
		return maxAskAgain, maxSpread, false
	}
	due := seconds(min((b.promised+n-b.level)/rate, maxAskAgain.Seconds()))
	if due-seconds(max(b.ahead-b.aheadSilent, 0)/rate) <= graceTime {
		e.promised = n
		b.promised += n
		return min(max(due, minAskAgain), shareWait), 0, true
	}
	b.refused = max(b.refused-rate*(now-b.refusedAt).Seconds(), 0) + n
	b.refused = min(b.refused, rate*maxSpread.Seconds())
	b.refusedAt = now
	next := now + seconds(min((1-b.level)/rate, maxAskAgain.Seconds()))
	b.nextAsk = max(min(b.nextAsk, now+maxAskAgain), next)
	askAgain = min(max(b.nextAsk-now, minAskAgain), maxAskAgain)
	b.nextAsk += seconds(min(n/rate, maxAskAgain.Seconds()))
	return askAgain, seconds(b.refused / rate), false
}

// idle reports whether the bucket is as a new one would be.
func (b *bucket) idle(now time.Duration, t term) bool {
	if b.entries > 0 || b.chargedHosts > 0 || len(b.parked) > 0 && b.parked[len(b.parked)-1] > now {
		return false
	}
	b.settle(now, t)
	return b.level >= newBucket(b.account, b.limit, b.plan, now, t).level-1e-9
}
