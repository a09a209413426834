package engine

import (
	"errors"
	"testing"
)

// TestGivenUpWriteIsNotSent guards against false promises: a write that was answered as not kept while
// it waited must not be sent afterwards, and one that was sent must not be promised away.
func TestGivenUpWriteIsNotSent(t *testing.T) {
	sent := 0
	c := &Conn{RunRemote: func(Call) ([]Outcome, error) { sent++; return nil, nil }}
	s := &CallerSession{}
	s.progress.begin(Idle, Write)
	if o := s.GiveUp("exit"); o.Code != Busy {
		t.Errorf("a write that waits is answered with %s, want %s", o.Code, Busy)
	}
	call := Call{Begin: s.progress.beginCommit}
	if _, err := c.Run(call); !errors.Is(err, errGivenUp) || Sent(err) || sent != 0 {
		t.Errorf("a write that was given up is run: %v, sent %d times", err, sent)
	}
	s = &CallerSession{}
	s.progress.begin(InTransaction, Commit)
	_, _ = c.Run(Call{Begin: s.progress.beginCommit})
	if o := s.GiveUp("exit"); o.Code != InDoubt || o.State != Idle || sent != 1 {
		t.Errorf("a commit that was sent %d times is answered with %s, want %s", sent, o.Code, InDoubt)
	}
}
