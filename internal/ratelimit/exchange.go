package ratelimit

import "time"

// Request returns the message to send to the granting host, and whether one is due.
func (s *Spender) Request(now time.Duration) (Request, bool) {
	if now < s.NextRequest(now) {
		return Request{}, false
	}
	if now >= s.nextReview {
		s.review(now)
	}
	s.sequence++
	r := Request{
		Host: s.Host, Incarnation: s.Incarnation, Sequence: s.sequence,
		Epoch: s.epoch, Answered: s.answered,
	}
	s.askAt = neverDue
	kept := s.queue[:0]
	for _, st := range s.queue {
		// An unanswered item is repeated, so that the granting host may conclude from the confirmation of a
		// later request that the host has received the fallback rate in the last answer.
		if st.removed || !st.queued && st.sent == 0 {
			st.listed = false
			continue
		}
		kept = append(kept, st)
		if st.sent == 0 && st.askAt > now {
			s.askAt = min(s.askAt, st.askAt)
			continue
		}
		r.Items = append(r.Items, st.item(now, s.sequence))
		if st.waiting > 0 && now < st.emptyUntil {
			s.enqueue(st, st.emptyUntil)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	if s.unansweredSince == 0 {
		s.unansweredSince = now
	}
	s.inFlight, s.lastSent = true, now
	s.confirm, s.announced = false, false
	s.stats.Requests++
	return r, true
}

// NextRequest returns the time at which Request is due if there is no further demand. It is beyond any clock if none
// is due then.
func (s *Spender) NextRequest(time.Duration) time.Duration {
	if s.announced {
		return s.lastSent + minInterval
	}
	if s.inFlight {
		return s.lastSent + answerTimeout
	}
	next := neverDue
	if s.confirm || len(s.accounts) > 0 {
		next = s.lastSent + reviewInterval
	}
	if len(s.queue) > 0 {
		next = min(next, max(s.askAt, s.lastSent+minInterval))
	}
	return next
}

// review looks for accounts that have something to report, and drops those that are idle.
func (s *Spender) review(now time.Duration) {
	s.nextReview = now + reviewInterval
	for _, st := range s.accounts {
		expired, report := st.review(now)
		s.stats.Expired += uint64(expired)
		if st.idle() && now > s.fallback.until {
			// No granting host counts on an answer, and there may be none for long.
			s.remove(st)
			continue
		}
		if report {
			s.enqueue(st, 0)
		}
	}
}

// Receive processes a response to the request sent at sentAt. Every waiting operation must Retry before
// the next call of Request.
func (s *Spender) Receive(now, sentAt time.Duration, r Response) {
	if r.Epoch == 0 || r.Epoch < s.epoch || r.Incarnation != s.Incarnation ||
		r.Sequence <= s.answered || r.Sequence > s.sequence {
		s.stats.Ignored++
		return
	}
	s.stats.Responses++
	s.answered = r.Sequence
	s.unansweredSince = 0
	s.inFlight = s.inFlight && r.Sequence != s.sequence
	if r.Epoch > s.epoch {
		s.enterEpoch(r.Epoch)
	}
	s.updateFallback(now, sentAt, r)
	for _, it := range r.Items {
		st := s.accounts[it.Account]
		if st == nil {
			continue
		}
		s.stats.Granted += uint64(st.receive(now, sentAt, it))
		if st.sent == r.Sequence {
			st.sent = 0
		}
		if r.Recovering {
			continue
		}
		if st.part > 0 && it.Fallback < st.part {
			s.confirm = true
		}
		st.part, st.partEpoch = it.Fallback, r.Epoch
		s.dropIdle(st)
	}
}

// dropIdle drops an account once the granting host knows that it is no longer used here.
func (s *Spender) dropIdle(st *spending) {
	if st.sent == 0 && !st.queued && st.reportedUse == 0 && st.idle() {
		s.remove(st)
		s.confirm = true
	}
}

// Announce makes a request due although there may be no demand, so that a new granting host learns that this host is in
// touch and has given up its fallback rates.
func (s *Spender) Announce() {
	s.announced = true
}

// enterEpoch continues with a new granting host or process. It ends the fallback rates of the former epoch, and the next
// request says so.
func (s *Spender) enterEpoch(e Epoch) {
	s.epoch, s.confirm = e, true
	s.fallback = fallback{}
	for _, st := range s.accounts {
		st.enterEpoch()
		s.enqueue(st, 0)
	}
}

// updateFallback moves the time from which this host may generate tokens itself.
func (s *Spender) updateFallback(now, sentAt time.Duration, r Response) {
	f := &s.fallback
	if r.Recovering {
		return
	}
	if f.epoch < r.Epoch {
		*f = fallback{epoch: r.Epoch}
		for _, st := range s.accounts {
			s.enqueue(st, 0)
		}
	}
	// The granting host counts from when it received the request. That is between sentAt and now, so a start
	// at most skewMargin too early is certain.
	f.from = max(f.from, max(sentAt, now-skewMargin)+silenceLimit)
	f.until = max(f.until, sentAt+FallbackTime)
}
