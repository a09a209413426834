package engine

import (
	"errors"
	"testing"
	"time"
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

// TestGivenUpBorrowedWrite guards against writes in doubt beside planned restarts: one that still waited
// at its lending host when its own host exited counted as sent.
func TestGivenUpBorrowedWrite(t *testing.T) {
	tests := []struct {
		name string
		// remote is what the lending host does with the call.
		remote func(Call) ([]Outcome, error)
		want   Code
	}{
		{"it waits", func(c Call) ([]Outcome, error) { <-c.Withdrawn; return nil, NotSent(ErrWithdrawn) }, Busy},
		{"it was sent", func(c Call) ([]Outcome, error) { <-c.Withdrawn; return nil, errors.New("broken") }, InDoubt},
		{"it was sent and is answered", func(c Call) ([]Outcome, error) {
			<-c.Withdrawn
			time.Sleep(withdrawTime / 10)
			return []Outcome{{}}, nil
		}, Done},
		{"the lending host is silent", func(c Call) ([]Outcome, error) {
			<-c.Withdrawn
			time.Sleep(2 * withdrawTime)
			return nil, NotSent(ErrWithdrawn)
		}, InDoubt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &CallerSession{progress: newProgress()}
			c := &Conn{RunRemote: tt.remote}
			s.progress.begin(Idle, Write)
			sent := make(chan struct{})
			go func() {
				begin := func() bool { defer close(sent); return s.progress.beginCommit() }
				out, err := c.Run(Call{Begin: begin, Withdrawn: s.progress.withdrawn})
				switch {
				case Sent(err):
					s.progress.end(Outcome{Code: InDoubt})
				case err != nil:
					s.progress.endCommit()
					s.progress.end(Outcome{Code: Busy})
				default:
					s.progress.end(out[0])
				}
			}()
			<-sent
			if o := s.GiveUp("exit"); o.Code != tt.want {
				t.Errorf("the write is answered with %s, want %s", o.Code, tt.want)
			}
		})
	}
}
