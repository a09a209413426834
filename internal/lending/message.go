package lending

import (
	"fmt"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// maxCallTime is the longest time that a request may give for a call.
const maxCallTime = time.Hour

const (
	// maxOps is the maximum number of operations in a request.
	maxOps = 64
	// maxAccountName is the maximum length of the name of an account, in bytes.
	maxAccountName = 200
	// maxMS bounds all other times in a message, in ms.
	maxMS = 1e12
)

// verb is the kind of a request. Its values are part of the protocol.
type verb uint8

const (
	// verbRun runs a call: in the transaction of a handle, or else on a newly lent
	// connection.
	verbRun verb = iota
	// verbRelease ends a transaction that a call left open, by rollback. It has no
	// response. Without a handle, it withdraws the call with its Seq: if nothing of that call has
	// been sent to the endpoint, the lender answers it with failWithdrawn and does not send it any
	// more. Earlier versions ignore that.
	verbRelease
	// verbQueryGroup requests the lender's knowledge of a group.
	verbQueryGroup
	// verbRequestTokens requests tokens for the operations of accounts. It is used only
	// between hosts that use accounts.
	verbRequestTokens
)

// failure is the reason why a lender did not complete a request. Its values are part
// of the protocol.
type failure uint8

const (
	failNone failure = iota
	// failFull means that the endpoint has no connection left.
	failFull
	// failRefused means that the endpoint refused a connection. The response carries
	// the result code.
	failRefused
	// failMaybeSent means that the call failed, and that the endpoint may have received
	// an operation.
	failMaybeSent
	// failNotSent means that the call failed before any operation was sent.
	failNotSent
	// failOverloaded means that too many calls are queued for the endpoint.
	failOverloaded
	// failNoProof means that there is no proof that the endpoint leads its group.
	failNoProof
	// failLenderUnavailable means that the lender accepts no new loans.
	failLenderUnavailable
	// failNoPosition means that no known log position of the primary is recent enough
	// for the read's staleness bound.
	failNoPosition
	// failEndpointUnreachable means that the lender cannot reach the endpoint.
	failEndpointUnreachable
	// failNoConnection means that no connection became free in time.
	failNoConnection
	// failSendByPassed means that the time to send the call had passed before its turn
	// came.
	failSendByPassed
	// failWithdrawn means that the borrower withdrew the call before it was sent.
	failWithdrawn
	// failTimedOut means that the time limit of the call passed after the endpoint may have
	// received an operation.
	failTimedOut
)

// request is a message from a borrower to a lender.
type request struct {
	_    struct{} `cbor:",toarray"`
	Seq  uint64
	Verb verb
	// Handle identifies the transaction of an earlier call, 0 for none. A call with a
	// handle leaves Group and Endpoint empty.
	Handle   uint64
	Group    session.Group
	Endpoint replicaset.EndpointID
	// Class is the call's priority while it is queued, lowest first.
	Class int
	// MaxWaitMS is how long the call may wait before its first operation is sent to
	// the endpoint, and TimeoutMS how long it may take in total.
	MaxWaitMS, TimeoutMS int64
	// AnyState marks a call that does not depend on the state of a session.
	AnyState bool
	// Proof requires a proof that the endpoint leads its group before the first
	// operation is sent.
	Proof bool
	// Values and Body are the session state that the call runs under.
	Values    map[string]string
	Body      *preparedBody
	Ops       []op
	Freshness *freshness
	// Account, SendByMS, SentMS, TargetMS, Weight and Limits are sent only over links of hosts that
	// use accounts, as part of accountRequest. SendByMS is the time left to send the call's
	// first operation, 0 for no limit, and SentMS the borrower's time since boot when it was
	// determined. TargetMS is the time left to meet the target latency,
	// negative if it has passed, 0 for no target.
	Account  session.Account `cbor:"-"`
	SendByMS int64           `cbor:"-"`
	SentMS   int64           `cbor:"-"`
	TargetMS int64           `cbor:"-"`
	Weight   float64         `cbor:"-"`
	Limits   *limitsRequest  `cbor:"-"`

	// sendBy is SendByMS on the lender's clock.
	sendBy replicaset.Instant
}

// freshness is the staleness bound of a read for which the lender chooses the log
// position: MaxAgeMS is the maximum age, and Term and Position are the newest
// position that the session has seen.
type freshness struct {
	_              struct{} `cbor:",toarray"`
	MaxAgeMS       int64
	Term, Position uint64
}

// response is the answer of a lender to the request with the same Seq.
type response struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Failure failure
	Code    engine.Code
	// Handle identifies the transaction that the call left open, 0 for none.
	Handle    uint64
	Outcomes  []outcome
	Knowledge *knowledge
	// Limits is sent only over links of hosts that use accounts, as part of
	// accountResponse.
	Limits *limitsResponse `cbor:"-"`
}

// knowledge is the encoded form of replicaset.Knowledge. Ages are in ms; -1 means
// that there is no sample or no proof.
type knowledge struct {
	_                   struct{} `cbor:",toarray"`
	Lead                replicaset.EndpointID
	LeadTerm            uint64
	Term, Position      uint64
	SampleAge, ProofAge int64
}

func wireKnowledge(k replicaset.Knowledge) *knowledge {
	out := &knowledge{
		Lead: k.Lead, LeadTerm: uint64(k.Term), Term: uint64(k.Point.Term), Position: uint64(k.Point.Position),
		SampleAge: -1, ProofAge: -1,
	}
	// Round up: an age must never be understated.
	if k.SampleAge >= 0 {
		out.SampleAge = millis(k.SampleAge) + 1
	}
	if k.ProofAge >= 0 {
		out.ProofAge = millis(k.ProofAge) + 1
	}
	return out
}

func (k *knowledge) value() replicaset.Knowledge {
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

// preparedBody is the encoded form of engine.PreparedBody.
type preparedBody struct {
	_      struct{} `cbor:",toarray"`
	Writes bool
	Text   string
}

// op is the encoded form of engine.Op: Term and Position are its MinPosition, PauseTerm
// is its Term.
type op struct {
	_              struct{} `cbor:",toarray"`
	Kind           engine.OpKind
	ID, Text       string
	Term, Position uint64
	Name, Value    string
	Commits        bool
	PauseTerm      uint64
}

// outcome is the encoded form of engine.Outcome.
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

// report is the encoded form of replicaset.Status without Busy, Connections and
// Started. ReceivedTerm and ReceivedPosition are its Received.
type report struct {
	_                struct{} `cbor:",toarray"`
	Role             replicaset.Role
	Term, PausedTerm uint64
	ReceivedTerm     uint64
	ReceivedPosition uint64
	LagMS            int64
}

// withdraws reports whether the request withdraws a call.
func (q request) withdraws() bool { return q.Verb == verbRelease && q.Handle == 0 }

// check validates a request. It rejects times above maxCallTime, which could overflow when
// added to the current time, and a call that has a staleness bound but no operation to apply
// it to.
func (q request) check() error {
	if q.Verb > verbRequestTokens || q.Verb == verbRun && q.Freshness != nil && len(q.Ops) == 0 {
		return fmt.Errorf("%w: verb %d with %d operations", errMalformed, q.Verb, len(q.Ops))
	}
	for _, ms := range []int64{q.MaxWaitMS, q.TimeoutMS} {
		if ms < -maxCallTime.Milliseconds() || ms > maxCallTime.Milliseconds() {
			return fmt.Errorf("%w: call time of %d ms", errMalformed, ms)
		}
	}
	if f := q.Freshness; f != nil && (f.MaxAgeMS < -maxMS || f.MaxAgeMS > maxMS) {
		return fmt.Errorf("%w: maximum age of %d ms", errMalformed, f.MaxAgeMS)
	}
	if len(q.Ops) > maxOps {
		return fmt.Errorf("%w: %d operations", errMalformed, len(q.Ops))
	}
	for _, o := range q.Ops {
		if o.Kind > engine.OpDemote {
			return fmt.Errorf("%w: unknown operation kind %d", errMalformed, o.Kind)
		}
	}
	return nil
}

// check validates a response.
func (a response) check() error {
	if !a.Code.Valid() {
		return fmt.Errorf("%w: code %d", errMalformed, a.Code)
	}
	if k := a.Knowledge; k != nil && (k.SampleAge > maxMS || k.ProofAge > maxMS) {
		return fmt.Errorf("%w: ages of %d and %d ms", errMalformed, k.SampleAge, k.ProofAge)
	}
	for _, o := range a.Outcomes {
		if !o.Code.Valid() || !o.State.Valid() || o.Report != nil && (!o.Report.Role.Valid() || o.Report.LagMS < 0 || o.Report.LagMS > maxMS) {
			return fmt.Errorf("%w: outcome with code %d and state %d", errMalformed, o.Code, o.State)
		}
	}
	return nil
}

func wireOps(ops []engine.Op) []op {
	out := make([]op, len(ops))
	for i, o := range ops {
		out[i] = op{
			Kind: o.Kind, ID: o.ID, Text: o.Text, Name: o.Name, Value: o.Value,
			Term: uint64(o.MinPosition.Term), Position: uint64(o.MinPosition.Position),
			Commits: o.Commits, PauseTerm: uint64(o.Term),
		}
	}
	return out
}

// wireRequest returns the request that runs a call at a lender. Deadlines are sent as
// remaining time, so that the hosts' clocks need not agree.
func wireRequest(g session.Group, id replicaset.EndpointID, handle uint64, c engine.Call) request {
	q := request{
		Verb: verbRun, Handle: handle, Class: c.Class, MaxWaitMS: millis(time.Until(c.QueueDeadline)),
		TimeoutMS: max(millis(time.Until(c.Deadline)), 1), Account: c.Account, AnyState: c.AnyState, Proof: c.Proof, Values: c.SessionState.Values, Ops: wireOps(c.Ops),
		TargetMS: remainingTarget(c.TargetBy), Weight: c.Weight,
	}
	if handle == 0 {
		q.Group, q.Endpoint = g, id
	}
	if f := c.Freshness; f != nil {
		q.Freshness = &freshness{MaxAgeMS: millis(f.MaxAge), Term: uint64(f.Seen.Term), Position: uint64(f.Seen.Position)}
	}
	if s := c.SessionState.Body; s != nil {
		q.Body = &preparedBody{Writes: s.Writes, Text: s.Text}
	}
	return q
}

// call returns the call of a request. Remaining times count from now.
func (q request) call() engine.Call {
	now := time.Now()
	c := engine.Call{
		QueueDeadline: now.Add(time.Duration(q.MaxWaitMS) * time.Millisecond), Deadline: now.Add(time.Duration(q.TimeoutMS) * time.Millisecond),
		Class: q.Class, Account: q.Account, AnyState: q.AnyState, Proof: q.Proof, SessionState: engine.SessionState{Values: q.Values}, Ops: make([]engine.Op, len(q.Ops)),
		TargetBy: targetBy(now, q.TargetMS), Weight: q.Weight,
	}
	if f := q.Freshness; f != nil {
		c.Freshness = &engine.Freshness{MaxAge: time.Duration(f.MaxAgeMS) * time.Millisecond, Seen: point(f.Term, f.Position)}
	}
	if q.Body != nil {
		c.SessionState.Body = &engine.PreparedBody{Writes: q.Body.Writes, Text: q.Body.Text}
	}
	for i, o := range q.Ops {
		c.Ops[i] = engine.Op{
			Kind: o.Kind, ID: o.ID, Text: o.Text, Name: o.Name, Value: o.Value, Commits: o.Commits,
			MinPosition: point(o.Term, o.Position), Term: session.Term(o.PauseTerm),
		}
		if o.Kind == engine.OpExecute && c.SessionState.Body != nil {
			c.Ops[i].Body = *c.SessionState.Body
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
		Role: st.Role, Term: uint64(st.Term), PausedTerm: uint64(st.PausedTerm), LagMS: millis(st.Lag),
		ReceivedTerm: uint64(st.Received.Term), ReceivedPosition: uint64(st.Received.Position),
	}
}

func (r *report) status() replicaset.Status {
	if r == nil {
		return replicaset.Status{}
	}
	return replicaset.Status{
		Role: r.Role, Term: session.Term(r.Term), PausedTerm: session.Term(r.PausedTerm),
		Received: point(r.ReceivedTerm, r.ReceivedPosition), Lag: time.Duration(r.LagMS) * time.Millisecond,
	}
}

func point(term, position uint64) session.Point {
	return session.Point{Term: session.Term(term), Position: session.Position(position)}
}

func millis(d time.Duration) int64 { return d.Milliseconds() }
