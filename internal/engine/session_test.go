package engine

import (
	"fmt"
	"strings"
	"testing"
)

// TestSessionStateIsBounded guards against a caller that fills the host's memory with values
// and prepared statements.
func TestSessionStateIsBounded(t *testing.T) {
	e := newPinnedEngine(&pinnedEndpoint{})
	s, _ := e.Open("db", "")
	set := func(name, value string) Code { return s.Run(Statement{Kind: Set, Name: name, Value: value}).Code }
	prepare := func(name, text string) Code {
		return s.Run(Statement{Kind: Prepare, Name: name, Body: PreparedBody{Text: text}}).Code
	}
	half := strings.Repeat("x", maxSessionState/2-10)
	for range 3 {
		if got := set("v", half); got != Done {
			t.Fatalf("a value that replaces the last one is answered with %s", got)
		}
	}
	if got := prepare("p", half); got != Done {
		t.Fatalf("a statement within the bound is answered with %s", got)
	}
	if a, b := set("w", half), prepare("q", half); a != TooBig || b != TooBig {
		t.Errorf("what exceeds the bound is answered with %s and %s, want %s", a, b, TooBig)
	}
	if s.Run(Statement{Kind: Deallocate, Name: "p"}); prepare("q", half) != Done {
		t.Error("a statement does not fit after another one is gone")
	}
	s.Run(Statement{Kind: Begin})
	for i := range 3 {
		set(fmt.Sprint("t", i), half)
	}
	if s.State() != FailedTransaction {
		t.Errorf("the transaction is in state %d, want it failed", s.State())
	}
}
