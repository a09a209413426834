// Package pause waits in a way that a context ends.
//
// # Usage
//
//	if !pause.For(ctx, 100*time.Millisecond) {
//		return ctx.Err()
//	}
package pause

import (
	"context"
	"time"
)

// For waits for a time, or until the context ends. It reports whether the time has
// passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
