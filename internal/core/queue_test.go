package core

import (
	"slices"
	"testing"
	"time"
)

// Writes have priority, but a read follows every four of them; accounts are served
// round robin; canceled and expired requests are skipped.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(100, 0)
	later := now.Add(time.Second)
	for _, c := range []struct {
		name string
		fill func(q *Queue[string])
		want []string
	}{
		{"accounts are served round robin", func(q *Queue[string]) {
			for _, id := range []string{"a1", "a2", "a3"} {
				q.Push("a", ClassRead, id, later)
			}
			q.Push("b", ClassRead, "b1", later)
		}, []string{"a1", "b1", "a2", "a3"}},
		{"writes before reads, with a read after four writes", func(q *Queue[string]) {
			q.Push("a", ClassRead, "r1", later)
			q.Push("a", ClassRead, "r2", later)
			for _, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
				q.Push("a", ClassWrite, id, later)
			}
		}, []string{"w1", "w2", "w3", "w4", "r1", "w5", "r2"}},
		{"expired requests are skipped", func(q *Queue[string]) {
			q.Push("a", ClassWrite, "late", now.Add(-time.Second))
			q.Push("a", ClassWrite, "w1", later)
		}, []string{"w1"}},
		{"canceled requests are skipped", func(q *Queue[string]) {
			w := q.Push("a", ClassWrite, "gone", later)
			q.Push("a", ClassWrite, "w1", later)
			if !q.Remove(w) || q.Remove(w) {
				t.Error("Remove must succeed exactly once")
			}
		}, []string{"w1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var q Queue[string]
			c.fill(&q)
			var got []string
			for {
				id, ok := q.Pop(now)
				if !ok {
					break
				}
				got = append(got, id)
			}
			if !slices.Equal(got, c.want) || q.Len() != 0 {
				t.Errorf("got %v, %d left; want %v", got, q.Len(), c.want)
			}
		})
	}
}
