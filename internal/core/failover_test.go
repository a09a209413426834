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

// simMember simulates the parts of an endpoint that the core relies on.
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

// sim runs the Groups of several entry hosts against simulated members, with
// broken connections, frozen members, paused hosts, and lost and delayed messages.
// A run is determined by its seed.
type sim struct {
	r         *rand.Rand
	now       time.Time
	members   [simMembers]simMember
	hosts     [simHosts]*Group
	cut       [simHosts][simMembers]bool // host can't reach member
	paused    [simHosts]bool
	delayed   []func()
	acked     []session.Point                // acked[i] is the entry acknowledged at position i+1
	ackedTerm map[session.Point]session.Term // earliest term that acknowledged the entry
	violation string
}

func memberName(i int) MemberID { return MemberID(fmt.Sprintf("m%d", i)) }

func newSim(seed uint64, configure func(*Group)) *sim {
	s := &sim{r: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), ackedTerm: make(map[session.Point]session.Term)}
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
		if configure != nil {
			configure(s.hosts[h])
		}
	}
	return s
}

// run makes n random steps and returns the first violated invariant, or "".
func (s *sim) run(n int) string {
	for range n {
		s.step()
		if s.violation != "" {
			return s.violation
		}
	}
	return ""
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	s.injectFaults()
	s.replicate()
	for h := range simHosts {
		if s.paused[h] {
			continue
		}
		s.deliverReports(h)
		s.sendActions(h, s.hosts[h].Step(s.now, Tick{}))
	}
	s.deliverDelayed()
	s.appendWrites()
}

// injectFaults randomly starts and ends cuts, freezes and pauses.
func (s *sim) injectFaults() {
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
	if s.r.IntN(60) == 0 { // end all faults
		s.cut = [simHosts][simMembers]bool{}
		s.paused = [simHosts]bool{}
		for i := range s.members {
			s.members[i].frozen = false
		}
	}
}

// replicate copies one entry from each primary to each follower, with random
// omissions. A follower first truncates its log to the common prefix.
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

// deliverReports sends the members' and peers' reports to host h and checks what it
// acknowledges.
func (s *sim) deliverReports(h int) {
	for m := range simMembers {
		if s.cut[h][m] || s.members[m].frozen {
			continue
		}
		st := s.members[m].status(s.now)
		sent := s.now.Add(-simStep)
		s.deliverUnreliably(func() {
			s.sendActions(h, s.hosts[h].Step(s.now, StatusReceived{Member: memberName(m), Status: st, SentAt: sent}))
		})
	}
	for o := range simHosts {
		if o != h && !s.paused[o] && s.r.IntN(3) == 0 {
			s.sendActions(h, s.hosts[h].Step(s.now, PeerViewReceived{Host: s.hosts[o].Self, View: s.hosts[o].View(s.now)}))
		}
	}
	s.checkAcked(h)
}

// deliverUnreliably runs f now, later or never.
func (s *sim) deliverUnreliably(f func()) {
	switch s.r.IntN(10) {
	case 0:
	case 1, 2:
		s.delayed = append(s.delayed, f)
	default:
		f()
	}
}

func (s *sim) deliverDelayed() {
	if len(s.delayed) == 0 || s.r.IntN(3) > 0 {
		return
	}
	i := s.r.IntN(len(s.delayed))
	f := s.delayed[i]
	s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
	f()
}

func (s *sim) sendActions(h int, actions []Action) {
	for _, a := range actions {
		s.deliverUnreliably(func() { s.execute(h, a) })
	}
}

func (s *sim) execute(h int, a Action) {
	switch a := a.(type) {
	case SendFence:
		m := &s.members[s.memberIndex(a.Member)]
		if m.frozen || s.cut[h][s.memberIndex(a.Member)] {
			return
		}
		ok := a.Term > m.fenced || a.Term == m.fenced && m.nonce == a.Nonce
		if a.Term > m.fenced {
			m.fenced, m.nonce, m.leads, m.follows = a.Term, a.Nonce, 0, 0
		}
		e := FenceAnswered{Member: a.Member, Term: a.Term, Nonce: a.Nonce, OK: ok, Status: m.status(s.now)}
		s.deliverUnreliably(func() { s.sendActions(h, s.hosts[h].Step(s.now, e)) })
	case SendPromote:
		m := &s.members[s.memberIndex(a.Member)]
		if m.frozen || s.cut[h][s.memberIndex(a.Member)] {
			return
		}
		ok := a.Term == m.fenced && a.Nonce == m.nonce && m.follows == 0
		if ok && m.leads != a.Term {
			m.leads = a.Term
			m.log = append(m.log, session.Point{Term: a.Term, Position: session.Position(len(m.log) + 1)})
			s.checkLeader(m)
		}
		e := PromoteAnswered{Member: a.Member, Term: a.Term, Nonce: a.Nonce, OK: ok, Status: m.status(s.now)}
		s.deliverUnreliably(func() { s.sendActions(h, s.hosts[h].Step(s.now, e)) })
	case SendFollow:
		m := &s.members[s.memberIndex(a.Member)]
		if m.frozen || s.cut[h][s.memberIndex(a.Member)] || a.Term < m.fenced || m.leads == a.Term {
			return
		}
		m.fenced, m.leads, m.follows = a.Term, 0, a.Term
	}
}

func (s *sim) memberIndex(id MemberID) int {
	for i := range simMembers {
		if memberName(i) == id {
			return i
		}
	}
	return -1
}

func (s *sim) appendWrites() {
	for i := range s.members {
		m := &s.members[i]
		if !m.frozen && m.leads > 0 && m.leads == m.fenced && s.r.IntN(2) == 0 {
			m.log = append(m.log, session.Point{Term: m.leads, Position: session.Position(len(m.log) + 1)})
		}
	}
}

// checkAcked records the entries that host h would acknowledge and checks that every
// current primary of a later term has them.
func (s *sim) checkAcked(h int) {
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
			s.violation = fmt.Sprintf("position %d was acknowledged as %s and as %s", i+1, s.acked[i], e)
		}
		if t, ok := s.ackedTerm[e]; !ok || p.Term < t {
			s.ackedTerm[e] = p.Term
		}
	}
	for i := range s.members {
		if m := &s.members[i]; m.leads > 0 && m.leads == m.fenced {
			s.checkLeader(m)
		}
	}
}

// checkLeader checks that a primary has every entry acknowledged in earlier terms.
func (s *sim) checkLeader(m *simMember) {
	for i, e := range s.acked {
		if s.ackedTerm[e] >= m.leads {
			continue
		}
		if i >= len(m.log) || m.log[i] != e {
			s.violation = fmt.Sprintf("the primary of term %d lacks %s, acknowledged in term %d", m.leads, e, s.ackedTerm[e])
		}
	}
}

// TestRandomHistories checks under random faults that no acknowledged entry is lost.
// A failing history is shrunk to a short one.
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

// TestGuardsHaveCounterexamples checks that random histories find a violation when
// one of the safety rules is disabled. Otherwise TestRandomHistories would prove
// nothing about that rule.
func TestGuardsHaveCounterexamples(t *testing.T) {
	for _, c := range []struct {
		name      string
		configure func(*Group)
	}{
		{"acknowledged on the primary alone", func(g *Group) {
			g.AckRule = func(last []session.Point, t session.Term, _ int) session.Position { return ackedPosition(last, t, 1) }
		}},
		{"promoted without a majority fenced", func(g *Group) { g.FenceQuorum = 1 }},
		{"the shortest log promoted", func(g *Group) {
			g.LessPreferred = func(a, b MemberStatus) bool { return b.Last.Less(a.Last) }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			const most = 300
			for seed := range uint64(most) {
				if newSim(seed, c.configure).run(1200) != "" {
					return
				}
			}
			t.Errorf("no counterexample in %d histories", most)
		})
	}
}

// TestFailoverHeals checks liveness: after all faults end, new entries are
// acknowledged again.
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
				s.deliverReports(h)
				s.sendActions(h, s.hosts[h].Step(s.now, Tick{}))
			}
			s.deliverDelayed()
			s.appendWrites()
		}
		if len(s.acked) <= before {
			t.Errorf("seed %d: nothing was acknowledged in 12 s after all faults ended", seed)
		}
	}
}
