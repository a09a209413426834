package exchange

import (
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
)

// maxStrays bounds the answers that are discarded while one request waits.
const maxStrays = 64

// Answer is one complete answer of an endpoint. Its digest is empty if it has none.
type Answer struct {
	engine.Outcome
	// Greeting marks the answer to the opening of the connection.
	Greeting bool
}

// Stream runs requests over one connection to an endpoint. The exported fields are set before use.
// It is used by one goroutine at a time.
type Stream struct {
	// Send sends requests in one batch, and Receive returns the next complete answer.
	Send    func(ops []engine.Op) error
	Receive func() (Answer, error)
	// Waiting reports whether bytes have arrived that were not received. Only a thorough look asks
	// the operating system.
	Waiting     func(thorough bool) bool
	SetDeadline func(t time.Time) error
	// OnStray is called for each answer that is not that of the request that waits. It may be nil.
	OnStray func(a Answer)

	state     engine.TxState
	delivered delivered
	// provisional is set while the last answers were successes that copies of others look like.
	provisional bool
	// doubtful is set after a refusal that may have been a copy, until a marker was answered.
	doubtful bool
	unfit    bool
}

// InStep reports whether another session may use the connection.
func (s *Stream) InStep() bool { return !s.unfit }

// State returns the transaction state of the connection.
func (s *Stream) State() engine.TxState { return s.state }

// Do sends requests and returns their answers in order. After an error the connection must be closed;
// the answers that are known are returned with the error. An error marked by engine.NotSent means
// that no request was sent.
func (s *Stream) Do(deadline time.Time, ops ...engine.Op) ([]engine.Outcome, error) {
	if err := s.SetDeadline(deadline); err != nil {
		return nil, engine.NotSent(fmt.Errorf("deadline: %w", err))
	}
	last := ops[len(ops)-1]
	if err := s.discardWaiting(last.Commits || alwaysMarked(last.Kind)); err != nil {
		return nil, engine.NotSent(err)
	}
	settle := s.doubtful && s.state == engine.Idle
	if err := s.Send(s.batch(ops, settle)); err != nil {
		return nil, err
	}
	if settle {
		if err := s.settle(); err != nil {
			return nil, err
		}
	}
	out := make([]engine.Outcome, 0, len(ops))
	for _, op := range ops {
		a, err := s.answerTo(op)
		if err != nil {
			return out, err
		}
		s.state = a.State
		out = append(out, a.Outcome)
	}
	return out, nil
}

// batch returns the requests to send, with the markers that are known to be needed.
func (s *Stream) batch(ops []engine.Op, settle bool) []engine.Op {
	last := ops[len(ops)-1].Kind
	if !settle && !alwaysMarked(last) {
		return ops
	}
	var all []engine.Op
	if settle {
		all = append(all, idleMarker...)
	}
	all = append(all, ops...)
	switch {
	case isBegin(last):
		all = append(all, anyMarker...)
	case alwaysMarked(last):
		all = append(all, idleMarker...)
	}
	return all
}

// discardWaiting discards the answers that have arrived before a request is sent.
func (s *Stream) discardWaiting(thorough bool) error {
	for n := 0; s.Waiting(thorough); n++ {
		a, err := s.Receive()
		if err != nil {
			return err
		}
		late := s.doubtful && a.Digest != ""
		if n == maxStrays || !late && !s.delivered.couldBeCopy(a) {
			return errStray(a)
		}
		s.discard(a)
	}
	return nil
}

// settle receives the answer to a marker that was sent ahead of other requests.
func (s *Stream) settle() error {
	for n, matched := 0, 0; n < maxStrays; n++ {
		a, err := s.Receive()
		if err != nil {
			return err
		}
		switch {
		case isPlain(a) && a.State == idleStates[matched]:
			s.delivered.note(a)
			if matched++; matched == len(idleStates) {
				s.doubtful, s.provisional = false, false
				return nil
			}
		case a.Digest != "" || s.delivered.couldBeCopy(a):
			s.discard(a)
		default:
			return errStray(a)
		}
	}
	return errTooMany
}

// answerTo returns the answer to a request that was sent.
func (s *Stream) answerTo(op engine.Op) (Answer, error) {
	a, err := s.await(op)
	if err != nil {
		return a, err
	}
	switch {
	case isBegin(op.Kind):
		return s.confirm(op, a, func(a Answer) []engine.TxState { return []engine.TxState{a.State} })
	case isControl(op.Kind):
		return s.confirm(op, a, func(Answer) []engine.TxState { return idleStates })
	case a.Code == engine.Done:
		s.provisional = isPlain(a)
		s.delivered.note(a)
		return a, nil
	case !s.provisional && !s.delivered.codes[a.Code]:
		s.delivered.note(a)
		return a, nil
	}
	return s.checkRefusal(op, a)
}

// checkRefusal returns the answer to a request that seems to be refused.
func (s *Stream) checkRefusal(op engine.Op, a Answer) (Answer, error) {
	switch {
	case op.Commits && a.State == engine.FailedTransaction:
		// No marker is answered in a failed transaction.
		return a, errStray(a)
	case op.Commits && a.State == engine.Idle:
		if err := s.Send(idleMarker); err != nil {
			return a, err
		}
		return s.confirm(op, a, func(Answer) []engine.TxState { return idleStates })
	case isStatement(op.Kind) && s.state == engine.InTransaction && a.State == engine.InTransaction:
		if err := s.Send(anyMarker); err != nil {
			return a, err
		}
		return s.confirm(op, a, func(Answer) []engine.TxState { return []engine.TxState{engine.InTransaction} })
	case isStatement(op.Kind) && s.state == engine.Idle && a.State == engine.Idle:
		s.doubtful = true
	default:
		s.unfit = true
	}
	s.delivered.note(a)
	return a, nil
}

// await returns the next answer that may be the one to a request.
func (s *Stream) await(op engine.Op) (Answer, error) {
	for range maxStrays {
		a, err := s.Receive()
		if err != nil || s.mayAnswer(op, a) {
			return a, err
		}
		if !s.delivered.couldBeCopy(a) {
			return a, errStray(a)
		}
		s.discard(a)
	}
	return Answer{}, errTooMany
}

// confirm receives the answer to a marker, and returns the answer to the request before it: the
// candidate, or another one that comes ahead of the marker's. states returns the transaction states
// of the marker's answers after an answer to the request.
func (s *Stream) confirm(op engine.Op, candidate Answer, states func(Answer) []engine.TxState) (Answer, error) {
	s.delivered.plain = true
	want, matched, replaced := states(candidate), 0, false
	for range maxStrays {
		a, err := s.Receive()
		switch {
		case err != nil:
			return a, err
		case isPlain(a) && a.State == want[matched]:
			s.delivered.note(a)
			if matched++; matched == len(want) {
				s.delivered.note(candidate)
				s.provisional = false
				return candidate, nil
			}
		case s.mayAnswer(op, a):
			if isStatement(op.Kind) && a.Digest != "" {
				// Answers to the marker may still come.
				s.discard(candidate)
				s.delivered.note(a)
				return a, nil
			}
			if replaced || !s.replaces(op, candidate, a) {
				return a, errStray(a)
			}
			s.discard(candidate)
			candidate, matched, replaced = a, 0, isBegin(op.Kind)
			want = states(candidate)
		case s.delivered.couldBeCopy(a):
			s.discard(a)
		default:
			return a, errStray(a)
		}
	}
	return Answer{}, errTooMany
}

// replaces reports whether the second of two answers that may be the one to a request is that one,
// so that the first was a copy.
func (s *Stream) replaces(op engine.Op, first, second Answer) bool {
	switch {
	case isControl(op.Kind):
		// The second one may be an older copy that was delayed longer.
		return false
	case isBegin(op.Kind):
		// The marker's answer has the state of the right one.
		return true
	}
	return first.Code == second.Code || !s.delivered.codes[second.Code]
}

// mayAnswer reports whether an answer may be the one to a request, as far as its form shows.
func (s *Stream) mayAnswer(op engine.Op, a Answer) bool {
	switch {
	case a.Greeting:
		return false
	case a.Code != engine.Done:
		return s.state != engine.Idle || a.State == engine.Idle
	case isStatement(op.Kind):
		return a.Digest != "" && !s.delivered.digests.has(a.Digest)
	case isControl(op.Kind):
		return a.Digest == "" && len(a.Rows) > 0
	}
	return isPlain(a) && a.State == stateAfter(op.Kind, s.state)
}

// discard drops an answer that is not that of the request that waits.
func (s *Stream) discard(a Answer) {
	s.delivered.note(a)
	s.unfit = true
	if s.OnStray != nil {
		s.OnStray(a)
	}
}

var errTooMany = fmt.Errorf("%w: more than %d answers to nothing", engine.ErrOutOfStep, maxStrays)

func errStray(a Answer) error {
	return fmt.Errorf("%w: answer %s with digest %.60q and %d rows", engine.ErrOutOfStep, a.Code, a.Digest, len(a.Rows))
}
