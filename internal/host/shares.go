package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/benbjohnson/clock"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/peer"
	"github.com/cumintrestle/cumintrestle/internal/platform"
)

const (
	sharePrefix   = "share/"
	shareInterval = 250 * time.Millisecond
	shareWait     = 20 * time.Second
	demandWindow  = 8
	// evictAfter is how long a holder must be gone before its share is taken.
	evictAfter = 5 * time.Second
)

// resource is one scarce thing that the hosts share.
type resource struct {
	key   string
	total int
	// demand returns the highest number wanted since the last call.
	demand func() int
	// held returns the number in use.
	held func() int
	// setLimit sets how many this host may use, as the given run.
	setLimit func(n int, run core.HostID)
	// evict makes sure that a run that is gone uses nothing any more.
	evict func(ctx context.Context, run core.HostID) error
	// byHost is true when only the host that uses a unit can end its use.
	byHost bool

	epoch  int
	had    bool
	recent []int
	// own is this host's share as the table has it; cutOff is true when the
	// table could not be written.
	own    int
	cutOff bool
	// offered is the share in a write whose outcome is not known.
	offered int
	lent    map[core.HostID]lentPart
	loans   int
	loan    *loan
	asked   int
}

// sharer keeps this host's shares of all resources in the platform's table.
// A share has no lease that could lapse while its holder is paused: it stays
// until its holder gives it back, or another host has made sure, at the
// endpoint itself, that the holder can't use it.
type sharer struct {
	table *platform.Client
	self  core.HostID
	clock clock.Clock
	// hosts returns the live hosts, this one included.
	hosts func() []core.HostID
	fixed bool
	// peers lists the live peers, and send talks to one.
	peers func() []peer.Info
	send  func(peer.Info, peer.Loan)

	mu        sync.Mutex
	resources map[string]*resource
	rows      map[string]platform.Row
	goneSince map[core.HostID]time.Time
	kick      chan struct{}
	mail      chan peer.Loan
}

func newSharer(table *platform.Client, self core.HostID, clk clock.Clock) *sharer {
	return &sharer{
		table:     table,
		self:      self,
		clock:     clk,
		resources: make(map[string]*resource),
		rows:      make(map[string]platform.Row),
		goneSince: make(map[core.HostID]time.Time),
		kick:      make(chan struct{}, 1),
		mail:      make(chan peer.Loan, loanQueue),
	}
}

// add starts sharing a resource, or changes its total.
func (s *sharer) add(r *resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.resources[r.key]; have != nil {
		have.total = r.total
		return
	}
	s.resources[r.key] = r
}

// hurry makes the next round start at once.
func (s *sharer) hurry() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// watch keeps the rows of all shares up to date.
func (s *sharer) watch(ctx context.Context) error {
	var since platform.Revision
	for ctx.Err() == nil {
		rows, revision, err := s.table.Changes(ctx, sharePrefix, since, shareWait)
		if err != nil {
			sleep(ctx, s.clock, shareInterval)
			continue
		}
		since = revision
		s.mu.Lock()
		for _, r := range rows {
			s.note(r)
		}
		s.mu.Unlock()
		s.hurry()
	}
	return nil
}

// note keeps the later of two states of a row. The caller holds mu.
func (s *sharer) note(r platform.Row) {
	if r.Revision > s.rows[r.Key].Revision {
		s.rows[r.Key] = r
	}
}

// run rebalances again and again.
func (s *sharer) run(ctx context.Context) error {
	ticker := s.clock.Ticker(shareInterval)
	defer ticker.Stop()
	for {
		for _, r := range s.list() {
			s.round(ctx, r)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.kick:
		case m := <-s.mail:
			s.takeLoan(ctx, m)
		}
	}
}

func (s *sharer) list() []*resource {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*resource, 0, len(s.resources))
	for _, r := range s.resources {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *resource) int { return strings.Compare(a.key, b.key) })
	return out
}

func (s *sharer) runOf(r *resource) core.HostID {
	return core.HostID(fmt.Sprintf("%s+%d", s.self, r.epoch))
}

// use sets what this host may use of a share of n.
func (s *sharer) use(r *resource, n int) {
	if r.cutOff {
		// A write that gave units back may have taken effect.
		n = min(n, r.offered)
	}
	r.setLimit(max(0, n-r.lentOut()), s.runOf(r))
}

// round looks after this host's share of one resource: it uses what the table
// says, gives back or takes what demand asks for, and reclaims what hosts that
// are gone left behind.
func (s *sharer) round(ctx context.Context, r *resource) {
	hosts := s.hosts()
	if s.fixed {
		s.fixedSplit(r, hosts)
		return
	}
	read, version, ok := s.current(r)
	if !ok {
		return
	}
	own, have := read.Of(s.runOf(r))
	if s.evicted(r, have) {
		return
	}
	r.own = own.N
	if s.borrowed(r, own.N) {
		return
	}
	if own.N > 0 {
		r.had = true
		s.use(r, own.N)
	}
	s.reclaimLoans(ctx, r, hosts)
	next := s.rebalance(r, s.reclaim(ctx, r, read, hosts), len(hosts))
	if version == 0 || !equalShares(next, read) {
		s.settle(ctx, r, next, version)
	}
	if own.N == 0 && r.cutOff {
		s.borrow(r)
	}
}

// evicted reports whether another host took this one for gone and barred its
// run. It then goes on as another run.
func (s *sharer) evicted(r *resource, have bool) bool {
	if have || !r.had {
		return false
	}
	r.setLimit(0, s.runOf(r))
	r.epoch++
	r.had = false
	return true
}

// rebalance returns the shares as demand asks for them.
func (s *sharer) rebalance(r *resource, shares core.Shares, hosts int) core.Shares {
	return shares.Rebalance(s.runOf(r), s.smooth(r), r.held()+r.lentOut(), hosts)
}

// settle writes new shares. Units that are given back are not used any more
// before the table hears of it.
func (s *sharer) settle(ctx context.Context, r *resource, next core.Shares, version platform.Version) {
	mine, _ := next.Of(s.runOf(r))
	if mine.N < r.own {
		s.use(r, mine.N)
		if r.held()+r.lentOut() > mine.N {
			return
		}
	}
	if !s.write(ctx, r, next, version) {
		return
	}
	r.had = true
	r.own = mine.N
	if !s.borrowed(r, mine.N) {
		s.use(r, mine.N)
	}
}

// smooth returns the highest demand of the last rounds.
func (s *sharer) smooth(r *resource) int {
	r.recent = append(r.recent, r.demand())
	if len(r.recent) > demandWindow {
		r.recent = r.recent[1:]
	}
	return slices.Max(r.recent)
}

// current returns a resource's shares as last read.
func (s *sharer) current(r *resource) (core.Shares, platform.Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[r.key]
	if !ok || row.Deleted {
		return core.Shares{Total: r.total}, 0, true
	}
	var sh core.Shares
	if err := json.Unmarshal(row.Value, &sh); err != nil {
		return core.Shares{}, 0, false
	}
	sh.Total = r.total
	return sh, row.Version, true
}

func equalShares(a, b core.Shares) bool {
	return a.Total == b.Total && slices.Equal(a.Holders, b.Holders)
}

// reclaim takes the shares of runs that are gone and evicted.
func (s *sharer) reclaim(ctx context.Context, r *resource, sh core.Shares, hosts []core.HostID) core.Shares {
	for _, h := range sh.Holders {
		base, _, _ := strings.Cut(string(h.Run), "+")
		if core.HostID(base) == s.self || slices.Contains(hosts, core.HostID(base)) {
			delete(s.goneSince, core.HostID(base))
			if core.HostID(base) != s.self || h.Run == s.runOf(r) {
				continue
			}
		} else if !s.goneFor(core.HostID(base)) {
			continue
		}
		if err := r.evict(ctx, h.Run); err != nil {
			continue
		}
		sh = sh.Without(h.Run)
	}
	return sh
}

func (s *sharer) goneFor(host core.HostID) bool {
	now := s.clock.Now()
	since, ok := s.goneSince[host]
	if !ok {
		s.goneSince[host] = now
		return false
	}
	return now.Sub(since) > evictAfter
}

func (s *sharer) write(ctx context.Context, r *resource, sh core.Shares, version platform.Version) bool {
	value, err := json.Marshal(sh)
	if err != nil {
		return false
	}
	revision, err := s.table.Commit(ctx, []platform.Write{{Key: r.key, Expect: version, Value: value}})
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict *platform.ConflictError
	unknown := err != nil && !errors.As(err, &conflict)
	mine, _ := sh.Of(s.runOf(r))
	if unknown && r.cutOff {
		mine.N = min(mine.N, r.offered)
	}
	r.offered, r.cutOff = mine.N, unknown
	if conflict != nil {
		for _, row := range conflict.Rows {
			s.note(row)
		}
	}
	if err != nil {
		return false
	}
	s.note(platform.Row{Key: r.key, Version: version + 1, Revision: revision, Value: value})
	return true
}

// handBack gives all shares back when the host leaves.
func (s *sharer) handBack(ctx context.Context) {
	if s.fixed {
		return
	}
	for _, r := range s.list() {
		r.setLimit(0, s.runOf(r))
		sh, version, ok := s.current(r)
		if _, have := sh.Of(s.runOf(r)); ok && have && r.held() == 0 {
			s.write(ctx, r, sh.Without(s.runOf(r)), version)
		}
	}
}

// fixedSplit is the baseline: equal parts by place among the live hosts.
func (s *sharer) fixedSplit(r *resource, hosts []core.HostID) {
	n := r.total / len(hosts)
	if slices.Index(hosts, s.self) < r.total%len(hosts) {
		n++
	}
	r.setLimit(n, s.runOf(r))
}

func sleep(ctx context.Context, clk clock.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clk.After(d):
	}
}
