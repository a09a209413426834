package history

import (
	"testing"
)

// The checker must flag each kind of bad history, and nothing else.
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
		{name: "doubled", writes: []Write{{"a", 1, Acked}}, final: []string{"a", "a"}, want: []Kind{Doubled}},
		{name: "unknown but doubled", writes: []Write{{"a", 1, Unknown}}, final: []string{"a", "a"}, want: []Kind{Doubled}},
		{name: "false not run", writes: []Write{{"a", 1, NotRun}}, final: []string{"a"}, want: []Kind{FalseNotRun}},
		{name: "own write missing", writes: []Write{{"a", 1, Acked}}, reads: []Read{{Session: 1, Missing: []string{"a"}}}, final: []string{"a"}, want: []Kind{NotYourWrite}},
		{name: "went back", writes: []Write{{"a", 2, Acked}}, reads: []Read{{Session: 1, Vanished: []string{"a"}}}, final: []string{"a"}, want: []Kind{WentBack}},
		{name: "invented", final: []string{"x"}, want: []Kind{Invented}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &History{}
			for _, w := range c.writes {
				h.Wrote(w)
			}
			for _, r := range c.reads {
				h.Read(r)
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
