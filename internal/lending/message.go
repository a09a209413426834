package lending

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// verb is what a borrower asks.
type verb uint8

const (
	verbAcquire verb = iota
	verbDo
	verbRelease
)

// failure says why a lender did not do what it was asked.
type failure uint8

const (
	failNone failure = iota
	// failFull says that no connection was to be had.
	failFull
	// failRefused says that the endpoint refused a connection, with a code.
	failRefused
	// failBroken says that the connection broke.
	failBroken
	// failAway says that the host does not lend.
	failAway
)

type request struct {
	_        struct{} `cbor:",toarray"`
	Seq      uint64
	Verb     verb
	Handle   uint64
	Group    session.Group
	Endpoint replicaset.EndpointID
	Class    int
	WaitMS   int64
	Broken   bool
	Values   map[string]string
	Prepared []preparedShape
	Ops      []op
}

type response struct {
	_        struct{} `cbor:",toarray"`
	Seq      uint64
	Failure  failure
	Code     engine.Code
	Handle   uint64
	Values   map[string]string
	Prepared []preparedShape
	Outcomes []outcome
}

type preparedShape struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Writes bool
	Text   string
}

type op struct {
	_              struct{} `cbor:",toarray"`
	Kind           engine.OpKind
	ID, Text       string
	Term, Position uint64
	Name, Value    string
	ShapeWrites    bool
	ShapeText      string
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

func wireOps(ops []engine.Op) []op {
	out := make([]op, len(ops))
	for i, o := range ops {
		out[i] = op{
			Kind: o.Kind, ID: o.ID, Text: o.Text, Name: o.Name, Value: o.Value,
			Term: uint64(o.After.Term), Position: uint64(o.After.Position),
			ShapeWrites: o.Shape.Writes, ShapeText: o.Shape.Text, PauseTerm: uint64(o.Term),
		}
	}
	return out
}

func engineOps(ops []op) []engine.Op {
	out := make([]engine.Op, len(ops))
	for i, o := range ops {
		out[i] = engine.Op{
			Kind: o.Kind, ID: o.ID, Text: o.Text, Name: o.Name, Value: o.Value,
			After: point(o.Term, o.Position), Shape: engine.Shape{Writes: o.ShapeWrites, Text: o.ShapeText},
			Term: session.Term(o.PauseTerm),
		}
	}
	return out
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

func wirePrepared(shapes map[engine.Shape]string) []preparedShape {
	out := make([]preparedShape, 0, len(shapes))
	for s, name := range shapes {
		out = append(out, preparedShape{Name: name, Writes: s.Writes, Text: s.Text})
	}
	return out
}

func enginePrepared(shapes []preparedShape) map[engine.Shape]string {
	out := make(map[engine.Shape]string, len(shapes))
	for _, s := range shapes {
		out[engine.Shape{Writes: s.Writes, Text: s.Text}] = s.Name
	}
	return out
}

func millis(d time.Duration) int64 { return d.Milliseconds() }
