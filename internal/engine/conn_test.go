package engine

import (
	"testing"
	"time"
)

// TestSetupAsksWithoutChanging guards against session values that leak into
// another session: checking whether a connection fits once cleared the recorded
// state of the connection.
func TestSetupAsksWithoutChanging(t *testing.T) {
	c := &Conn{Do: func(_ time.Time, ops ...Op) ([]Outcome, error) { return make([]Outcome, len(ops)), nil }}
	if _, err := c.Run(Call{SessionState: SessionState{Values: map[string]string{"v1": "a"}}}); err != nil {
		t.Fatal(err)
	}
	other := map[string]string{"v0": "b"}
	first := c.setupOps(other, nil)
	second := c.setupOps(other, nil)
	if len(first) != 2 || len(second) != 2 || second[0].Kind != OpReset {
		t.Fatalf("setup requests are %v, then %v; want a reset and the value both times", first, second)
	}
}

func TestSetup(t *testing.T) {
	prepared := PreparedBody{Text: "q1"}
	tests := []struct {
		name   string
		has    map[string]string
		wants  map[string]string
		kept   map[PreparedBody]string
		body   *PreparedBody
		expect []OpKind
	}{
		{"same values", map[string]string{"v": "1"}, map[string]string{"v": "1"}, nil, nil, nil},
		{"other value", map[string]string{"v": "1"}, map[string]string{"v": "2"}, nil, nil, []OpKind{OpSet}},
		{"surplus value", map[string]string{"v": "1"}, nil, nil, nil, []OpKind{OpReset}},
		{"prepared already", nil, nil, map[PreparedBody]string{prepared: "c0"}, &prepared, nil},
		{"not prepared yet", nil, nil, nil, &prepared, []OpKind{OpPrepare}},
		{"a reset drops prepared statements", map[string]string{"v": "1"}, nil, map[PreparedBody]string{prepared: "c0"}, &prepared, []OpKind{OpReset, OpPrepare}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &Conn{values: tt.has, prepared: tt.kept}
			ops := c.setupOps(tt.wants, tt.body)
			if len(ops) != len(tt.expect) {
				t.Fatalf("setup requests are %v, want %v", ops, tt.expect)
			}
			for i, op := range ops {
				if op.Kind != tt.expect[i] {
					t.Errorf("request %d is %v, want %v", i, op.Kind, tt.expect[i])
				}
			}
		})
	}
}
