package exchange

import (
	"errors"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
)

var errWaits = errors.New("no more answers come")

// script returns a stream that receives the given answers, after it has delivered those known.
func script(state engine.TxState, known, answers []Answer) *Stream {
	s := &Stream{
		Send: func([]engine.Op) error { return nil }, Waiting: func(bool) bool { return false },
		SetDeadline: func(time.Time) error { return nil },
		state:       state,
	}
	for _, a := range known {
		s.delivered.note(a)
	}
	s.Receive = func() (Answer, error) {
		if len(answers) == 0 {
			return Answer{}, errWaits
		}
		a := answers[0]
		answers = answers[1:]
		return a, nil
	}
	return s
}

func answerOf(c engine.Code, s engine.TxState, rows ...string) Answer {
	return Answer{Outcome: engine.Outcome{Code: c, State: s, Rows: rows}}
}

// TestCopyAmongMarkers guards against a request that waits until its deadline, or is in doubt, because
// a copy came between its answer and those to its marker.
func TestCopyAmongMarkers(t *testing.T) {
	const idle, open, failed = engine.Idle, engine.InTransaction, engine.FailedTransaction
	busy, other := answerOf(engine.Busy, idle), answerOf(engine.ReadOnly, idle)
	began, ended, row := answerOf(engine.Done, open), answerOf(engine.Done, idle), answerOf(engine.Done, idle, "replica 3")
	busyOpen, failedOpen := answerOf(engine.Busy, open), answerOf(engine.Failed, failed)
	write, read := engine.Op{ID: "w", Text: "WRITE 1 x", Commits: true}, engine.Op{ID: "r", Text: "READ 1"}
	begin, status := engine.Op{Kind: engine.OpBegin}, engine.Op{Kind: engine.OpStatus}
	tests := []struct {
		name    string
		op      engine.Op
		state   engine.TxState
		known   []Answer
		answers []Answer
		want    engine.Code
	}{
		{"refused write", write, idle, []Answer{busy}, []Answer{busy, began, busy, ended}, engine.Busy},
		{"refused start, copy of a start", begin, idle, []Answer{began}, []Answer{other, began, ended}, engine.ReadOnly},
		{"start, copy of a refusal", begin, idle, []Answer{other}, []Answer{began, other, began}, engine.Done},
		{"copy of a refusal, then a start", begin, idle, []Answer{other}, []Answer{other, began, began}, engine.Done},
		{"copy of a start, then a refusal", begin, idle, []Answer{began}, []Answer{began, busy, ended}, engine.Busy},
		{"copy of a refusal, then a failed read", read, open, []Answer{busyOpen}, []Answer{busyOpen, failedOpen}, engine.Failed},
		{"status twice", status, idle, nil, []Answer{row, row, began, ended}, engine.Done},
		{"status with a late copy", status, idle, nil, []Answer{row, began, row, ended}, engine.Done},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := script(tt.state, tt.known, tt.answers)
			out, err := s.Do(time.Time{}, tt.op)
			if err != nil || out[0].Code != tt.want {
				t.Errorf("the request ends with %+v and %v, want %s", out, err, tt.want)
			}
			if s.InStep() {
				t.Error("the connection counts as in step after a copy")
			}
		})
	}
}

// TestLateRefusalOfRead guards against a write in doubt because the read before it, which counted as
// refused after a copy, was refused with another code.
func TestLateRefusalOfRead(t *testing.T) {
	const idle = engine.Idle
	busy, late := answerOf(engine.Busy, idle), answerOf(engine.Behind, idle)
	written := Answer{Outcome: engine.Outcome{Digest: "d1"}}
	answers := []Answer{busy, late, answerOf(engine.Done, engine.InTransaction), answerOf(engine.Done, idle), written}
	s := script(idle, []Answer{busy}, answers)
	if out, err := s.Do(time.Time{}, engine.Op{ID: "r", Text: "READ 1"}); err != nil || out[0].Code != engine.Busy {
		t.Fatalf("the read ends with %+v and %v", out, err)
	}
	out, err := s.Do(time.Time{}, engine.Op{ID: "w", Text: "WRITE 1 x", Commits: true})
	if err != nil || out[0].Digest != "d1" {
		t.Errorf("the write ends with %+v and %v", out, err)
	}
}

// TestForgottenDigests guards against a pooled connection that has forgotten a digest, so that a copy
// which comes much later is taken for the answer to another request.
func TestForgottenDigests(t *testing.T) {
	e := newFakeEndpoint()
	s := e.stream()
	for n := 0; s.InStep(); n++ {
		if n > maxDigests {
			t.Fatalf("the connection counts as in step after %d answers", n)
		}
		if _, err := s.Do(time.Time{}, engine.Op{ID: "1", Text: "READ 1"}); err != nil {
			t.Fatal(err)
		}
		if !s.delivered.digests.has("d1") {
			t.Fatalf("the first digest is forgotten after %d answers", n)
		}
	}
}
