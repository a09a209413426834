package engine

import "time"

const (
	// slowAnswerFactor is the multiple of the expected duration above which the answers of a
	// round count as slow. Statements of one endpoint differ by about as much.
	slowAnswerFactor = 3
	// slowStartGrowth is the factor by which the limit grows with each round of answers, as
	// many as the limit, until the first problem.
	slowStartGrowth = 2
	// slowStartQuiet is how long an endpoint has to answer without a problem for its slow start
	// to end, if its limit has not reached the highest value before.
	slowStartQuiet = 5 * time.Second
	// slowBaseGrowth bounds by how much the expected duration grows with each slow answer. An
	// endpoint that stays ten times slower than before is taken for a slow one after some 25
	// answers. With 0.02 it got one request at a time for 62 answers, more than 6 s.
	slowBaseGrowth = 0.05
	// failureTime is how long an endpoint has to fail for its next answer to count as a
	// recovery.
	failureTime = time.Second
	// hostWarmUp is how long after its own start a host takes endpoints that it sees for the
	// first time for running ones. After a loss of power everything starts at once, and an
	// endpoint's registration takes some seconds to reach a host.
	hostWarmUp = 15 * time.Second
	// recentStart is how long after its registration an endpoint counts as just started.
	recentStart = 10 * time.Second
	// duePeriod is how long a slow start that is due waits for the first request.
	duePeriod = 30 * time.Second
)

// The reasons for a slow start.
const (
	slowStartStarted   = "endpoint started"
	slowStartRecovered = "endpoint recovered"
	slowStartPrimary   = "endpoint became primary"
)

// pace is the slow start of an endpoint: it adapts the number of requests in flight, from one
// on, to how the endpoint answers. It reads no clock and starts no timers.
type pace struct {
	// report is called when a slow start begins and ends.
	report func(reason string)

	// due is the reason for a slow start that begins with the next request, if any, and dueAt
	// the time at which it became due.
	due   string
	dueAt time.Time

	active bool
	// doubling is set until the first problem with more than one request in flight. A lone
	// request that is slow tells of a cold endpoint, not of too many requests.
	doubling bool
	// base is the expected duration of a request, 0 if unknown.
	base time.Duration
	// earlier is the number of requests in flight that were sent before the slow start.
	earlier int
	// answers is the number of requests of the round that have ended, served how many the
	// endpoint served, in total time, and problem is set if it refused one or failed.
	answers, served int
	total           time.Duration
	problem         bool
	// quietSince is the time of the last problem or, if there was none, of the start. answered
	// is set if the endpoint has answered since.
	quietSince time.Time
	answered   bool
	// everAnswered is set once the endpoint has answered this host, and failingSince is the time
	// of the first failure since the last answer, zero if none.
	everAnswered bool
	failingSince time.Time
	// known and primary tell whether the endpoint's role is known, and whether it leads.
	known, primary bool
}

// begin starts a slow start. expected is the expected duration of a request, 0 if unknown.
// running is the number of requests in flight; their answers tell of the time before.
func (p *pace) begin(now time.Time, reason string, expected time.Duration, running int) {
	p.earlier = running
	p.active, p.doubling, p.base = true, true, expected
	p.answers, p.served, p.problem, p.total = 0, 0, false, 0
	p.quietSince, p.answered = now, false
	p.emit("begun: " + reason)
}

func (p *pace) end(reason string) {
	p.active = false
	p.emit("ended: " + reason)
}

func (p *pace) emit(reason string) {
	if p.report != nil {
		p.report(reason)
	}
}

// expired reports whether the endpoint has answered without a problem for long enough, and ends
// the slow start then.
func (p *pace) expired(now time.Time) bool {
	if !p.active || !p.answered || now.Sub(p.quietSince) < slowStartQuiet {
		return false
	}
	p.end("no problem for a while")
	return true
}

// schedule makes a slow start due. It begins with the next request: most hosts do not use the
// connections that they may hold.
func (p *pace) schedule(now time.Time, reason string) { p.due, p.dueAt = reason, now }

// takeDue returns the reason for a slow start that is to begin with a request now, or "".
func (p *pace) takeDue(now time.Time) string {
	reason := p.due
	p.due = ""
	if reason != "" && now.Sub(p.dueAt) < duePeriod {
		return reason
	}
	if !p.active && p.everAnswered && !p.failingSince.IsZero() && now.Sub(p.failingSince) >= failureTime {
		return slowStartRecovered
	}
	return ""
}

// noteFailure records that the endpoint could not be reached or did not answer.
func (p *pace) noteFailure(now time.Time) {
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
	p.quietSince, p.answered = now, false
}

// noteAnswer records that the endpoint answered.
func (p *pace) noteAnswer() { p.everAnswered, p.failingSince = true, time.Time{} }

// noteRole records whether the endpoint leads its group, and reports whether it has begun to.
func (p *pace) noteRole(primary bool) bool {
	became := p.known && primary && !p.primary
	p.known, p.primary = true, primary
	return became
}

// answer records the end of a request during a slow start and returns the new limit. A round of
// answers is as many as the limit.
func (p *pace) answer(now time.Time, limit, maxLimit float64, a answer) float64 {
	if p.earlier > 0 {
		p.earlier--
		return limit
	}
	p.answers++
	if a.failed || a.shed {
		p.quietSince, p.problem = now, true
	} else {
		p.answered = true
		p.served++
		p.total += a.took
		if p.base == 0 {
			p.base = a.took
		}
	}
	if p.answers < int(limit) {
		return limit
	}
	return p.endRound(now, limit, maxLimit)
}

// endRound returns the limit for the next round of answers.
func (p *pace) endRound(now time.Time, limit, maxLimit float64) float64 {
	problem := p.problem
	if p.served > 0 {
		mean := p.total / time.Duration(p.served)
		problem = problem || mean > slowAnswerFactor*max(p.base, minWork)
		p.updateBase(mean, p.served)
	}
	p.answers, p.served, p.problem, p.total = 0, 0, false, 0
	switch {
	case problem:
		p.quietSince = now
		p.doubling = p.doubling && limit < 2
		return max(1, limit*gateDecrease)
	case limit >= maxLimit:
		p.end("limit reached")
		return maxLimit
	case p.doubling:
		return min(limit*slowStartGrowth, maxLimit)
	}
	return min(limit+gateIncrease, maxLimit)
}

// updateBase lets the expected duration follow the answers: a moving average of faster ones, and
// by a bounded factor with each slower one.
func (p *pace) updateBase(mean time.Duration, answers int) {
	if mean < p.base {
		p.base += time.Duration(serviceTimeWeight * float64(mean-p.base))
		return
	}
	p.base = min(mean, p.base+time.Duration(slowBaseGrowth*float64(answers)*float64(max(p.base, minWork))))
}
