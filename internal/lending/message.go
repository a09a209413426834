package lending

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// longestCall bounds the time that a borrower may name for a call.
const longestCall = time.Hour

// verb is what a borrower asks.
type verb uint8

const (
	// verbRun runs a call, for a handle or else over a connection that gets free.
	verbRun verb = iota
	// verbReturn ends a transaction that a call left open.
	verbReturn
	// verbTell asks what the lender knows of a group.
	verbTell
)

// failure says why a lender did not do what it was asked.
type failure uint8

const (
	failNone failure = iota
	// failFull says that no connection was to be had.
	failFull
	// failRefused says that the endpoint refused a connection, with a code.
	failRefused
	// failBroken says that the connection broke, and that the endpoint may have
	// got the request.
	failBroken
	// failNotSent says that the connection broke before a request was sent.
	failNotSent
	// failOverloaded says that too much waits already.
	failOverloaded
	// failNoProof says that nothing shows that the endpoint leads.
	failNoProof
	// failAway says that the host does not lend.
	failAway
	// failNoPosition says that no position is young enough for the read.
	failNoPosition
	// failUnreached says that the lender does not reach the endpoint.
	failUnreached
	// failNoConnection says that no connection became free in time.
	failNoConnection
)

type request struct {
	_        struct{} `cbor:",toarray"`
	Seq      uint64
	Verb     verb
	Handle   uint64
	Group    session.Group
	Endpoint replicaset.EndpointID
	Class    int
	// UntilMS is how long the call may wait, AnswerMS how long it may take.
	UntilMS, AnswerMS int64
	AnyState          bool
	Proof             bool
	Values            map[string]string
	Shape             *shape
	Ops               []op
	Fresh             *fresh
}

// fresh leaves the position of a read to the lender.
type fresh struct {
	_              struct{} `cbor:",toarray"`
	MaxAgeMS       int64
	Term, Position uint64
}

type response struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Failure failure
	Code    engine.Code
	// Handle names the transaction that the call left open, 0 for none.
	Handle   uint64
	Outcomes []outcome
	Known    *known
}

// known is what the lender knows of the group; its ages are in ms.
type known struct {
	_                   struct{} `cbor:",toarray"`
	Lead                replicaset.EndpointID
	LeadTerm            uint64
	Term, Position      uint64
	SampleAge, ProofAge int64
}

func wireKnown(k replicaset.Knowledge) *known {
	out := &known{
		Lead: k.Lead, LeadTerm: uint64(k.Term), Term: uint64(k.Point.Term), Position: uint64(k.Point.Position),
		SampleAge: -1, ProofAge: -1,
	}
	// A part of a millisecond makes an age older, never younger.
	if k.SampleAge >= 0 {
		out.SampleAge = millis(k.SampleAge) + 1
	}
	if k.ProofAge >= 0 {
		out.ProofAge = millis(k.ProofAge) + 1
	}
	return out
}

func (k *known) knowledge() replicaset.Knowledge {
	if k == nil {
		return replicaset.Knowledge{SampleAge: -1, ProofAge: -1}
	}
	out := replicaset.Knowledge{
		Lead: k.Lead, Term: session.Term(k.LeadTerm), Point: point(k.Term, k.Position), SampleAge: -1, ProofAge: -1,
	}
	if k.SampleAge >= 0 {
		out.SampleAge = time.Duration(k.SampleAge) * time.Millisecond
	}
	if k.ProofAge >= 0 {
		out.ProofAge = time.Duration(k.ProofAge) * time.Millisecond
	}
	return out
}

type shape struct {
	_      struct{} `cbor:",toarray"`
	Writes bool
	Text   string
}

type op struct {
	_              struct{} `cbor:",toarray"`
	Kind           engine.OpKind
	ID, Text       string
	Term, Position uint64
	Name, Value    string
	Commits        bool
	PauseTerm      uint64
}

type outcome struct {
	_              struct{} `cbor:",toarray"`
	Code           engine.Code
	Reason         string
	Rows           []string
	Digest         string
	State          engine.TxState
	Term, Position uint64
	Report         *report
}

type report struct {
	_              struct{} `cbor:",toarray"`
	Role           replicaset.Role
	Term, Held     uint64
	ReceivedTerm   uint64
	ReceivedNumber uint64
	LagMS          int64
}

func encode(v any) ([]byte, error) { return cbor.Marshal(v) }

var errMalformed = errors.New("malformed message")

// decodeRequest reads what a borrower asks. Times that count from now on must not
// overflow, and a call has something to run.
func decodeRequest(body []byte) (request, error) {
	var q request
	if err := cbor.Unmarshal(body, &q); err != nil {
		return q, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if q.Verb > verbTell || q.Verb == verbRun && q.Fresh != nil && len(q.Ops) == 0 {
		return q, fmt.Errorf("%w: verb %d with %d requests", errMalformed, q.Verb, len(q.Ops))
	}
	for _, ms := range []int64{q.UntilMS, q.AnswerMS} {
		if ms > longestCall.Milliseconds() {
			return q, fmt.Errorf("%w: a call of %d ms", errMalformed, ms)
		}
	}
	for _, o := range q.Ops {
		if o.Kind > engine.OpDemote {
			return q, fmt.Errorf("%w: request of kind %d", errMalformed, o.Kind)
		}
	}
	return q, nil
}

// decodeResponse reads what a lender answers.
func decodeResponse(body []byte) (response, error) {
	var a response
	if err := cbor.Unmarshal(body, &a); err != nil {
		return a, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if !a.Code.Valid() {
		return a, fmt.Errorf("%w: code %d", errMalformed, a.Code)
	}
	for _, o := range a.Outcomes {
		if !o.Code.Valid() || !o.State.Valid() || o.Report != nil && !o.Report.Role.Valid() {
			return a, fmt.Errorf("%w: outcome with code %d and state %d", errMalformed, o.Code, o.State)
		}
	}
	return a, nil
}

func wireOps(ops []engine.Op) []op {
	out := make([]op, len(ops))
	for i, o := range ops {
		out[i] = op{
			Kind: o.Kind, ID: o.ID, Text: o.Text, Name: o.Name, Value: o.Value,
			Term: uint64(o.After.Term), Position: uint64(o.After.Position),
			Commits: o.Commits, PauseTerm: uint64(o.Term),
		}
	}
	return out
}

// wireRequest is a call as it goes over a link.
func wireRequest(g session.Group, id replicaset.EndpointID, handle uint64, c engine.Call) request {
	q := request{
		Verb: verbRun, Handle: handle, Class: c.Class, UntilMS: millis(time.Until(c.Until)),
		AnswerMS: max(millis(time.Until(c.Deadline)), 1), AnyState: c.AnyState, Proof: c.Proof, Values: c.Want.Values, Ops: wireOps(c.Ops),
	}
	if handle == 0 {
		q.Group, q.Endpoint = g, id
	}
	if f := c.Fresh; f != nil {
		q.Fresh = &fresh{MaxAgeMS: millis(f.MaxAge), Term: uint64(f.Seen.Term), Position: uint64(f.Seen.Position)}
	}
	if s := c.Want.Shape; s != nil {
		q.Shape = &shape{Writes: s.Writes, Text: s.Text}
	}
	return q
}

// call is what a request asks for; its times count from now on.
func (q request) call() engine.Call {
	now := time.Now()
	c := engine.Call{
		Until: now.Add(time.Duration(q.UntilMS) * time.Millisecond), Deadline: now.Add(time.Duration(q.AnswerMS) * time.Millisecond),
		Class: q.Class, AnyState: q.AnyState, Proof: q.Proof, Want: engine.Want{Values: q.Values}, Ops: make([]engine.Op, len(q.Ops)),
	}
	if f := q.Fresh; f != nil {
		c.Fresh = &engine.Fresh{MaxAge: time.Duration(f.MaxAgeMS) * time.Millisecond, Seen: point(f.Term, f.Position)}
	}
	if q.Shape != nil {
		c.Want.Shape = &engine.Shape{Writes: q.Shape.Writes, Text: q.Shape.Text}
	}
	for i, o := range q.Ops {
		c.Ops[i] = engine.Op{
			Kind: o.Kind, ID: o.ID, Text: o.Text, Name: o.Name, Value: o.Value, Commits: o.Commits,
			After: point(o.Term, o.Position), Term: session.Term(o.PauseTerm),
		}
		if o.Kind == engine.OpExecute && c.Want.Shape != nil {
			c.Ops[i].Shape = *c.Want.Shape
		}
	}
	return c
}

func wireOutcomes(outcomes []engine.Outcome) []outcome {
	out := make([]outcome, len(outcomes))
	for i, o := range outcomes {
		out[i] = outcome{
			Code: o.Code, Reason: o.Reason, Rows: o.Rows, Digest: o.Digest, State: o.State,
			Term: uint64(o.Point.Term), Position: uint64(o.Point.Position), Report: wireReport(o.Report),
		}
	}
	return out
}

func engineOutcomes(outcomes []outcome) []engine.Outcome {
	out := make([]engine.Outcome, len(outcomes))
	for i, o := range outcomes {
		out[i] = engine.Outcome{
			Code: o.Code, Reason: o.Reason, Rows: o.Rows, Digest: o.Digest, State: o.State,
			Point: point(o.Term, o.Position), Report: o.Report.status(),
		}
	}
	return out
}

func wireReport(st replicaset.Status) *report {
	if st.Role == replicaset.Unknown {
		return nil
	}
	return &report{
		Role: st.Role, Term: uint64(st.Term), Held: uint64(st.Held), LagMS: millis(st.Lag),
		ReceivedTerm: uint64(st.Received.Term), ReceivedNumber: uint64(st.Received.Position),
	}
}

func (r *report) status() replicaset.Status {
	if r == nil {
		return replicaset.Status{}
	}
	return replicaset.Status{
		Role: r.Role, Term: session.Term(r.Term), Held: session.Term(r.Held),
		Received: point(r.ReceivedTerm, r.ReceivedNumber), Lag: time.Duration(r.LagMS) * time.Millisecond,
	}
}

func point(term, position uint64) session.Point {
	return session.Point{Term: session.Term(term), Position: session.Position(position)}
}

func millis(d time.Duration) int64 { return d.Milliseconds() }
