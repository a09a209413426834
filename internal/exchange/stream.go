package exchange

import (
	"fmt"
	"slices"
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
func (s *Stream) InStep() bool { return !s.unfit && !s.delivered.digests.full() }

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
		if n == maxStrays || !s.mayBeLate(a) && !s.delivered.couldBeCopy(a) {
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
		case s.mayBeLate(a) || s.delivered.couldBeCopy(a):
			s.discard(a)
		default:
			return errStray(a)
		}
	}
	return errTooMany
}

// mayBeLate reports whether an answer may be the one to a read that counts as refused because a copy
// came before it.
func (s *Stream) mayBeLate(a Answer) bool {
	return s.doubtful && !a.Greeting && a.State == engine.Idle && (a.Digest != "" || a.Code != engine.Done)
}

// answerTo returns the answer to a request that was sent.
func (s *Stream) answerTo(op engine.Op) (Answer, error) {
	a, err := s.await(op)
	if err != nil {
		return a, err
	}
	switch {
	case isBegin(op.Kind):
		return s.confirmStart(op, a)
	case isControl(op.Kind):
		return s.confirm(op, a, idleStates)
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
		return s.confirm(op, a, idleStates)
	case isStatement(op.Kind) && s.state == engine.InTransaction && a.State == engine.InTransaction:
		if err := s.Send(anyMarker); err != nil {
			return a, err
		}
		return s.confirm(op, a, openStates)
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

// confirm receives the answers to a marker, which have the given transaction states, and returns the
// answer to the request before it: the candidate, or another one that comes ahead of the marker's.
func (s *Stream) confirm(op engine.Op, candidate Answer, states []engine.TxState) (Answer, error) {
	s.delivered.plain = true
	matched := 0
	for range maxStrays {
		a, err := s.Receive()
		switch {
		case err != nil:
			return a, err
		case isPlain(a) && a.State == states[matched]:
			s.delivered.note(a)
			if matched++; matched == len(states) {
				s.delivered.note(candidate)
				s.provisional = false
				return candidate, nil
			}
		case s.mayAnswer(op, a):
			if !s.replaces(op, candidate, a) {
				return a, errStray(a)
			}
			s.discard(candidate)
			candidate = a
			if isStatement(op.Kind) && a.Digest != "" || a.State == engine.FailedTransaction {
				// Answers to the marker may still come.
				s.delivered.note(a)
				return a, nil
			}
		case s.delivered.couldBeCopy(a):
			s.discard(a)
		default:
			return a, errStray(a)
		}
	}
	return Answer{}, errTooMany
}

// confirmStart returns the answer to the start of a transaction: its success or its refusal, whichever
// the state in the marker's answer shows.
func (s *Stream) confirmStart(op engine.Op, a Answer) (Answer, error) {
	s.delivered.plain = true
	var started, refused *Answer
	for range maxStrays {
		switch answer := a; {
		case isPlain(a) && a.State == engine.InTransaction && started != nil:
			return s.choose(*started, refused), nil
		case isPlain(a) && a.State == engine.Idle && refused != nil:
			return s.choose(*refused, started), nil
		case isPlain(a) && a.State == engine.InTransaction:
			started = &answer
		case s.mayAnswer(op, a):
			if refused != nil {
				s.discard(*refused)
			}
			refused = &answer
		case s.delivered.couldBeCopy(a):
			s.discard(a)
		default:
			return a, errStray(a)
		}
		var err error
		if a, err = s.Receive(); err != nil {
			return a, err
		}
	}
	return Answer{}, errTooMany
}

// choose returns the right one of the answers that came to a request, and discards the other.
func (s *Stream) choose(right Answer, other *Answer) Answer {
	if other != nil {
		s.discard(*other)
	}
	s.delivered.note(right)
	s.provisional = false
	return right
}

// replaces reports whether the second of two answers that may be the one to a request can stand for
// it: it is that one, and the first was a copy, or they tell the same.
func (s *Stream) replaces(op engine.Op, first, second Answer) bool {
	if isControl(op.Kind) {
		// Otherwise the second one may be an older copy that was delayed longer.
		return first.Code == second.Code && first.Point == second.Point && slices.Equal(first.Rows, second.Rows)
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
