package agenda

import (
	"sync"
	"testing"
)

// TestNoneIsLost guards against an item that was added while others were taken and is not due
// afterwards, and against a checker that sleeps although an item is due.
func TestNoneIsLost(t *testing.T) {
	const adders, items = 4, 1000
	var a Agenda[int]
	var wg sync.WaitGroup
	for n := range adders {
		wg.Go(func() {
			for i := range items {
				a.Add(n*items + i)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	seen := make(map[int]bool)
	for ended := false; !ended; {
		select {
		case <-a.Ready():
		case <-done:
			ended = true
		}
		for _, i := range a.Take() {
			seen[i] = true
		}
	}
	if len(seen) != adders*items || a.Len() != 0 {
		t.Errorf("%d of %d items were taken, %d are left", len(seen), adders*items, a.Len())
	}
}

// TestTakeAllocatesNothing guards against a cost of looks at an empty agenda.
func TestTakeAllocatesNothing(t *testing.T) {
	var a Agenda[int]
	a.Add(1)
	a.Add(1)
	if got := a.Take(); len(got) != 1 {
		t.Errorf("an item that was added twice is taken as %v", got)
	}
	if n := testing.AllocsPerRun(100, func() { a.Take() }); n > 0 {
		t.Errorf("%.0f allocations for an empty agenda", n)
	}
}
