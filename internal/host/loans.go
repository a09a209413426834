package host

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/peer"
)

const loanQueue = 64

// loan is a part of a peer's share that this host uses while it can't get one
// of its own, because it started when the platform was down. It is used under
// a name that begins with the lender's run, so whoever evicts the lender
// evicts the loan with it, and the sum of all never exceeds the total.
type loan struct {
	lender peer.Info
	run    core.HostID
	n      int
}

// lentPart is what this host lent to one peer.
type lentPart struct {
	n   int
	run core.HostID
}

// post hands a message about a loan to the sharer's own goroutine.
func (s *sharer) post(m peer.Loan) {
	select {
	case s.mail <- m:
	default:
	}
}

func (r *resource) lentOut() int {
	n := 0
	for _, x := range r.lent {
		n += x.n
	}
	return n
}

// takeLoan takes one step of a loan.
func (s *sharer) takeLoan(ctx context.Context, m peer.Loan) {
	s.mu.Lock()
	r := s.resources[m.Key]
	s.mu.Unlock()
	if r == nil || s.fixed {
		return
	}
	switch m.Step {
	case peer.LoanAsked:
		s.lend(r, m.From)
	case peer.LoanGiven:
		s.accept(r, m)
	case peer.LoanReturned:
		if r.lent[m.From.Host].run == m.Run {
			s.endLoan(ctx, r, m.From.Host, true)
		}
	}
}

// accept starts to use a loan, or gives back one that is not needed. The same
// loan may be given twice.
func (s *sharer) accept(r *resource, m peer.Loan) {
	if r.loan != nil && r.loan.run == m.Run {
		return
	}
	if r.own > 0 || r.loan != nil {
		s.send(m.From, peer.Loan{Step: peer.LoanReturned, Key: r.key, Run: m.Run})
		return
	}
	r.loan = &loan{lender: m.From, run: m.Run, n: m.N}
	r.setLimit(m.N, m.Run)
}

// lend gives a peer half of what this host may use, if it can free that now.
// A peer that asks again gets the same answer: the first may have been lost.
func (s *sharer) lend(r *resource, to peer.Info) {
	part, given := r.lent[to.Host]
	if !given {
		n := (r.own - r.lentOut()) / 2
		if n < 1 || r.loan != nil {
			return
		}
		r.setLimit(r.own-r.lentOut()-n, s.runOf(r))
		if r.held() > r.own-r.lentOut()-n {
			return
		}
		if r.lent == nil {
			r.lent = make(map[core.HostID]lentPart)
		}
		r.loans++
		part = lentPart{n: n, run: core.HostID(fmt.Sprintf("%s/%s/%d", s.runOf(r), to.Host, r.loans))}
		r.lent[to.Host] = part
	}
	s.send(to, peer.Loan{Step: peer.LoanGiven, Key: r.key, Run: part.run, N: part.n})
}

// endLoan takes a loan back after making sure that nothing uses it. Where only
// the borrower itself can end a use, its word is taken, or the platform's word
// that it is gone.
func (s *sharer) endLoan(ctx context.Context, r *resource, to core.HostID, returned bool) {
	part, ok := r.lent[to]
	if !ok {
		return
	}
	user := part.run
	if r.byHost {
		user = to
	}
	if returned && r.byHost || r.evict(ctx, user) == nil {
		delete(r.lent, to)
	}
}

// reclaimLoans ends the loans of hosts that are gone.
func (s *sharer) reclaimLoans(ctx context.Context, r *resource, hosts []core.HostID) {
	for to := range r.lent {
		if slices.Contains(hosts, to) {
			delete(s.goneSince, to)
		} else if s.goneFor(to) {
			s.endLoan(ctx, r, to, false)
		}
	}
}

// borrow asks one live peer after the other for a loan.
func (s *sharer) borrow(r *resource) {
	peers := s.peers()
	if len(peers) == 0 {
		return
	}
	r.asked++
	s.send(peers[r.asked%len(peers)], peer.Loan{Step: peer.LoanAsked, Key: r.key})
}

// borrowed looks after this host's own loan. It reports true while the loan is
// in use. When the host has a share of its own, the loan is wound down first.
func (s *sharer) borrowed(r *resource, own int) bool {
	if r.loan == nil {
		return false
	}
	alive := slices.ContainsFunc(s.peers(), func(p peer.Info) bool { return p.Host == r.loan.lender.Host })
	if own == 0 && alive && strings.HasPrefix(string(r.loan.run), string(r.loan.lender.Host)) {
		r.setLimit(r.loan.n, r.loan.run)
		// The table is tried again, for it may be back.
		return !r.retryTable()
	}
	r.setLimit(0, r.loan.run)
	if r.held() > 0 {
		return true
	}
	s.send(r.loan.lender, peer.Loan{Step: peer.LoanReturned, Key: r.key, Run: r.loan.run})
	r.loan = nil
	return false
}

// retryTable lets every eighth round go on to the table.
func (r *resource) retryTable() bool {
	const every = 8
	r.asked++
	return r.asked%every == 0
}
