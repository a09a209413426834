package ratelimit

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// The model runs the hosts of a fleet in steps, with a store that has the lease row and links that delay, lose,
// repeat and reorder messages.

const (
	modelStep   = 10 * time.Millisecond
	leaseTime   = 10 * time.Second
	renewEvery  = 2 * time.Second
	configDelay = 500 * time.Millisecond
	flapTime    = 900 * time.Millisecond
	// restartTime is the time from the start of a process to its first call to the store.
	restartTime = 200 * time.Millisecond
)

// safeguard is one that a run leaves out.
type safeguard int

const (
	noneRemoved safeguard = iota
	validityFromSending
	chargeSilentHosts
	emptyBucketsAtStart
	fallbackEnds
	waitForFallbacks
	sumOfFallbackRates
	filledOnce
	wholeTokenOnce
	placesOfHosts
	holdBackForMissing
	giveUpFormerRates
)

type message struct {
	at   time.Duration
	host int
	// incarnation is that of the receiving process; a link ends with it.
	incarnation Incarnation
	deliver     func()
}

type modelOp struct {
	account                               *accountRun
	start, sendAt, until, retryAt, giveUp time.Duration
}

type modelHost struct {
	id          int
	offset      time.Duration
	incarnation Incarnation
	spender     *Spender
	granter     *Granter
	leaseEnd    time.Duration
	renewAt     time.Duration
	frozenUntil time.Duration
	inbox       []func()
	waiting     []modelOp
	allowed     []modelOp
	sentAt      map[Sequence]time.Duration
	debt        []float64
	retryAll    bool
	// epoch is that of the last lease that the host was told of.
	epoch Epoch
	// limitVersion is the length of the model's history at the last change of the limit that arrived.
	limitVersion int
	// grantedAt holds the times of the grants by the end of their tokens' validity.
	grantedAt map[time.Duration]time.Duration
}

type leaseRow struct {
	holder  int
	epoch   Epoch
	expires time.Duration
	// released is true if the holder has given the lease up, filledAt the start of the last term with filled buckets.
	released bool
	filledAt time.Duration
}

type limitChange struct {
	at    time.Duration
	limit Limit
}

type model struct {
	rng     *rand.Rand
	now     time.Duration
	hosts   []*modelHost
	row     leaseRow
	net     []message
	faults  []fault
	started []bool
	history []limitChange
	limit   Limit
	bounds  Bounds
	// accounts all have the same limit. sent is the sum of their operations.
	accounts []*accountRun
	sent     int
	refused  map[string]int
	remove   safeguard
	// unlisted hosts are in no list of hosts. With listUnknown, granting hosts have no list.
	unlisted    map[int]bool
	listUnknown bool
	// demand returns the rate of new operations at a host.
	demand func(now time.Duration, host int) float64
	// sendLate delays each operation until its token is about to end, poisson makes the demand irregular.
	sendLate, poisson bool
	// pauses is the longest time for which a slow host does nothing between two steps.
	pauses time.Duration
	// retries are the times at which refused operations may be retried.
	retries     []time.Duration
	requests    int
	longestWait time.Duration
	// waits holds the waits of the allowed operations since the last clearing.
	waits []time.Duration
}

const account session.Account = "a"

// accountRun is what the hosts did for an account.
type accountRun struct {
	name session.Account
	sent []time.Duration
	// charged holds the times at which the tokens of allowed operations were granted or generated.
	charged []time.Duration
}

func newModel(seed int64, hosts int, l Limit, b Bounds) *model {
	m := &model{
		rng: rand.New(rand.NewSource(seed)), now: time.Second, limit: l, bounds: b, refused: make(map[string]int), poisson: true,
		row: leaseRow{holder: -1}, accounts: []*accountRun{{name: account}}, history: []limitChange{{0, l}},
	}
	m.demand = func(time.Duration, int) float64 { return 3 * l.Rate / float64(hosts) }
	for i := range hosts {
		h := &modelHost{id: i, offset: time.Duration(m.rng.Intn(1000)) * time.Second}
		m.hosts = append(m.hosts, h)
		m.start(h)
	}
	return m
}

func (m *model) limits() Limits {
	out := make(Limits)
	for _, a := range m.accounts {
		out[a.name] = m.limit
	}
	return out
}

// start starts a process of a host.
func (m *model) start(h *modelHost) {
	h.incarnation++
	h.spender = &Spender{Bounds: m.bounds, Host: fmt.Sprint("host-", h.id), Incarnation: h.incarnation}
	h.spender.SetLimits(m.limits())
	h.granter, h.waiting, h.allowed, h.inbox = nil, nil, nil, nil
	h.sentAt = make(map[Sequence]time.Duration)
	h.grantedAt = make(map[time.Duration]time.Duration)
	h.limitVersion = len(m.history)
	h.renewAt = min(h.renewAt, m.now+restartTime)
}

func (m *model) run(until time.Duration) {
	for len(m.started) < len(m.faults) {
		m.started = append(m.started, false)
	}
	for ; m.now < until; m.now += modelStep {
		m.startFaults()
		m.deliver()
		for _, h := range m.hosts {
			if h.frozenUntil <= m.now || m.pauses > 0 {
				m.arrive(h)
			}
			if h.frozenUntil > m.now {
				continue
			}
			m.step(h)
			if m.pauses > 0 {
				h.frozenUntil = m.now + time.Duration(m.rng.Int63n(int64(m.pauses)))
			}
		}
	}
}

// active calls f for each fault in effect, with the host that it affects.
func (m *model) active(kind faultKind, f func(fault, int)) {
	for _, ft := range m.faults {
		if ft.kind != kind || m.now < ft.at || m.now >= ft.at+ft.time || ft.flapping && (m.now-ft.at)/flapTime%2 == 1 {
			continue
		}
		id := ft.host
		if id < 0 {
			id = max(m.row.holder, 0)
		}
		f(ft, id)
		for id += 2; ft.wide && id < len(m.hosts); id += 2 {
			f(ft, id)
		}
	}
}

func (m *model) startFaults() {
	for i, f := range m.faults {
		if m.started[i] || m.now < f.at {
			continue
		}
		m.started[i] = true
		h := m.hosts[max(f.host, 0)]
		if f.host < 0 && m.row.holder >= 0 {
			h = m.hosts[m.row.holder]
		}
		switch f.kind {
		case freeze:
			h.frozenUntil = max(h.frozenUntil, m.now+f.time)
		case crash:
			h.frozenUntil = max(h.frozenUntil, m.now+f.time)
			m.start(h)
		case restart:
			m.start(h)
		case restartAll:
			for _, h := range m.hosts {
				m.start(h)
			}
		case release:
			if h.granter != nil && m.row.holder == h.id {
				// The holder gives up at once. It does not take the lease again soon.
				h.granter, h.renewAt, m.row.released = nil, m.now, true
			}
		case changeLimit:
			m.limit = f.limit
			m.history = append(m.history, limitChange{m.now, f.limit}, limitChange{m.now + configDelay, f.limit})
			limits, version := m.limits(), len(m.history)
			for _, h := range m.hosts {
				m.post(h, time.Duration(m.rng.Int63n(int64(configDelay))), func() { m.setLimit(h, limits, version) })
			}
		}
	}
}

func (m *model) setLimit(h *modelHost, l Limits, version int) {
	if version < h.limitVersion {
		return
	}
	h.limitVersion = version
	h.spender.SetLimits(l)
	if h.granter != nil {
		h.granter.SetLimits(m.now+h.offset, l)
	}
}

func (m *model) post(h *modelHost, delay time.Duration, f func()) {
	m.net = append(m.net, message{m.now + delay, h.id, h.incarnation, f})
}

// send sends a message over the link between two hosts.
func (m *model) send(from, to *modelHost, f func()) {
	if from == to {
		m.post(to, 0, f)
		return
	}
	delay := time.Duration(1+m.rng.Intn(24)) * time.Millisecond
	lost := false
	m.active(cut, func(_ fault, id int) { lost = lost || id == from.id || id == to.id })
	m.active(loss, func(_ fault, id int) {
		lost = lost || (id == from.id || id == to.id) && m.rng.Intn(3) == 0
	})
	m.active(slow, func(f fault, id int) {
		if id == from.id || id == to.id {
			delay += time.Duration(m.rng.Int63n(int64(f.delay)))
		}
	})
	if lost {
		return
	}
	m.post(to, delay, f)
	if len(m.faults) > 0 && m.rng.Intn(10) == 0 {
		m.post(to, delay+time.Duration(m.rng.Intn(3000))*time.Millisecond, f)
	}
}

func (m *model) deliver() {
	late := m.net[:0]
	var due []message
	for _, msg := range m.net {
		if msg.at > m.now {
			late = append(late, msg)
			continue
		}
		due = append(due, msg)
	}
	m.net = late
	for _, msg := range due {
		h := m.hosts[msg.host]
		if h.incarnation == msg.incarnation {
			h.inbox = append(h.inbox, msg.deliver)
		}
	}
}

func (m *model) step(h *modelHost) {
	inbox := h.inbox
	h.inbox = nil
	for _, f := range inbox {
		f()
	}
	m.stepLease(h)
	m.stepOps(h)
	// A restarted process knows the holder of the lease only from the store, which the model doesn't delay.
	if m.row.holder < 0 {
		return
	}
	if h.epoch != m.row.epoch {
		h.epoch = m.row.epoch
		h.spender.Announce()
	}
	if r, ok := h.spender.Request(m.now + h.offset); ok {
		m.requests++
		h.sentAt[r.Sequence] = m.now + h.offset
		g := m.hosts[m.row.holder]
		m.send(h, g, func() { m.handle(g, h, r) })
	}
}

// handle answers a request at the granting host.
func (m *model) handle(g, h *modelHost, r Request) {
	if g.granter == nil {
		return
	}
	if m.remove == chargeSilentHosts {
		defer func() {
			for _, hs := range g.granter.hosts {
				hs.confirmedAt = g.granter.now + time.Hour
			}
		}()
	}
	if m.remove == placesOfHosts {
		for _, b := range g.granter.buckets {
			b.plan.hosts = math.MaxInt
		}
	}
	resp := g.granter.Grant(m.now+g.offset, g.leaseEnd, r)
	if resp.Epoch == 0 {
		return
	}
	switch m.remove {
	case sumOfFallbackRates:
		for i := range resp.Items {
			resp.Items[i].Fallback = max(fallbackFactor*r.Items[i].Use/m.limit.Rate, resp.Items[i].Fallback)
		}
	}
	grantedAt := m.now
	m.send(g, h, func() {
		now := m.now + h.offset
		sentAt, ok := h.sentAt[resp.Sequence]
		if !ok || m.remove == validityFromSending {
			sentAt = now
		}
		for _, it := range resp.Items {
			h.grantedAt[sentAt+it.Validity] = max(grantedAt, h.grantedAt[sentAt+it.Validity])
		}
		m.receive(h, now, sentAt, resp)
		if m.remove == fallbackEnds {
			h.spender.fallback.until = now + time.Hour
		}
		h.retryAll = true
	})
}

// receive hands a response to a host.
func (m *model) receive(h *modelHost, now, sentAt time.Duration, resp Response) {
	former, rates := h.spender.fallback, make(map[*spending]float64)
	for _, st := range h.spender.accounts {
		rates[st] = st.part
	}
	epoch := h.spender.epoch
	h.spender.Receive(now, sentAt, resp)
	if m.remove == giveUpFormerRates && resp.Recovering && h.spender.epoch > epoch {
		h.spender.fallback = former
		for st, part := range rates {
			st.part = part
		}
	}
}

// listed returns the list of hosts.
func (m *model) listed() []string {
	var names []string
	for _, h := range m.hosts {
		if !m.listUnknown && !m.unlisted[h.id] {
			names = append(names, h.spender.Host)
		}
	}
	return names
}

func (m *model) stepLease(h *modelHost) {
	down := false
	m.active(storeDown, func(fault, int) { down = true })
	if down || m.now < h.renewAt {
		return
	}
	mine := m.row.holder == h.id
	if h.granter != nil && mine && !m.row.released && m.now+h.offset < h.leaseEnd {
		m.row.expires, h.leaseEnd, h.renewAt = m.now+leaseTime, m.now+leaseTime+h.offset, m.now+renewEvery
		return
	}
	if m.row.expires > m.now && !mine && !m.row.released {
		return
	}
	if mine && m.row.released && m.now < h.renewAt+leaseTime {
		return
	}
	rec := Recovery{Epoch: m.row.epoch + 1}
	if m.row.epoch > 0 && m.row.expires+FallbackTime > m.now && m.remove != waitForFallbacks {
		rec.ReducedUntil = m.row.expires + FallbackTime + h.offset
	}
	rec.Filled = m.row.filledAt == 0 || m.now-m.row.filledAt >= m.bounds.StartInterval() || m.remove == filledOnce
	row := leaseRow{holder: h.id, epoch: rec.Epoch, expires: m.now + leaseTime, filledAt: m.row.filledAt}
	if rec.Filled {
		row.filledAt = m.now
	}
	m.row = row
	h.leaseEnd, h.renewAt = m.now+leaseTime+h.offset, m.now+renewEvery
	h.granter = &Granter{Bounds: m.bounds}
	h.granter.SetHosts(m.now+h.offset, m.listed())
	h.granter.Start(m.now+h.offset, rec)
	h.granter.SetLimits(m.now+h.offset, m.limits())
	if m.remove == holdBackForMissing {
		h.granter.missing = nil
		h.granter.holdBack()
	}
	if m.remove == emptyBucketsAtStart {
		h.granter.term.start -= time.Hour
	}
}
