package ratelimit

import (
	"slices"
	"time"
)

// arrive adds the operations that arrive at a host in a step. All accounts but the first have demand at times only.
func (m *model) arrive(h *modelHost) {
	h.debt = append(h.debt, make([]float64, len(m.accounts)-len(h.debt))...)
	for i := range m.accounts {
		if i > 0 && (m.now/time.Second+time.Duration(i))%(6*time.Duration(i*i)) >= 3 {
			continue
		}
		n := m.demand(m.now, (h.id+i)%len(m.hosts)) * modelStep.Seconds()
		if m.poisson {
			n *= m.rng.ExpFloat64()
		}
		h.debt[i] += n
	}
}

// stepOps sends allowed operations, and decides about waiting and new ones.
func (m *model) stepOps(h *modelHost) {
	now := m.now + h.offset
	h.allowed = slices.DeleteFunc(h.allowed, func(o modelOp) bool {
		if o.sendAt > now {
			return false
		}
		if now < o.until {
			m.sent++
			o.account.sent = append(o.account.sent, m.now)
		}
		return true
	})
	if st := h.spender.accounts[account]; st != nil && m.remove == wholeTokenOnce {
		st.generatedSent = 0
	}
	waiting := h.waiting
	h.waiting = nil
	for _, o := range waiting {
		switch {
		case h.retryAll || o.retryAt > 0 && now >= o.retryAt:
			v := h.spender.Retry(now, o.account.name)
			if h.retryAll {
				o.giveUp = min(now+h.spender.WaitLimit(now, o.account.name), o.start+MaxWait)
			}
			m.decide(h, o, v)
		case now >= o.giveUp:
			m.longestWait = max(m.longestWait, now-o.start)
			m.refused["unavailable"]++
			h.spender.Abandon(now, o.account.name, true)
		default:
			h.waiting = append(h.waiting, o)
		}
	}
	h.retryAll = false
	for i, a := range m.accounts {
		for ; i < len(h.debt) && h.debt[i] >= 1; h.debt[i]-- {
			o := modelOp{account: a, start: now, giveUp: now + h.spender.WaitLimit(now, a.name)}
			m.decide(h, o, h.spender.Take(now, a.name))
		}
	}
}

func (m *model) decide(h *modelHost, o modelOp, v Verdict) {
	now := m.now + h.offset
	if v.Kind != Unknown {
		m.longestWait = max(m.longestWait, now-o.start)
	}
	switch v.Kind {
	case Allowed:
		if at, ok := h.grantedAt[v.Until]; ok {
			o.account.charged = append(o.account.charged, at)
		} else {
			o.account.charged = append(o.account.charged, m.now)
		}
		m.waits = append(m.waits, now-o.start)
		o.until, o.sendAt = v.Until, now
		if m.sendLate {
			o.sendAt = max(v.Until-modelStep, now)
		}
		h.allowed = append(h.allowed, o)
	case Unknown:
		o.retryAt = 0
		if v.RetryAfter > 0 {
			o.retryAt = now + v.RetryAfter
		}
		h.waiting = append(h.waiting, o)
	case Exceeded:
		m.refused["exceeded"]++
		m.retries = append(m.retries, m.now+v.RetryAfter)
	}
}
