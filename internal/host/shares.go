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
	sharePrefix = "share/"
	// shareInterval is the time between two rounds of rebalancing.
	shareInterval = 250 * time.Millisecond
	// sharePollWait is the long-poll time for changes of the share rows.
	sharePollWait = 20 * time.Second
	// demandWindow is the number of rounds over which the peak demand counts.
	demandWindow = 8
	// evictAfter is how long a host must be missing before its shares and loans
	// are reclaimed.
	evictAfter = 5 * time.Second
)

// resource is a fixed number of units that the hosts divide among themselves:
// the connections to an endpoint, or the connection cap of a client account.
type resource struct {
	key   string
	total int
	// demand returns the number of units that this host could use: for an
	// endpoint, the highest number wanted since the last call.
	demand func() int
	// inUse returns the number of units that this host uses now.
	inUse func() int
	// setLimit sets how many units this host may use, and the run ID to use them
	// under.
	setLimit func(n int, run core.HostID)
	// evict returns nil only if the run uses no units and can't use any later. It
	// ends the run's use where that is possible from outside.
	evict func(ctx context.Context, run core.HostID) error
	// releasedByHolder is true if only the host that uses a unit can end its use.
	releasedByHolder bool

	// epoch is increased after each eviction of this host, to get a new run ID.
	epoch int
	// hadShare is true if the current run ID has been in the table, so that its
	// absence means eviction.
	hadShare     bool
	recentDemand []int
	// ownShare is this host's share as last read from or written to the table.
	ownShare int
	// writeUnknown is true if the outcome of the last write is unknown.
	writeUnknown bool
	// attemptedShare is this host's share in the last write. While the outcome of
	// several writes in a row is unknown, it is their smallest.
	attemptedShare int
	// loansGranted are the loans to peers, by borrower.
	loansGranted map[core.HostID]grantedLoan
	// loanSeq numbers the granted loans, so that each has its own run ID.
	loanSeq int
	// loanTaken is the loan that this host uses, or nil.
	loanTaken *loan
	// loanRounds counts the rounds that requested or used a loan. It selects the
	// peer to ask and the rounds that retry the table.
	loanRounds int
}

// sharer maintains this host's shares of all resources in the platform's table.
// A share is not a lease, which could expire while its holder is paused and
// still believes that it has it. It stays until its holder returns it, or until
// another host has evicted the holder: at the endpoint itself, or, for account
// caps, after the platform has stopped listing the host.
type sharer struct {
	table *platform.Client
	self  core.HostID
	clock clock.Clock
	// hosts returns the sorted live hosts, this one included.
	hosts func() []core.HostID
	// fixed selects the baseline of equal parts instead of shares by demand.
	fixed bool
	// peers returns the live peers.
	peers func() []peer.Info
	// send sends a loan message to a peer.
	send func(peer.Info, peer.Loan)

	// mu guards resources and rows.
	mu        sync.Mutex
	resources map[string]*resource
	// rows holds the share rows as last read, by key.
	rows map[string]platform.Row
	// missingSince holds when a holder or borrower was first found missing. Only
	// the goroutine of run uses it.
	missingSince   map[core.HostID]time.Time
	roundRequested chan struct{}
	loanMessages   chan peer.Loan
}

func newSharer(table *platform.Client, self core.HostID, clk clock.Clock) *sharer {
	return &sharer{
		table:          table,
		self:           self,
		clock:          clk,
		resources:      make(map[string]*resource),
		rows:           make(map[string]platform.Row),
		missingSince:   make(map[core.HostID]time.Time),
		roundRequested: make(chan struct{}, 1),
		loanMessages:   make(chan peer.Loan, loanQueueLength),
	}
}

// add starts sharing a resource, or updates the total of one with the same key.
func (s *sharer) add(r *resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.resources[r.key]; have != nil {
		have.total = r.total
		return
	}
	s.resources[r.key] = r
}

// requestRound starts the next round without waiting for the interval.
func (s *sharer) requestRound() {
	select {
	case s.roundRequested <- struct{}{}:
	default:
	}
}

// watchRows follows the changes of the share rows until ctx ends.
func (s *sharer) watchRows(ctx context.Context) error {
	var since platform.Revision
	for ctx.Err() == nil {
		rows, revision, err := s.table.Changes(ctx, sharePrefix, since, sharePollWait)
		if err != nil {
			sleep(ctx, s.clock, shareInterval)
			continue
		}
		since = revision
		s.mu.Lock()
		for _, r := range rows {
			s.storeRow(r)
		}
		s.mu.Unlock()
		s.requestRound()
	}
	return nil
}

// storeRow stores a row if it is newer than the stored one. The caller holds mu.
func (s *sharer) storeRow(r platform.Row) {
	if r.Revision > s.rows[r.Key].Revision {
		s.rows[r.Key] = r
	}
}

// run rebalances all resources at each interval and on request, and handles
// loan messages, until ctx ends.
func (s *sharer) run(ctx context.Context) error {
	ticker := s.clock.Ticker(shareInterval)
	defer ticker.Stop()
	for {
		for _, r := range s.list() {
			s.runRound(ctx, r)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.roundRequested:
		case m := <-s.loanMessages:
			s.handleLoan(ctx, m)
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

// runID returns the run ID under which this host holds its share of a resource.
func (s *sharer) runID(r *resource) core.HostID {
	return core.HostID(fmt.Sprintf("%s+%d", s.self, r.epoch))
}

// applyLimit sets what this host may use of a share of n units: all but those
// that it lent out.
func (s *sharer) applyLimit(r *resource, n int) {
	if r.writeUnknown {
		// The write may have taken effect and given units back, which another
		// host may use by now.
		n = min(n, r.attemptedShare)
	}
	r.setLimit(max(0, n-r.lentUnits()), s.runID(r))
}

// runRound runs one round for a resource: it applies this host's share in the
// table, adapts the share to the demand, and reclaims the shares and loans of
// missing hosts.
func (s *sharer) runRound(ctx context.Context, r *resource) {
	hosts := s.hosts()
	if s.fixed {
		s.applyFixedShare(r, hosts)
		return
	}
	read, version, ok := s.currentShares(r)
	if !ok {
		return
	}
	own, have := read.Of(s.runID(r))
	if s.handleEviction(r, have) {
		return
	}
	r.ownShare = own.N
	if s.maintainLoan(r, own.N) {
		return
	}
	if own.N > 0 {
		r.hadShare = true
		s.applyLimit(r, own.N)
	}
	s.reclaimLoans(ctx, r, hosts)
	next := s.rebalance(r, s.reclaimShares(ctx, r, read, hosts), len(hosts))
	if version == 0 || !equalShares(next, read) {
		s.applyShares(ctx, r, next, version)
	}
	// Without a share and with the table out of reach, a loan from a peer is the
	// only way to get units.
	if own.N == 0 && r.writeUnknown {
		s.requestLoan(r)
	}
}

// handleEviction reports whether another host evicted this one. If so, this host
// stops using the share and switches to a new run ID, since the old one is
// barred.
func (s *sharer) handleEviction(r *resource, have bool) bool {
	if have || !r.hadShare {
		return false
	}
	r.setLimit(0, s.runID(r))
	r.epoch++
	r.hadShare = false
	return true
}

// rebalance returns the shares adapted to this host's recent peak demand.
func (s *sharer) rebalance(r *resource, shares core.Shares, hosts int) core.Shares {
	return shares.Rebalance(s.runID(r), s.peakDemand(r), r.inUse()+r.lentUnits(), hosts)
}

// applyShares writes new shares to the table and applies this host's part. Units
// that it gives back are no longer in use by the time they are written as free.
func (s *sharer) applyShares(ctx context.Context, r *resource, next core.Shares, version platform.Version) {
	mine, _ := next.Of(s.runID(r))
	if mine.N < r.ownShare {
		s.applyLimit(r, mine.N)
		if r.inUse()+r.lentUnits() > mine.N {
			return
		}
	}
	if !s.writeShares(ctx, r, next, version) {
		return
	}
	r.hadShare = true
	r.ownShare = mine.N
	if !s.maintainLoan(r, mine.N) {
		s.applyLimit(r, mine.N)
	}
}

// peakDemand samples the demand and returns the highest of the last demandWindow
// rounds.
func (s *sharer) peakDemand(r *resource) int {
	r.recentDemand = append(r.recentDemand, r.demand())
	if len(r.recentDemand) > demandWindow {
		r.recentDemand = r.recentDemand[1:]
	}
	return slices.Max(r.recentDemand)
}

// currentShares returns the shares of a resource as last read from the table,
// with the row's version. It returns false if the row is not valid.
func (s *sharer) currentShares(r *resource) (core.Shares, platform.Version, bool) {
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

// reclaimShares returns the shares without those of runs that it evicted: runs of
// hosts missing for longer than evictAfter, and former run IDs of this host.
func (s *sharer) reclaimShares(ctx context.Context, r *resource, sh core.Shares, hosts []core.HostID) core.Shares {
	for _, h := range sh.Holders {
		base, _, _ := strings.Cut(string(h.Run), "+")
		if core.HostID(base) == s.self || slices.Contains(hosts, core.HostID(base)) {
			delete(s.missingSince, core.HostID(base))
			if core.HostID(base) != s.self || h.Run == s.runID(r) {
				continue
			}
		} else if !s.missingTooLong(core.HostID(base)) {
			continue
		}
		if err := r.evict(ctx, h.Run); err != nil {
			continue
		}
		sh = sh.WithoutRun(h.Run)
	}
	return sh
}

// missingTooLong reports whether a host that is missing now was first found
// missing more than evictAfter ago.
func (s *sharer) missingTooLong(host core.HostID) bool {
	now := s.clock.Now()
	since, ok := s.missingSince[host]
	if !ok {
		s.missingSince[host] = now
		return false
	}
	return now.Sub(since) > evictAfter
}

// writeShares commits the shares to the table and reports success. A conflict
// updates the stored row; any other failure leaves the outcome unknown.
func (s *sharer) writeShares(ctx context.Context, r *resource, sh core.Shares, version platform.Version) bool {
	value, err := json.Marshal(sh)
	if err != nil {
		return false
	}
	revision, err := s.table.Commit(ctx, []platform.Write{{Key: r.key, Expect: version, Value: value}})
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict *platform.ConflictError
	unknown := err != nil && !errors.As(err, &conflict)
	mine, _ := sh.Of(s.runID(r))
	if unknown && r.writeUnknown {
		mine.N = min(mine.N, r.attemptedShare)
	}
	r.attemptedShare, r.writeUnknown = mine.N, unknown
	if conflict != nil {
		for _, row := range conflict.Rows {
			s.storeRow(row)
		}
	}
	if err != nil {
		return false
	}
	s.storeRow(platform.Row{Key: r.key, Version: version + 1, Revision: revision, Value: value})
	return true
}

// releaseShares returns this host's shares when it drains, except those of which
// units are still in use.
func (s *sharer) releaseShares(ctx context.Context) {
	if s.fixed {
		return
	}
	for _, r := range s.list() {
		r.setLimit(0, s.runID(r))
		sh, version, ok := s.currentShares(r)
		if _, have := sh.Of(s.runID(r)); ok && have && r.inUse() == 0 {
			s.writeShares(ctx, r, sh.WithoutRun(s.runID(r)), version)
		}
	}
}

// applyFixedShare sets the limit under the fixed policy: equal parts for all live
// hosts, the remainder going to the first in sorted order.
func (s *sharer) applyFixedShare(r *resource, hosts []core.HostID) {
	n := r.total / len(hosts)
	if slices.Index(hosts, s.self) < r.total%len(hosts) {
		n++
	}
	r.setLimit(n, s.runID(r))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, clk clock.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clk.After(d):
	}
}
