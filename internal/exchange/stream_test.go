package exchange

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
)

// fakeEndpoint is the endpoint's side of one connection. It sends some answers a second time.
type fakeEndpoint struct {
	state  engine.TxState
	digest int
	// refuse is the code of the answer to the next request that is no marker, Done for success.
	refuse engine.Code
	// answers have been sent and not received; held will be sent after held.after more answers.
	answers []Answer
	held    *copied
	// copyNext makes the endpoint hold a copy of the next answer.
	copyNext func() (after int, ok bool)
	// ran has the digests of the statements that ran, by request ID.
	ran map[string]string
	// serial numbers the answers to requests about the endpoint.
	serial int
}

// copied is a second answer that will be sent after some others.
type copied struct {
	answer Answer
	after  int
}

func newFakeEndpoint() *fakeEndpoint {
	return &fakeEndpoint{ran: make(map[string]string), copyNext: func() (int, bool) { return 0, false }}
}

func (f *fakeEndpoint) stream() *Stream {
	return &Stream{
		Send: f.send, Receive: f.receive, Waiting: func(bool) bool { return len(f.answers) > 0 },
		SetDeadline: func(time.Time) error { return nil },
	}
}

func (f *fakeEndpoint) send(ops []engine.Op) error {
	for _, op := range ops {
		f.push(f.answer(op))
	}
	return nil
}

func (f *fakeEndpoint) push(a Answer) {
	f.answers = append(f.answers, a)
	if h := f.held; h != nil {
		if h.after--; h.after <= 0 {
			f.sendHeld()
		}
		return
	}
	if after, ok := f.copyNext(); ok && after == 0 {
		f.answers = append(f.answers, a)
	} else if ok {
		f.held = &copied{a, after}
	}
}

func (f *fakeEndpoint) sendHeld() {
	f.answers = append(f.answers, f.held.answer)
	f.held = nil
}

func (f *fakeEndpoint) receive() (Answer, error) {
	if len(f.answers) == 0 {
		return Answer{}, io.ErrUnexpectedEOF
	}
	a := f.answers[0]
	f.answers = f.answers[1:]
	return a, nil
}

func (f *fakeEndpoint) answer(op engine.Op) Answer {
	code := f.refuse
	if marker := op.Kind == engine.OpPrepare && op.Name == "m"; marker || op.ID == "" && op.Kind == engine.OpRollback {
		code = engine.Done
	} else {
		f.refuse = engine.Done
	}
	a := Answer{Outcome: engine.Outcome{Code: code, State: f.state}}
	if code != engine.Done {
		return a
	}
	switch {
	case isBegin(op.Kind):
		f.state = engine.InTransaction
	case op.Kind == engine.OpRollback || op.Text == "COMMIT":
		f.state = engine.Idle
	}
	switch {
	case isStatement(op.Kind):
		f.digest++
		a.Digest = "d" + strconv.Itoa(f.digest)
		f.ran[op.ID] = a.Digest
	case isControl(op.Kind):
		f.serial++
		a.Rows = []string{strconv.Itoa(f.serial)}
	}
	a.State = f.state
	return a
}

// choices are taken from the bytes of a fuzz input.
type choices []byte

func (c *choices) next(n int) int {
	if len(*c) == 0 {
		return 0
	}
	b := (*c)[0]
	*c = (*c)[1:]
	return int(b) % n
}

// session runs requests over a stream and checks their answers.
type session struct {
	f     *fakeEndpoint
	s     *Stream
	n     int
	wrote bool
}

// step runs one request. It returns false if the connection has to be closed.
func (c *session) step(kind int, refuse engine.Code) (more bool, err error) {
	c.n++
	id := strconv.Itoa(c.n)
	op := engine.Op{Kind: engine.OpStatement, ID: id, Text: "READ 1"}
	inTx := c.f.state == engine.InTransaction
	switch kind {
	case 0:
	case 1:
		op.Text, op.Commits = "WRITE 1 x", !inTx
		c.wrote = c.wrote || inTx
	case 2:
		op = engine.Op{Kind: engine.OpSet, Name: "v", Value: id}
		refuse = engine.Done
	case 3:
		op = engine.Op{Kind: engine.OpStatus}
		if inTx {
			op = engine.Op{Kind: engine.OpRollback}
		}
	default:
		op = engine.Op{Kind: engine.OpBegin}
		c.wrote = c.wrote && inTx
		if inTx {
			op = engine.Op{Kind: engine.OpStatement, ID: id, Text: "COMMIT", Commits: c.wrote}
		}
	}
	c.f.refuse = refuse
	out, doErr := c.s.Do(time.Time{}, op)
	if doErr != nil {
		if _, ran := c.f.ran[id]; ran && !engine.Sent(doErr) {
			return false, fmt.Errorf("request %s %q ran, and is said not to have been sent", id, op.Text)
		}
		return false, nil
	}
	return true, c.check(op, out[0])
}

func (c *session) check(op engine.Op, o engine.Outcome) error {
	digest, ran := c.f.ran[op.ID]
	switch {
	case o.Code == engine.Done && isStatement(op.Kind) && (!ran || digest != o.Digest):
		return fmt.Errorf("request %s %q has digest %q, want %q", op.ID, op.Text, o.Digest, digest)
	case o.Code != engine.Done && ran && (op.Commits || o.State != engine.Idle):
		return fmt.Errorf("request %s %q ran, and is said to be refused", op.ID, op.Text)
	case isControl(op.Kind) && o.Code == engine.Done && o.Rows[0] != strconv.Itoa(c.f.serial):
		return fmt.Errorf("a status has number %s, want %d", o.Rows[0], c.f.serial)
	case isBegin(op.Kind) && (o.Code == engine.Done) != (c.f.state == engine.InTransaction):
		return fmt.Errorf("a transaction is in state %d, and its start ended with %s", c.f.state, o.Code)
	}
	return nil
}

// FuzzSecondAnswers guards against a second answer that is taken for that of another request,
// whatever is copied, refused, and however late the copy comes.
func FuzzSecondAnswers(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 0, 0, 0, 0, 1, 1, 0})
	f.Add([]byte("a write is refused twice, and a read between"))
	f.Fuzz(func(t *testing.T, input []byte) {
		c := choices(input)
		e := newFakeEndpoint()
		e.copyNext = func() (int, bool) { return c.next(4), c.next(3) == 0 && len(c) > 0 }
		s := session{f: e, s: e.stream()}
		for len(c) > 0 {
			more, err := s.step(c.next(5), []engine.Code{engine.Done, engine.Done, engine.Done, engine.Busy, engine.ReadOnly}[c.next(5)])
			if err != nil {
				t.Fatal(err)
			}
			if !more || e.state == engine.Idle && !s.s.InStep() {
				// The pool closes the connection and opens another one.
				state := e.ran
				e = newFakeEndpoint()
				e.ran, e.copyNext = state, func() (int, bool) { return c.next(4), c.next(3) == 0 && len(c) > 0 }
				s.f, s.s, s.wrote = e, e.stream(), false
			}
			if e.held != nil && c.next(4) == 0 {
				e.sendHeld()
			}
		}
	})
}

// TestCopies checks what is taken for the answer to a request after the copy of an earlier one.
func TestCopies(t *testing.T) {
	read, write := engine.Op{ID: "r", Text: "READ 1"}, engine.Op{ID: "w", Text: "WRITE 1 x", Commits: true}
	begin := engine.Op{Kind: engine.OpBegin}
	tests := []struct {
		name          string
		first, second engine.Op
		// refuseFirst and refuseSecond are the codes of the answers.
		refuseFirst, refuseSecond engine.Code
		want                      engine.Code
		// stray is set if a copy comes after the second request was sent.
		stray bool
	}{
		{"success before a success", read, write, engine.Done, engine.Done, engine.Done, true},
		{"success before a refusal", read, write, engine.Done, engine.Busy, engine.Busy, true},
		{"refusal before a success", write, write, engine.Busy, engine.Done, engine.Done, true},
		{"refusal before the same refusal", write, write, engine.Busy, engine.Busy, engine.Busy, true},
		{"two refusals without a copy", write, write, engine.Busy, engine.Busy, engine.Busy, false},
		{"refusal before another refusal", write, write, engine.Busy, engine.ReadOnly, engine.ReadOnly, true},
		{"refused start before a start", begin, begin, engine.ReadOnly, engine.Done, engine.Done, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newFakeEndpoint()
			s, strays := e.stream(), 0
			s.OnStray = func(Answer) { strays++ }
			e.refuse = tt.refuseFirst
			if tt.stray {
				sent := 0
				e.copyNext = func() (int, bool) { sent++; return 50, sent == 1 }
			}
			if _, err := s.Do(time.Time{}, tt.first); err != nil {
				t.Fatal(err)
			}
			e.refuse = tt.refuseSecond
			late := e.held
			e.held = nil
			s.Send = func(ops []engine.Op) error {
				if late != nil {
					e.answers = append(e.answers, late.answer)
					late = nil
				}
				return e.send(ops)
			}
			out, err := s.Do(time.Time{}, tt.second)
			if err != nil || out[0].Code != tt.want || tt.want == engine.Done && isStatement(tt.second.Kind) && out[0].Digest != e.ran[tt.second.ID] {
				t.Errorf("the second request ends with %+v and %v, want %s", out, err, tt.want)
			}
			if (strays > 0) != tt.stray || s.InStep() == tt.stray {
				t.Errorf("%d answers are discarded, in step: %t", strays, s.InStep())
			}
		})
	}
}

// TestCopiedStatus guards against a status of before that is taken for the present one.
func TestCopiedStatus(t *testing.T) {
	e := newFakeEndpoint()
	s, status := e.stream(), engine.Op{Kind: engine.OpStatus}
	if _, err := s.Do(time.Time{}, status); err != nil {
		t.Fatal(err)
	}
	s.Send = func(ops []engine.Op) error {
		e.answers = append(e.answers, Answer{Outcome: engine.Outcome{Rows: []string{"1"}}})
		return e.send(ops)
	}
	if out, err := s.Do(time.Time{}, status); !errors.Is(err, engine.ErrOutOfStep) {
		t.Errorf("a status ends with %+v and %v, want %v", out, err, engine.ErrOutOfStep)
	}
}

// TestDoubtfulReadIsSettled guards against the answer to a read that counted as refused, because a copy
// came before it, and is taken for that of the next request.
func TestDoubtfulReadIsSettled(t *testing.T) {
	for _, next := range []engine.Op{{ID: "3", Text: "READ 1"}, {ID: "3", Text: "WRITE 1 x", Commits: true}} {
		e := newFakeEndpoint()
		s := e.stream()
		e.refuse = engine.Busy
		refused, err := s.Do(time.Time{}, engine.Op{ID: "1", Text: "READ 1"})
		if err != nil || refused[0].Code != engine.Busy {
			t.Fatalf("a refused read ends with %+v and %v", refused, err)
		}
		s.Send = func(ops []engine.Op) error {
			e.answers = append(e.answers, Answer{Outcome: engine.Outcome{Code: engine.Busy}})
			s.Send = e.send
			return e.send(ops)
		}
		if out, err := s.Do(time.Time{}, engine.Op{ID: "2", Text: "READ 1"}); err != nil || out[0].Code != engine.Busy {
			t.Errorf("a read after the copy of a refusal ends with %+v and %v, want %s", out, err, engine.Busy)
		}
		if out, err := s.Do(time.Time{}, next); err != nil || out[0].Digest != e.ran["3"] {
			t.Errorf("the request after that ends with %+v and %v, want digest %q", out, err, e.ran["3"])
		}
	}
}

// TestAnswerThatWaits guards against an answer that arrived before a request was sent and is taken
// for that of the request.
func TestAnswerThatWaits(t *testing.T) {
	for _, tt := range []struct {
		name    string
		waiting Answer
		sent    bool
	}{
		{"copy", Answer{Outcome: engine.Outcome{Digest: "d1"}}, true},
		{"greeting", Answer{Greeting: true}, true},
		{"of no request", Answer{Outcome: engine.Outcome{Digest: "d9"}}, false},
		{"refusal of no request", Answer{Outcome: engine.Outcome{Code: engine.Busy}}, false},
	} {
		e := newFakeEndpoint()
		s := e.stream()
		if _, err := s.Do(time.Time{}, engine.Op{ID: "1", Text: "READ 1"}); err != nil {
			t.Fatal(err)
		}
		e.answers = append(e.answers, tt.waiting)
		_, err := s.Do(time.Time{}, engine.Op{ID: "2", Text: "WRITE 1 x", Commits: true})
		if _, ran := e.ran["2"]; ran != tt.sent || (err == nil) != tt.sent || engine.Sent(err) {
			t.Errorf("%s: the write ran: %t, with %v", tt.name, ran, err)
		}
		if tt.sent && s.InStep() {
			t.Errorf("%s: the connection counts as in step", tt.name)
		}
	}
}

// TestDigestsAreBounded guards against a connection whose memory grows with each answer, and against
// one that forgets digests and is pooled on.
func TestDigestsAreBounded(t *testing.T) {
	var d digests
	for n := range 3 * maxDigests {
		if d.full() != (n >= maxDigests) {
			t.Fatalf("after %d digests: full is %t", n, d.full())
		}
		d.add(strconv.Itoa(n))
	}
	if len(d) != 2*maxDigests || !d.has("0") {
		t.Errorf("%d digests are known, want the first %d", len(d), 2*maxDigests)
	}
}
