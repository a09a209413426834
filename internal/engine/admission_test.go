package engine

import (
	"errors"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestSendByAfterSetup guards against an operation that is sent after its admission has ended: the
// requests that set up the connection took the rest of the time, and were followed by the operation.
func TestSendByAfterSetup(t *testing.T) {
	now, sent := replicaset.Instant(time.Second), 0
	c := &Conn{bootTime: func() replicaset.Instant { return now }, gate: newGate(time.Now, 2)}
	c.gate.pace = &pace{}
	c.Do = func(_ time.Time, ops ...Op) ([]Outcome, error) {
		for _, op := range ops {
			if op.Kind == OpStatement {
				sent++
			}
		}
		now = now.Add(300 * time.Millisecond)
		return make([]Outcome, len(ops)), nil
	}
	call := Call{
		QueueDeadline: time.Now().Add(time.Second), SendBy: now.Add(200 * time.Millisecond),
		SessionState: SessionState{Values: map[string]string{"v": "1"}}, Ops: []Op{{Kind: OpStatement}},
	}
	if _, err := c.Run(call); !errors.Is(err, errSendByPassed) || Sent(err) || sent != 0 {
		t.Errorf("%d operations sent 100 ms after the end of the admission, error %v", sent, err)
	}
	if !c.gate.pace.failingSince.IsZero() || c.gate.running != 0 {
		t.Errorf("the endpoint counts as failing since %v, with %d requests in flight", c.gate.pace.failingSince, c.gate.running)
	}
	call.SendBy = now.Add(200 * time.Millisecond)
	if _, err := c.Run(call); err != nil || sent != 1 {
		t.Errorf("%d operations sent with a valid admission, error %v", sent, err)
	}
}
