package engine

import (
	"errors"
	"strings"
	"testing"
	"unicode"
	"unicode/utf8"
)

// TestReasonsAreOneLine guards against answers that callers can't read, because the text of an error
// of several lines, or a name with control characters, is their reason.
func TestReasonsAreOneLine(t *testing.T) {
	e := newPinnedEngine(&pinnedEndpoint{})
	joined := errors.Join(errNoConnection, errors.New("dial: i/o timeout"))
	s := openPinned(t, e, "a")
	_, unknown := e.Open("a\nb\xff", "")
	for _, o := range []Outcome{
		refusalOutcome(joined), refusalOutcome(errors.Join(&DialError{Code: TooManyConnections}, joined)), unknown,
		s.Run(Statement{ID: "1", Kind: Execute, Name: "\r"}), s.Run(Statement{ID: "2", Kind: Deallocate, Name: "\x00"}),
	} {
		if o.Reason == "" || strings.ContainsFunc(o.Reason, unicode.IsControl) || !utf8.ValidString(o.Reason) {
			t.Errorf("%s has the reason %q", o.Code, o.Reason)
		}
	}
	if got := reasonOf(joined); got != "no connection became free in time; dial: i/o timeout" {
		t.Errorf("two errors give %q", got)
	}
}
