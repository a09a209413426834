package exchange

import (
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
)

// TestRefusedCommitOfFailedTransaction guards against a commit in doubt that was refused, without any
// copy, with a code that the connection had delivered before.
func TestRefusedCommitOfFailedTransaction(t *testing.T) {
	refused := answerOf(engine.ReadOnly, engine.FailedTransaction)
	ended, began := answerOf(engine.Done, engine.Idle), answerOf(engine.Done, engine.InTransaction)
	s := script(engine.InTransaction, []Answer{answerOf(engine.ReadOnly, engine.Idle)}, []Answer{refused, ended, began, ended})
	out, err := s.Do(time.Time{}, engine.Op{ID: "c", Text: "COMMIT", Commits: true})
	if err != nil || out[0].Code != engine.ReadOnly {
		t.Errorf("the commit ends with %+v and %v, want %s", out, err, engine.ReadOnly)
	}
}

// TestRefusedValueIsNotHidden guards against a write that runs under other session values because a
// copy was taken for the success of a request that sets one.
func TestRefusedValueIsNotHidden(t *testing.T) {
	set := answerOf(engine.Done, engine.Idle)
	written := Answer{Outcome: engine.Outcome{Digest: "d1"}}
	s := script(engine.Idle, []Answer{set}, []Answer{set, answerOf(engine.Busy, engine.Idle), written})
	out, err := s.Do(time.Time{}, engine.Op{Kind: engine.OpSet, Name: "v", Value: "1"})
	if err != nil || out[0].Code != engine.Done {
		return
	}
	out, err = s.Do(time.Time{}, engine.Op{ID: "w", Text: "WRITE 1 x", Commits: true})
	if err == nil && out[0].Code == engine.Done {
		t.Error("the write succeeds although its session value was refused")
	}
}
