package session

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestTokenRoundTrip(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(params)
	properties.Property("a token survives its text form", prop.ForAll(
		func(names []string, term, position uint64) bool {
			var tok Token
			for _, n := range names[:min(len(names), MaxTokenGroups)] {
				tok.Observe(Group(n), Point{Term(term), Position(position)})
			}
			text := tok.String()
			if len(text) > MaxTokenBytes {
				return true
			}
			back, err := ParseToken(text)
			return err == nil && back.String() == text
		},
		gen.SliceOf(gen.Identifier()), gen.UInt64(), gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestObserveNeverGoesBack(t *testing.T) {
	var tok Token
	for _, p := range []Point{{2, 5}, {1, 9}, {2, 4}} {
		tok.Observe("g", p)
	}
	if got := tok.Point("g"); got != (Point{2, 5}) {
		t.Errorf("got %s, want 2/5", got)
	}
}

func FuzzParseToken(f *testing.F) {
	var tok Token
	tok.Observe("die-ledger-1", Point{3, 118})
	for _, s := range []string{"", tok.String(), "v1.", "v2.x", "v1.gaA"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		tok, err := ParseToken(s)
		if err != nil {
			return
		}
		back, err := ParseToken(tok.String())
		if err == nil && back.String() != tok.String() {
			t.Errorf("%q: encoding the parsed token again gives another text", s)
		}
	})
}
