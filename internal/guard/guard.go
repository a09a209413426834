// Package guard keeps a panic in one session, link or check from ending the
// process: the task ends, the rest goes on, and the cause is reported.
//
// # Usage
//
//	go guard.Run("session", report, func() { serve(conn) })
package guard

import (
	"fmt"
	"runtime/debug"
)

// Report takes the name of a task that ended by a panic, and the cause with the
// stack. It must not block.
type Report func(task, cause string)

// Run runs a task. A panic ends the task alone, after its deferred calls.
func Run(task string, report Report, f func()) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if report != nil {
			report(task, fmt.Sprintf("%v\n%s", r, debug.Stack()))
		}
	}()
	f()
}
