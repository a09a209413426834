package history

import (
	"testing"
)

// TestCheck checks that Check finds each kind of violation and reports none for a
// correct history.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		writes []Write
		reads  []Read
		final  []string
		want   []Kind
	}{
		{name: "good", writes: []Write{{"a", 1, Acked}, {"b", 1, NotRun}, {"c", 2, Unknown}, {"d", 2, Unknown}}, reads: []Read{{Session: 1}}, final: []string{"a", "c"}},
		{name: "lost", writes: []Write{{"a", 1, Acked}}, want: []Kind{Lost}},
		{name: "doubled", writes: []Write{{"a", 1, Acked}}, final: []string{"a", "a"}, want: []Kind{Duplicated}},
		{name: "unknown but doubled", writes: []Write{{"a", 1, Unknown}}, final: []string{"a", "a"}, want: []Kind{Duplicated}},
		{name: "false not run", writes: []Write{{"a", 1, NotRun}}, final: []string{"a"}, want: []Kind{FalseNotRun}},
		{name: "own write missing", writes: []Write{{"a", 1, Acked}}, reads: []Read{{Session: 1, Missing: []string{"a"}}}, final: []string{"a"}, want: []Kind{OwnWriteMissing}},
		{name: "went back", writes: []Write{{"a", 2, Acked}}, reads: []Read{{Session: 1, Vanished: []string{"a"}}}, final: []string{"a"}, want: []Kind{NonMonotonicRead}},
		{name: "invented", final: []string{"x"}, want: []Kind{NeverWritten}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &History{}
			for _, w := range c.writes {
				h.AddWrite(w)
			}
			for _, r := range c.reads {
				h.AddRead(r)
			}
			got := h.Check(c.final)
			if len(got) != len(c.want) {
				t.Fatalf("got %+v, want %v", got, c.want)
			}
			for i, v := range got {
				if v.Kind != c.want[i] {
					t.Errorf("got %+v, want %v", v, c.want[i])
				}
			}
		})
	}
}
