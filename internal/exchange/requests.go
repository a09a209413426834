package exchange

import "github.com/cumintrestle/cumintrestle/internal/engine"

// A marker is sent behind a request, or ahead of one, and has no effect. idleMarker stands outside of a
// transaction, anyMarker also inside of one, and failedMarker ends one that has failed.
var (
	idleMarker   = []engine.Op{{Kind: engine.OpBeginRead}, {Kind: engine.OpRollback}}
	idleStates   = []engine.TxState{engine.InTransaction, engine.Idle}
	anyMarker    = []engine.Op{{Kind: engine.OpPrepare, Name: "m", Body: engine.PreparedBody{Text: "m"}}}
	openStates   = []engine.TxState{engine.InTransaction}
	failedMarker = append([]engine.Op{{Kind: engine.OpRollback}}, idleMarker...)
	failedStates = append([]engine.TxState{engine.Idle}, idleStates...)
)

func isStatement(k engine.OpKind) bool { return k == engine.OpStatement || k == engine.OpExecute }

func isBegin(k engine.OpKind) bool { return k == engine.OpBegin || k == engine.OpBeginRead }

// isControl reports whether a request is about the endpoint itself. Its answer has a row and no
// digest.
func isControl(k engine.OpKind) bool { return k >= engine.OpStatus }

// markerBehind returns the marker that is always sent behind a request, with the states of its answers,
// or nil. The states are nil if they depend on the answer to the request.
func (s *Stream) markerBehind(k engine.OpKind) (marker []engine.Op, states []engine.TxState) {
	switch {
	case isStatement(k):
		return nil, nil
	case isBegin(k):
		return anyMarker, nil
	case isControl(k), k == engine.OpRollback, s.state == engine.Idle:
		return idleMarker, idleStates
	case s.state == engine.InTransaction:
		return anyMarker, openStates
	}
	return nil, nil
}

// isPlain reports whether an answer is a success without rows and digest.
func isPlain(a Answer) bool {
	return !a.Greeting && a.Code == engine.Done && a.Digest == "" && len(a.Rows) == 0
}

// stateAfter returns the transaction state after a success of a request that is neither a statement
// nor about the endpoint.
func stateAfter(k engine.OpKind, before engine.TxState) engine.TxState {
	switch k {
	case engine.OpBegin, engine.OpBeginRead:
		return engine.InTransaction
	case engine.OpRollback:
		return engine.Idle
	}
	return before
}
