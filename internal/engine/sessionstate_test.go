package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestConnectionsKeepLittleState guards against connections that keep what a session had, for as long
// as they are used for others: no budget is charged for it.
func TestConnectionsKeepLittleState(t *testing.T) {
	many := make(map[string]string)
	for i := range 1000 {
		many[fmt.Sprint(i)] = ""
	}
	large := strings.Repeat("x", maxKeptState)
	for name, tt := range map[string]struct {
		state SessionState
		want  bool
	}{
		"nothing":       {SessionState{}, true},
		"small value":   {SessionState{Values: map[string]string{"role": "clerk"}}, true},
		"small body":    {SessionState{Body: &PreparedBody{Text: "stock"}}, true},
		"large value":   {SessionState{Values: map[string]string{"role": large}}, false},
		"many values":   {SessionState{Values: many}, false},
		"large body":    {SessionState{Body: &PreparedBody{Text: large}}, false},
		"half a value":  {SessionState{Values: map[string]string{"role": large[:maxKeptState/2]}}, true},
		"value at most": {SessionState{Values: map[string]string{"r": large[:maxKeptState-StateOverhead-1]}}, true},
		"value above":   {SessionState{Values: map[string]string{"r": large[:maxKeptState-StateOverhead]}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Conn{Close: func() {}, Do: func(_ time.Time, ops ...Op) ([]Outcome, error) { return make([]Outcome, len(ops)), nil }}
			// What replaced values and another session's reset take off is not counted.
			for range 3 {
				run(t, c, SessionState{Values: map[string]string{"first": large[:100]}})
				run(t, c, SessionState{Values: map[string]string{"first": large[:200]}})
				run(t, c, SessionState{})
				run(t, c, tt.state)
			}
			if got := c.reusable(); got != tt.want {
				t.Errorf("with %d bytes kept, reusable is %t, want %t", c.stateSize, got, tt.want)
			}
		})
	}
}

func run(t *testing.T, c *Conn, state SessionState) {
	t.Helper()
	if _, err := c.Run(Call{SessionState: state, Ops: []Op{{Kind: OpStatement, ID: "1", Text: "READ 0"}}}); err != nil {
		t.Fatal(err)
	}
}
