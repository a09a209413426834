package guard

import (
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	var tasks []string
	report := func(task, cause string) {
		if !strings.Contains(cause, "index out of range") || !strings.Contains(cause, "guard_test.go") {
			t.Errorf("the cause is %q, want the panic and its location", cause)
		}
		tasks = append(tasks, task)
	}
	closed := false
	Run("broken", report, func() {
		defer func() { closed = true }()
		var empty []int
		_ = empty[len(tasks)]
	})
	Run("whole", report, func() {})
	if len(tasks) != 1 || tasks[0] != "broken" || !closed {
		t.Errorf("reported %v, deferred calls run %t", tasks, closed)
	}
}
