package host

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/peer"
)

const loanQueueLength = 64

// loan is a part of a peer's share that this host uses while it can't get a
// share of its own, because it started while the platform was down. The run ID
// that it is used under begins with the lender's run ID, so that evicting the
// lender also evicts the borrower and the units in use never exceed the total.
type loan struct {
	lender peer.Info
	run    core.HostID
	n      int
}

// grantedLoan is a part of this host's share that it lent to a peer, which uses
// it under the given run ID.
type grantedLoan struct {
	n   int
	run core.HostID
}

// enqueueLoan passes a loan message to the goroutine of run. It drops the
// message if the queue is full.
func (s *sharer) enqueueLoan(m peer.Loan) {
	select {
	case s.loanMessages <- m:
	default:
	}
}

// lentUnits returns the number of units that this host has lent out.
func (r *resource) lentUnits() int {
	n := 0
	for _, x := range r.loansGranted {
		n += x.n
	}
	return n
}

// handleLoan handles a loan message from a peer.
func (s *sharer) handleLoan(ctx context.Context, m peer.Loan) {
	s.mu.Lock()
	r := s.resources[m.Key]
	s.mu.Unlock()
	if r == nil || s.fixed {
		return
	}
	switch m.Step {
	case peer.LoanRequested:
		s.lend(r, m.From)
	case peer.LoanGranted:
		s.acceptLoan(r, m)
	case peer.LoanReturned:
		if r.loansGranted[m.From.Host].run == m.Run {
			s.reclaimLoan(ctx, r, m.From.Host, true)
		}
	}
}

// acceptLoan starts using a granted loan, or returns it if it is not needed. A
// repeated grant of the loan in use is ignored.
func (s *sharer) acceptLoan(r *resource, m peer.Loan) {
	if r.loanTaken != nil && r.loanTaken.run == m.Run {
		return
	}
	if r.ownShare > 0 || r.loanTaken != nil {
		s.send(m.From, peer.Loan{Step: peer.LoanReturned, Key: r.key, Run: m.Run})
		return
	}
	r.loanTaken = &loan{lender: m.From, run: m.Run, n: m.N}
	r.setLimit(m.N, m.Run)
}

// lend lends a peer half of the units that this host may use, if it can free
// them now. A peer with a loan is granted the same one again, because the first
// grant may have been lost.
func (s *sharer) lend(r *resource, to peer.Info) {
	granted, ok := r.loansGranted[to.Host]
	if !ok {
		n := (r.ownShare - r.lentUnits()) / 2
		if n < 1 || r.loanTaken != nil {
			return
		}
		r.setLimit(r.ownShare-r.lentUnits()-n, s.runID(r))
		if r.inUse() > r.ownShare-r.lentUnits()-n {
			return
		}
		if r.loansGranted == nil {
			r.loansGranted = make(map[core.HostID]grantedLoan)
		}
		r.loanSeq++
		granted = grantedLoan{n: n, run: core.HostID(fmt.Sprintf("%s/%s/%d", s.runID(r), to.Host, r.loanSeq))}
		r.loansGranted[to.Host] = granted
	}
	s.send(to, peer.Loan{Step: peer.LoanGranted, Key: r.key, Run: granted.run, N: granted.n})
}

// reclaimLoan ends a loan once nothing uses it any more, which the resource's
// evict function ensures. For a resource that is releasedByHolder, the
// borrower's return message is enough, and evict checks that the borrower is
// gone.
func (s *sharer) reclaimLoan(ctx context.Context, r *resource, to core.HostID, returned bool) {
	granted, ok := r.loansGranted[to]
	if !ok {
		return
	}
	user := granted.run
	if r.releasedByHolder {
		user = to
	}
	if returned && r.releasedByHolder || r.evict(ctx, user) == nil {
		delete(r.loansGranted, to)
	}
}

// reclaimLoans reclaims the loans of borrowers that have been missing for longer
// than evictAfter.
func (s *sharer) reclaimLoans(ctx context.Context, r *resource, hosts []core.HostID) {
	for to := range r.loansGranted {
		if slices.Contains(hosts, to) {
			delete(s.missingSince, to)
		} else if s.missingTooLong(to) {
			s.reclaimLoan(ctx, r, to, false)
		}
	}
}

// requestLoan asks a live peer for a loan, a different one each round.
func (s *sharer) requestLoan(r *resource) {
	peers := s.peers()
	if len(peers) == 0 {
		return
	}
	r.loanRounds++
	s.send(peers[r.loanRounds%len(peers)], peer.Loan{Step: peer.LoanRequested, Key: r.key})
}

// maintainLoan manages the loan that this host has taken, and reports whether it
// is still in use, so that the round ends here. The loan is wound down before
// the host uses a share of its own, and also when the lender is gone.
func (s *sharer) maintainLoan(r *resource, own int) bool {
	if r.loanTaken == nil {
		return false
	}
	alive := slices.ContainsFunc(s.peers(), func(p peer.Info) bool { return p.Host == r.loanTaken.lender.Host })
	if own == 0 && alive && strings.HasPrefix(string(r.loanTaken.run), string(r.loanTaken.lender.Host)) {
		r.setLimit(r.loanTaken.n, r.loanTaken.run)
		// Some rounds go on to the table, which may be reachable again.
		return !r.tableRetryDue()
	}
	r.setLimit(0, r.loanTaken.run)
	if r.inUse() > 0 {
		return true
	}
	s.send(r.loanTaken.lender, peer.Loan{Step: peer.LoanReturned, Key: r.key, Run: r.loanTaken.run})
	r.loanTaken = nil
	return false
}

// tableRetryDue reports whether the round tries the table although a loan is in
// use: every eighth does.
func (r *resource) tableRetryDue() bool {
	const tableRetryRounds = 8
	r.loanRounds++
	return r.loanRounds%tableRetryRounds == 0
}
