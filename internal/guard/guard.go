// Package guard keeps a panic in one session, link or check from ending the
// process: only the task ends, and the cause is reported.
//
// # Usage
//
//	go guard.Run("session", report, func() { serve(conn) })
package guard

import (
	"fmt"
	"runtime/debug"
)

// Report is called with the name of a task that ended in a panic, and with the
// cause and its stack trace. It must not block.
type Report func(task, cause string)

// Run runs f as the named task. A panic ends only the task, after its deferred
// calls.
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
