package core

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

var (
	historySeed  = flag.Int64("seed", 1, "seed of the random histories")
	historyCount = flag.Int("histories", 300, "number of random histories")
)

const (
	simMembers = 3
	simHosts   = 3
	simStep    = 20 * time.Millisecond
)

// simMember is an endpoint reduced to what the core relies on.
type simMember struct {
	log     []session.Point // log[i] is the entry at position i+1
	fenced  session.Term
	nonce   Nonce
	leads   session.Term
	follows session.Term
	heardAt time.Time
	frozen  bool
}

func (m *simMember) last() session.Point {
	if len(m.log) == 0 {
		return session.Point{}
	}
	return m.log[len(m.log)-1]
}

func (m *simMember) status(now time.Time) MemberStatus {
	s := MemberStatus{
		Fenced: m.fenced, Last: m.last(), Applied: session.Position(len(m.log)),
		Role: Replica, Follows: m.follows, SilenceMS: now.Sub(m.heardAt).Milliseconds(),
	}
	for i := len(m.log) - 1; i >= 0; i-- {
		if m.log[i].Term != s.Last.Term {
			s.Prev = m.log[i]
			break
		}
	}
	if m.leads > 0 && m.leads == m.fenced {
		s.Role = Primary
	}
	return s
}

// sim drives entry hosts' cores against members, with cuts, freezes, lost and
// late messages, all from one seed.
type sim struct {
	r       *rand.Rand
	now     time.Time
	members [simMembers]simMember
	hosts   [simHosts]*Group
	cut     [simHosts][simMembers]bool
	paused  [simHosts]bool
	late    []func()
	acked   []session.Point // acked[i] is the entry acknowledged at position i+1
	ackedIn map[session.Point]session.Term
	fault   string
}

func memberName(i int) MemberID { return MemberID(fmt.Sprintf("m%d", i)) }

func newSim(seed uint64, vary func(*Group)) *sim {
	s := &sim{r: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), ackedIn: make(map[session.Point]session.Term)}
	var members []Member
	for i := range simMembers {
		members = append(members, Member{ID: memberName(i), Zone: Zone(memberName(i))})
		s.members[i].fenced = 1
		s.members[i].follows = 1
	}
	s.members[0].follows = 0
	s.members[0].leads = 1
	s.members[0].log = []session.Point{{Term: 1, Position: 1}}
	nonces := 0
	for h := range simHosts {
		s.hosts[h] = &Group{
			Name: "g", Self: HostID(fmt.Sprintf("h%d", h)), Members: members, Timing: DefaultTiming,
			NewNonce: func() Nonce { nonces++; return Nonce(fmt.Sprint(nonces)) },
		}
		if vary != nil {
			vary(s.hosts[h])
		}
	}
	return s
}

// run makes n random steps and returns the first broken promise.
func (s *sim) run(n int) string {
	for range n {
		s.step()
		if s.fault != "" {
			return s.fault
		}
	}
	return ""
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	s.disturb()
	s.replicate()
	for h := range simHosts {
		if s.paused[h] {
			continue
		}
		s.feed(h)
		s.do(h, s.hosts[h].Step(s.now, Tick{}))
	}
	s.deliverLate()
	s.write()
}

// disturb changes cuts, freezes and pauses now and then.
func (s *sim) disturb() {
	if s.r.IntN(20) == 0 {
		h, m := s.r.IntN(simHosts), s.r.IntN(simMembers)
		s.cut[h][m] = !s.cut[h][m]
	}
	if s.r.IntN(40) == 0 {
		m := s.r.IntN(simMembers)
		s.members[m].frozen = !s.members[m].frozen
	}
	if s.r.IntN(40) == 0 {
		h := s.r.IntN(simHosts)
		s.paused[h] = !s.paused[h]
	}
	if s.r.IntN(60) == 0 { // now and then all heals
		s.cut = [simHosts][simMembers]bool{}
		s.paused = [simHosts]bool{}
		for i := range s.members {
			s.members[i].frozen = false
		}
	}
}

// replicate moves one entry from each primary to each follower, if luck has it.
func (s *sim) replicate() {
	for i := range s.members {
		p := &s.members[i]
		if p.frozen || p.leads == 0 || p.leads != p.fenced {
			continue
		}
		for j := range s.members {
			f := &s.members[j]
			if i == j || f.frozen || f.follows != p.leads || f.fenced != p.leads || s.r.IntN(3) == 0 {
				continue
			}
			f.heardAt = s.now
			n := 0
			for n < len(f.log) && n < len(p.log) && f.log[n] == p.log[n] {
				n++
			}
			f.log = append([]session.Point(nil), f.log[:n]...)
			if n < len(p.log) {
				f.log = append(f.log, p.log[n])
			}
		}
	}
}

func (s *sim) feed(h int) {
	for m := range simMembers {
		if s.cut[h][m] || s.members[m].frozen {
			continue
		}
		st := s.members[m].status(s.now)
		sent := s.now.Add(-simStep)
		s.deliver(func() {
			s.do(h, s.hosts[h].Step(s.now, StatusReceived{Member: memberName(m), Status: st, SentAt: sent}))
		})
	}
	for o := range simHosts {
		if o != h && !s.paused[o] && s.r.IntN(3) == 0 {
			s.do(h, s.hosts[h].Step(s.now, PeerObserved{Host: s.hosts[o].Self, View: s.hosts[o].View(s.now)}))
		}
	}
	s.note(h)
}

// deliver runs f now, later, or never.
func (s *sim) deliver(f func()) {
	switch s.r.IntN(10) {
	case 0:
	case 1, 2:
		s.late = append(s.late, f)
	default:
		f()
	}
}

func (s *sim) deliverLate() {
	if len(s.late) == 0 || s.r.IntN(3) > 0 {
		return
	}
	i := s.r.IntN(len(s.late))
	f := s.late[i]
	s.late = append(s.late[:i], s.late[i+1:]...)
	f()
}

func (s *sim) do(h int, actions []Action) {
	for _, a := range actions {
		s.deliver(func() { s.act(h, a) })
	}
}

func (s *sim) act(h int, a Action) {
	switch a := a.(type) {
	case SendFence:
		m := &s.members[s.find(a.Member)]
		if m.frozen || s.cut[h][s.find(a.Member)] {
			return
		}
		ok := a.Term > m.fenced || a.Term == m.fenced && m.nonce == a.Nonce
		if a.Term > m.fenced {
			m.fenced, m.nonce, m.leads, m.follows = a.Term, a.Nonce, 0, 0
		}
		e := FenceAnswered{Member: a.Member, Term: a.Term, Nonce: a.Nonce, OK: ok, Status: m.status(s.now)}
		s.deliver(func() { s.do(h, s.hosts[h].Step(s.now, e)) })
	case SendPromote:
		m := &s.members[s.find(a.Member)]
		if m.frozen || s.cut[h][s.find(a.Member)] {
			return
		}
		ok := a.Term == m.fenced && a.Nonce == m.nonce && m.follows == 0
		if ok && m.leads != a.Term {
			m.leads = a.Term
			m.log = append(m.log, session.Point{Term: a.Term, Position: session.Position(len(m.log) + 1)})
			s.checkLeader(m)
		}
		e := PromoteAnswered{Member: a.Member, Term: a.Term, Nonce: a.Nonce, OK: ok, Status: m.status(s.now)}
		s.deliver(func() { s.do(h, s.hosts[h].Step(s.now, e)) })
	case SendFollow:
		m := &s.members[s.find(a.Member)]
		if m.frozen || s.cut[h][s.find(a.Member)] || a.Term < m.fenced || m.leads == a.Term {
			return
		}
		m.fenced, m.leads, m.follows = a.Term, 0, a.Term
	}
}

func (s *sim) find(id MemberID) int {
	for i := range simMembers {
		if memberName(i) == id {
			return i
		}
	}
	return -1
}

func (s *sim) write() {
	for i := range s.members {
		m := &s.members[i]
		if !m.frozen && m.leads > 0 && m.leads == m.fenced && s.r.IntN(2) == 0 {
			m.log = append(m.log, session.Point{Term: m.leads, Position: session.Position(len(m.log) + 1)})
		}
	}
}

// note takes what a host would acknowledge and checks it against every member
// that leads a later term.
func (s *sim) note(h int) {
	p := s.hosts[h].AckedPoint()
	if p.Position == 0 {
		return
	}
	var log []session.Point
	for i := range s.members {
		if m := &s.members[i]; m.last().Term == p.Term && len(m.log) >= int(p.Position) {
			log = m.log[:p.Position]
		}
	}
	for i, e := range log {
		if i >= len(s.acked) {
			s.acked = append(s.acked, e)
		}
		if s.acked[i] != e {
			s.fault = fmt.Sprintf("position %d was acknowledged as %s and as %s", i+1, s.acked[i], e)
		}
		if t, ok := s.ackedIn[e]; !ok || p.Term < t {
			s.ackedIn[e] = p.Term
		}
	}
	for i := range s.members {
		if m := &s.members[i]; m.leads > 0 && m.leads == m.fenced {
			s.checkLeader(m)
		}
	}
}

func (s *sim) checkLeader(m *simMember) {
	for i, e := range s.acked {
		if s.ackedIn[e] >= m.leads {
			continue
		}
		if i >= len(m.log) || m.log[i] != e {
			s.fault = fmt.Sprintf("the primary of term %d lacks %s, acknowledged in term %d", m.leads, e, s.ackedIn[e])
		}
	}
}

// TestRandomHistories runs random histories of faults against the real core.
// A failing history shrinks to a short one.
func TestRandomHistories(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(*historySeed)
	params.MinSuccessfulTests = *historyCount
	properties := gopter.NewProperties(params)
	properties.Property("no acknowledged entry is lost", prop.ForAll(
		func(seed uint64, steps int) string { return newSim(seed, nil).run(steps) },
		gen.UInt64(), gen.IntRange(100, 1200),
	))
	properties.TestingRun(t)
}

// TestGuardsHaveCounterexamples shows that the histories find what each guard
// prevents.
func TestGuardsHaveCounterexamples(t *testing.T) {
	for _, c := range []struct {
		name string
		vary func(*Group)
	}{
		{"acknowledged on the primary alone", func(g *Group) {
			g.AckRule = func(last []session.Point, t session.Term, _ int) session.Position { return ackedBy(last, t, 1) }
		}},
		{"promoted without a majority fenced", func(g *Group) { g.FenceQuorum = 1 }},
		{"the shortest log promoted", func(g *Group) {
			g.Prefer = func(a, b MemberStatus) bool { return b.Last.Less(a.Last) }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			const most = 300
			for seed := range uint64(most) {
				if newSim(seed, c.vary).run(1200) != "" {
					return
				}
			}
			t.Errorf("no counterexample in %d histories", most)
		})
	}
}

// TestFailoverHeals checks liveness: when everything heals, one member leads
// and new entries are acknowledged again.
func TestFailoverHeals(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(seed, nil)
		if fault := s.run(600); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
		s.cut = [simHosts][simMembers]bool{}
		s.paused = [simHosts]bool{}
		for i := range s.members {
			s.members[i].frozen = false
		}
		before := len(s.acked)
		for range 600 { // 12 s
			s.now = s.now.Add(simStep)
			s.replicate()
			for h := range simHosts {
				s.feed(h)
				s.do(h, s.hosts[h].Step(s.now, Tick{}))
			}
			s.deliverLate()
			s.write()
		}
		if len(s.acked) <= before {
			t.Errorf("seed %d: nothing was acknowledged in 12 s after all faults ended", seed)
		}
	}
}
