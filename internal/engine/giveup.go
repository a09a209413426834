package engine

import (
	"errors"
	"sync"
	"time"
)

// withdrawTime is how long GiveUp waits for a lending host to say whether a commit was sent.
const withdrawTime = 100 * time.Millisecond

// errGivenUp reports that a statement was answered by GiveUp before anything of it that commits
// was sent.
var errGivenUp = errors.New("the statement was given up")

// ErrWithdrawn reports that the borrower has withdrawn a call before its lending host had sent it.
var ErrWithdrawn = errGivenUp

// StopBy bounds the time limit of each statement that is begun from now on, because the host exits
// then.
func (e *Engine) StopBy(t time.Time) { e.stopBy.Store(&t) }

// deadline returns when a statement that begins now has to have its outcome.
func (s *CallerSession) deadline(db Database) time.Time {
	until := s.e.Now().Add(db.Timeout())
	if by := s.e.stopBy.Load(); by != nil && by.Before(until) {
		until = *by
	}
	return until.Add(-answerMargin)
}

// progress is how far the statement that runs in a session has come. Another goroutine may give
// the statement up meanwhile.
type progress struct {
	mu sync.Mutex
	// inTransaction is set if the statement began in a transaction, ends if it ends one.
	inTransaction, ends bool
	// committing is set from when a write outside of a transaction, or the commit of writes, may
	// have been sent.
	committing bool
	givenUp    bool
	// withdrawn, if set, is closed when the statement is given up, and ended receives its outcome
	// from then on.
	withdrawn chan struct{}
	ended     chan Outcome
}

// newProgress returns the progress of a session's statements.
func newProgress() progress {
	return progress{withdrawn: make(chan struct{}), ended: make(chan Outcome, 1)}
}

func (p *progress) begin(state TxState, k Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inTransaction, p.ends, p.committing = state != Idle, k == Commit || k == Rollback, false
}

// beginCommit has to be called before a request that commits writes is sent. It returns false if
// the request must not be sent any more.
func (p *progress) beginCommit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.committing = !p.givenUp
	return p.committing
}

// endCommit notes that the request was not run.
func (p *progress) endCommit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.committing = false
}

// end notes the outcome of the statement for GiveUp.
func (p *progress) end(o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.givenUp {
		return
	}
	select {
	case p.ended <- o:
	default:
	}
}

// giveUp withdraws the statement, and reports whether a commit of writes may have been sent.
func (p *progress) giveUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.givenUp && p.withdrawn != nil {
		close(p.withdrawn)
	}
	p.givenUp = true
	return p.committing
}

// GiveUp returns the final outcome of the statement that runs, which the host does not wait for any
// more. It is in doubt if a commit of writes may have been sent, and otherwise says that nothing is
// kept, because it is not sent from now on. A lending host is asked whether it has sent the commit.
// The session must not run another statement. GiveUp may be called by any goroutine, once.
func (s *CallerSession) GiveUp(reason string) Outcome {
	p := &s.progress
	if p.giveUp() && p.ended != nil {
		t := time.NewTimer(withdrawTime)
		defer t.Stop()
		select {
		case o := <-p.ended:
			return o
		case <-t.C:
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o := Outcome{Code: Busy, Reason: reason}
	switch {
	case p.committing:
		o.Code = InDoubt
	case p.inTransaction:
		o.Code = Aborted
	}
	if p.inTransaction && !p.ends {
		o.State = FailedTransaction
	}
	return o
}
