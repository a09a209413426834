package grants

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/ratelimit"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/internal/revision"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// leaseStore stands in for the row of the lease.
type leaseStore struct {
	now  replicaset.Instant
	row  Lease
	era  revision.Era
	down bool
	// loseAnswer makes the next write take effect without an answer.
	loseAnswer bool
	reads      int
}

var errDown = errors.New("the store is down")

func (s *leaseStore) read(context.Context) (Lease, error) {
	if s.down {
		return Lease{}, errDown
	}
	s.reads++
	l := s.row
	l.ReadEra, l.Now, l.SentAt = s.era, time.Duration(s.now), s.now
	return l, nil
}

func (s *leaseStore) write(_ context.Context, old, next Lease, _ bool) (Lease, error) {
	if s.down {
		return Lease{}, errDown
	}
	if old.Version != s.row.Version {
		return Lease{}, ErrConflict
	}
	next.Version = s.row.Version + 1
	next.ReadEra, next.Now, next.SentAt = s.era, time.Duration(s.now), s.now
	s.row = next
	if s.loseAnswer {
		s.loseAnswer = false
		return Lease{}, errDown
	}
	return next, nil
}

func newService(s *leaseStore, host string, rank int) *Service {
	g := &Service{
		Host: host, Incarnation: 1, Bounds: ratelimit.DefaultBounds(), BootTime: func() replicaset.Instant { return s.now }, Bootstrap: true,
		Rank: func() (int, bool) { return rank, true }, ReadLease: s.read, WriteLease: s.write,
	}
	g.SetLimits(map[session.Account]ratelimit.Limit{"mill": {Rate: 5, Burst: 5}})
	return g
}

func (s *Service) grants() bool {
	_, ok := s.lease.grantsUntil(s.BootTime())
	return ok
}

// run lets the hosts act until the time, and checks that no two of them grant at once.
func (s *leaseStore) run(t *testing.T, until replicaset.Instant, hosts ...*Service) {
	t.Helper()
	for ; s.now < until; s.now += replicaset.Instant(leaseCheckInterval) {
		granting := 0
		for _, h := range hosts {
			h.checkLease(context.Background())
			if h.grants() {
				granting++
			}
		}
		if granting > 1 {
			t.Fatalf("%d hosts grant at %s", granting, time.Duration(s.now))
		}
	}
}

func at(d time.Duration) replicaset.Instant { return replicaset.Instant(d) }

// TestLeaseIsTakenOver guards against two hosts that grant at once, and against none that does,
// when the holder stops without a word.
func TestLeaseIsTakenOver(t *testing.T) {
	s := &leaseStore{now: at(time.Minute), era: 1}
	a, b := newService(s, "a", 0), newService(s, "b", 1)
	s.run(t, s.now+at(time.Second), a, b)
	if !a.grants() || b.grants() {
		t.Fatal("the first host in the order does not grant")
	}
	b.SetHolder("a")
	b.heldUntil = s.now.Add(LeaseTime)
	s.run(t, s.now+at(LeaseTime-time.Second), b)
	if b.grants() {
		t.Fatal("another host grants before the lease has ended")
	}
	s.run(t, s.now+at(6*time.Second), b)
	if !b.grants() {
		t.Error("no host has taken over a lease that has ended")
	}
	if b.lease.held.Epoch <= 1 {
		t.Errorf("the epoch is %d after a takeover", b.lease.held.Epoch)
	}
}

// TestLeaseAfterRestart guards against a restarted holder that waits for its own lease, or that
// grants the full rate while hosts may use fallback rates that it gave before.
func TestLeaseAfterRestart(t *testing.T) {
	s := &leaseStore{now: at(time.Minute), era: 1}
	a := newService(s, "a", 0)
	s.run(t, s.now+at(time.Second), a)
	again := newService(s, "a", 0)
	again.Bootstrap = false
	again.SetHolder("a")
	s.run(t, s.now+at(time.Second), again)
	if !again.grants() {
		t.Fatal("the restarted holder does not grant")
	}
	if got := again.lease.attempt.ReducedUntil; got <= time.Duration(s.now) {
		t.Error("the restarted holder grants the full rate at once")
	}
}

// TestLostAnswerOfTheLease guards against a holder that gives up its lease, or reduces what it
// grants, because the answer to a write was lost.
func TestLostAnswerOfTheLease(t *testing.T) {
	s := &leaseStore{now: at(time.Minute), era: 1, loseAnswer: true}
	a := newService(s, "a", 0)
	s.run(t, s.now+at(4*time.Second), a)
	if !a.grants() || a.lease.attempt.ReducedUntil != 0 {
		t.Fatalf("after a lost answer to the first write: grants %t, reduced until %s", a.grants(), a.lease.attempt.ReducedUntil)
	}
	epoch := a.lease.held.Epoch
	s.loseAnswer = true
	s.run(t, s.now+at(2*LeaseTime), a)
	if !a.grants() || a.lease.held.Epoch != epoch {
		t.Errorf("after a lost answer to a renewal: grants %t, epoch %d, want %d", a.grants(), a.lease.held.Epoch, epoch)
	}
}

// TestLeaseWhileStoreIsDown guards against a holder that grants beyond its lease, and against hosts
// whose fallback rates do not outlast an outage of 9 s and the takeover after it.
func TestLeaseWhileStoreIsDown(t *testing.T) {
	s := &leaseStore{now: at(time.Minute), era: 1}
	a, b := newService(s, "a", 0), newService(s, "b", 1)
	s.run(t, s.now+at(4*time.Second), a, b)
	b.SetHolder("a")
	s.down = true
	s.run(t, s.now+at(LeaseTime-renewInterval-time.Second), a, b)
	if !a.grants() {
		t.Fatal("the holder gives up before its lease has ended")
	}
	lastGrant := s.now
	s.run(t, s.now+at(9*time.Second-LeaseTime+renewInterval+time.Second), a, b)
	if a.grants() || b.grants() {
		t.Fatal("a host grants although its lease has ended")
	}
	s.down = false
	s.run(t, lastGrant+at(ratelimit.FallbackTime), a, b)
	if !a.grants() && !b.grants() {
		t.Error("no host grants before the fallback rates have ended")
	}
	for _, h := range []*Service{a, b} {
		if h.grants() && h.lease.attempt.ReducedUntil < time.Duration(lastGrant)+ratelimit.FallbackTime {
			t.Errorf("reduced until %s, fallback rates may be in use after that", h.lease.attempt.ReducedUntil)
		}
	}
}

// TestLeaseAfterRestore guards against a second holder after the store came back from a copy that
// lacks the lease.
func TestLeaseAfterRestore(t *testing.T) {
	s := &leaseStore{now: at(time.Minute), era: 1}
	a, b := newService(s, "a", 0), newService(s, "b", 1)
	s.run(t, s.now+at(time.Second), a, b)
	b.SetHolder("a")
	s.era, s.row = 2, Lease{}
	b.SetHolder("")
	s.run(t, s.now+at(40*time.Second), a, b)
	if !a.grants() {
		t.Error("the holder has given up a lease that only the store has lost")
	}
	epoch := a.lease.held.Epoch

	s.era, s.row = 3, Lease{}
	s.run(t, s.now+at(LeaseTime+ratelimit.FallbackTime), b)
	if b.grants() {
		t.Error("another host grants while a lost lease, or its fallback rates, may be in force")
	}
	s.run(t, s.now+at(10*time.Second), b)
	if !b.grants() || b.lease.held.Epoch <= epoch {
		t.Errorf("after the wait: grants %t, epoch %d, want more than %d", b.grants(), b.lease.held.Epoch, epoch)
	}
}

// TestReleasedLease guards against a gap when a host stops as planned.
func TestReleasedLease(t *testing.T) {
	s := &leaseStore{now: at(time.Minute), era: 1}
	a, b := newService(s, "a", 0), newService(s, "b", 1)
	s.run(t, s.now+at(time.Second), a, b)
	b.SetHolder("a")
	a.Stop(context.Background())
	if a.grants() {
		t.Fatal("a stopped host grants")
	}
	b.SetHolder("")
	s.run(t, s.now+at(4*time.Second), b)
	if !b.grants() || b.lease.attempt.ReducedUntil <= time.Duration(s.now) {
		t.Errorf("after a release: grants %t, reduced until %s", b.grants(), b.lease.attempt.ReducedUntil)
	}
}

// TestFewHostsReadTheLease guards against a whole fleet that polls the store for the lease.
func TestFewHostsReadTheLease(t *testing.T) {
	s := &leaseStore{now: at(time.Minute), era: 1}
	hosts := []*Service{newService(s, "a", 0)}
	s.run(t, s.now+at(time.Second), hosts...)
	for i := 1; i < 60; i++ {
		h := newService(s, "other", i)
		h.SetHolder("a")
		hosts = append(hosts, h)
	}
	s.reads = 0
	s.run(t, s.now+at(time.Minute), hosts...)
	if s.reads > 30 {
		t.Errorf("%d reads of the lease in a minute by 60 hosts, want 30 at most", s.reads)
	}
}

// TestRecovery guards against a granting host that grants the full rate while fallback rates of a former epoch may be in
// use, whoever gave them, and against terms in short sequence that each start with filled buckets.
func TestRecovery(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		name string
		old  Lease
		// reduced is the remaining time with reduced grants.
		reduced time.Duration
		filled  bool
	}{
		{"first lease", Lease{}, 0, true},
		{"in force", Lease{Version: 1, Epoch: 4, Until: now + time.Second}, 13 * time.Second, true},
		{"released", Lease{Version: 1, Epoch: 4, Released: true, Until: now + 5*time.Second}, 17 * time.Second, true},
		{"expired", Lease{Version: 1, Epoch: 4, Until: now - 4*time.Second}, 8 * time.Second, true},
		{"expired long ago", Lease{Version: 1, Epoch: 4, Until: now - 12*time.Second}, 0, true},
		{"filled a moment ago", Lease{Version: 1, Epoch: 4, Until: now, FilledAt: now - 6*time.Second}, 12 * time.Second, false},
		{"filled before", Lease{Version: 1, Epoch: 4, Until: now, FilledAt: now - 7*time.Second}, 12 * time.Second, true},
	}
	for _, tc := range tests {
		tc.old.Now, tc.old.SentAt = now, at(now)
		var l leaseState
		r := l.recoveryFrom(tc.old, Lease{Epoch: 5}, ratelimit.DefaultBounds().StartInterval())
		if got := max(r.ReducedUntil-now, 0); got != tc.reduced || r.Filled != tc.filled {
			t.Errorf("%s: reduced for %s, filled %t, want %s, %t", tc.name, got, r.Filled, tc.reduced, tc.filled)
		}
	}
}

// TestStopAfterLostRenewal guards against a lease that a stopping host keeps to its end: a renewal
// had taken effect that the host had no answer to, so that the release was refused.
func TestStopAfterLostRenewal(t *testing.T) {
	st := &leaseStore{now: at(time.Minute), era: 1}
	s := newService(st, "a", 0)
	st.run(t, st.now+at(5*time.Second), s)
	st.loseAnswer = true
	for st.loseAnswer {
		st.run(t, st.now+at(leaseCheckInterval), s)
	}
	s.Stop(context.Background())
	if !st.row.Released {
		t.Errorf("the lease after a stop is %+v, want it released", st.row)
	}
}

// TestHolderIsAnnouncedAgain guards against hosts that know no granting host for as long as one
// renews its lease: the store had come back from a copy without the announcement.
func TestHolderIsAnnouncedAgain(t *testing.T) {
	for _, announced := range []string{"", "b"} {
		st := &leaseStore{now: at(time.Minute), era: 1}
		s := newService(st, "a", 0)
		st.run(t, st.now+at(5*time.Second), s)
		s.WriteLease = func(ctx context.Context, old, next Lease, announce bool) (Lease, error) {
			written, err := st.write(ctx, old, next, announce)
			if announce && err == nil {
				s.SetHolder(next.Holder)
			}
			return written, err
		}
		s.SetHolder(announced)
		st.run(t, st.now+at(2*renewInterval), s)
		if !s.grants() || s.holder != "a" {
			t.Errorf("granting %v, announced holder %q after %q, want the host that renews the lease", s.grants(), s.holder, announced)
		}
	}
}

// TestStopDuringTakeover guards against a lease that a stopping host takes and keeps to its end:
// the write was on its way when the host stopped.
func TestStopDuringTakeover(t *testing.T) {
	st := &leaseStore{now: at(time.Minute), era: 1}
	s := newService(st, "a", 0)
	stopped := false
	s.WriteLease = func(ctx context.Context, old, next Lease, announce bool) (Lease, error) {
		if !stopped {
			stopped = true
			s.Stop(ctx)
		}
		return st.write(ctx, old, next, announce)
	}
	st.run(t, st.now+at(5*time.Second), s)
	if !stopped || !st.row.Released || s.grants() {
		t.Errorf("stopped %t during the takeover, the lease is %+v, want it released", stopped, st.row)
	}
}

// TestReleaseWhileFirstHostsAreAway guards against seconds without a granting host when hosts stop
// one after the other: a lease was released while the hosts that take it over first were stopping,
// too, and for 6 s no other host took it.
func TestReleaseWhileFirstHostsAreAway(t *testing.T) {
	s := &leaseStore{now: at(time.Minute), era: 1}
	a := newService(s, "a", 0)
	s.run(t, s.now+at(time.Second), a)
	var others []*Service
	for rank := 6; rank < 12; rank++ {
		h := newService(s, string(rune('a'+rank)), rank)
		h.Bootstrap = false
		h.SetHolder("a")
		others = append(others, h)
	}
	s.run(t, s.now+at(time.Second), append(others, a)...)
	a.Stop(context.Background())
	for _, h := range others {
		h.SetHolder("")
	}
	s.run(t, s.now+at(2*time.Second), others...)
	granting := 0
	for _, h := range others {
		if h.grants() {
			granting++
		}
	}
	if granting != 1 {
		t.Errorf("%d hosts grant 2 s after the release, want 1", granting)
	}
}

// TestUnreadableLeaseEnds guards against a fleet in which no host grants for as long as the row of
// the lease can't be read: each read took it for a lease that had just been renewed.
func TestUnreadableLeaseEnds(t *testing.T) {
	st := &leaseStore{now: at(time.Minute), era: 1}
	st.row = Lease{Holder: "?", Epoch: 7, Era: 1, Version: 3}
	a, b := newService(st, "a", 0), newService(st, "b", 1)
	for _, s := range []*Service{a, b} {
		s.ReadLease = func(ctx context.Context) (Lease, error) {
			l, err := st.read(ctx)
			if l.Holder == "?" {
				l.Until, l.FilledAt = l.Now+LeaseTime, l.Now
			}
			return l, err
		}
	}
	st.run(t, st.now+at(LeaseTime), a, b)
	if a.grants() || b.grants() {
		t.Error("a host grants while the lease may be in use")
	}
	st.run(t, st.now+at(LeaseTime), a, b)
	if !a.grants() && !b.grants() || st.row.Epoch <= 7 {
		t.Errorf("12 s after an unreadable lease was seen, the lease is %+v, want one of a host that grants", st.row)
	}
}

// TestRestartedHolderHearsOfIdleHosts guards against a restarted holder that holds back a part of the
// rate for hosts which live but have no demand: they must send a request when it is announced again.
func TestRestartedHolderHearsOfIdleHosts(t *testing.T) {
	s := &leaseStore{now: at(time.Minute), era: 1}
	b := newService(s, "b", 1)
	for epoch := range ratelimit.Epoch(2) {
		b.SetHolder("a")
		r, due := b.spender.Request(b.now())
		if !due {
			t.Fatalf("a host without demand sends nothing when the holder is announced, epoch %d", epoch+1)
		}
		b.spender.Receive(b.now(), b.now(), ratelimit.Response{Epoch: epoch + 1, Incarnation: 1, Sequence: r.Sequence, Lease: LeaseTime})
		for range 20 {
			// Requests that only confirm the last response.
			s.now = s.now.Add(300 * time.Millisecond)
			if r, due := b.spender.Request(b.now()); due {
				b.spender.Receive(b.now(), b.now(), ratelimit.Response{Epoch: epoch + 1, Incarnation: 1, Sequence: r.Sequence, Lease: LeaseTime})
			}
		}
	}
}
