package grants

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/ratelimit"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
)

// TestAdmitWithoutGrantingHost guards against operations that wait long for a granting host that does not answer: the
// first one waits for as long as a fallback would take to begin, later ones are refused at once.
func TestAdmitWithoutGrantingHost(t *testing.T) {
	start := time.Now()
	s := newService(&leaseStore{down: true}, "a", 9)
	s.BootTime = func() replicaset.Instant { return at(time.Minute + time.Since(start)) }
	s.Exchange = func(context.Context, string, ratelimit.Request) (ratelimit.Response, error) {
		return ratelimit.Response{}, errDown
	}
	s.SetHolder("b")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	for _, most := range []time.Duration{800 * time.Millisecond, 300 * time.Millisecond} {
		began := time.Now()
		_, err := s.Admit(began.Add(10*time.Second), "mill")
		var refused *engine.LimitError
		if !errors.As(err, &refused) || !refused.Undecided || refused.RetryAfter <= 0 {
			t.Errorf("admitted without a granting host: %v", err)
		}
		if waited := time.Since(began); waited > most {
			t.Errorf("refused after %s, want %s at most", waited, most)
		}
	}
	cancel()
	<-done
}

// TestNewHolderHearsOfHostsWithoutDemand guards against a granting host that holds back a part of the rate for a host
// that is in touch but has no operations, so that it would send no request.
func TestNewHolderHearsOfHostsWithoutDemand(t *testing.T) {
	start := time.Now()
	s := newService(&leaseStore{down: true}, "a", 9)
	s.BootTime = func() replicaset.Instant { return at(time.Minute + time.Since(start)) }
	epochs := make(chan ratelimit.Epoch, 10)
	s.Exchange = func(_ context.Context, _ string, r ratelimit.Request) (ratelimit.Response, error) {
		epochs <- r.Epoch
		return ratelimit.Response{Epoch: 7, Incarnation: r.Incarnation, Sequence: r.Sequence, Recovering: true}, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	s.SetHolder("b")
	for _, want := range []ratelimit.Epoch{0, 7} {
		select {
		case got := <-epochs:
			if got != want {
				t.Errorf("request with epoch %d, want %d", got, want)
			}
		case <-time.After(time.Second):
			t.Errorf("no request with epoch %d within a second", want)
		}
	}
	cancel()
	<-done
}
