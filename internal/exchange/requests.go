package exchange

import "github.com/cumintrestle/cumintrestle/internal/engine"

// idleMarker is a marker outside of a transaction, with the states of its answers. anyMarker may also
// stand inside of one, where its answer has the state of openStates.
var (
	idleMarker = []engine.Op{{Kind: engine.OpBeginRead}, {Kind: engine.OpRollback}}
	idleStates = []engine.TxState{engine.InTransaction, engine.Idle}
	openStates = []engine.TxState{engine.InTransaction}
	anyMarker  = []engine.Op{{Kind: engine.OpPrepare, Name: "m", Body: engine.PreparedBody{Text: "m"}}}
)

func isStatement(k engine.OpKind) bool { return k == engine.OpStatement || k == engine.OpExecute }

func isBegin(k engine.OpKind) bool { return k == engine.OpBegin || k == engine.OpBeginRead }

// isControl reports whether a request is about the endpoint itself. Its answer has a row and no
// digest.
func isControl(k engine.OpKind) bool { return k >= engine.OpStatus }

func alwaysMarked(k engine.OpKind) bool { return isBegin(k) || isControl(k) }

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
