package engine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestPoolAccountAtTenTimesItsLoad guards against an account whose requests for connections keep
// another account's request waiting behind all of its own.
func TestPoolAccountAtTenTimesItsLoad(t *testing.T) {
	now := time.Now()
	var passed atomic.Int64
	p := &pool{now: func() time.Time { return now.Add(time.Duration(passed.Load())) }, fair: func() bool { return true }, dial: func(context.Context, replicaset.Member, session.Account) (*Conn, error) {
		return &Conn{Close: func() {}}, nil
	}}
	p.setShare(0, 1)
	p.limit = 1
	held, err := p.acquire(now.Add(time.Minute), connNeed{account: "hot", class: classRead})
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan string, 40)
	add := func(name string, account session.Account) {
		_, _, before := p.stats()
		go func() {
			c, err := p.acquire(now.Add(time.Minute), connNeed{account: account, class: classRead})
			if err != nil {
				name = err.Error()
			}
			served <- name
			if err == nil {
				p.release(c)
			}
		}()
		for _, _, n := p.stats(); n == before; _, _, n = p.stats() {
			time.Sleep(20 * time.Microsecond)
		}
	}
	for i := range 20 {
		add(fmt.Sprint("hot ", i), "hot")
	}
	for _, name := range []string{"a", "b"} {
		add(name, session.Account(name))
	}
	passed.Store(int64(handoverWait))
	p.release(held)
	var order []string
	for range 22 {
		order = append(order, <-served)
	}
	for _, name := range []string{"a", "b"} {
		if count(order[:4], name) != 1 {
			t.Errorf("account %s is not among the first four served: %v", name, order)
		}
	}
}
