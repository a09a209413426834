package platform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/benbjohnson/clock"

	"github.com/cumintrestle/cumintrestle/internal/declared"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	standin "github.com/cumintrestle/cumintrestle/internal/standin/platform"
)

// valueOf returns the value of a declared row, "" if there is none.
func valueOf(state *declared.State, key string) string {
	rows, _ := state.RowsSince(0)
	for _, r := range rows {
		if r.Key == declared.Prefix+key {
			return string(r.Value)
		}
	}
	return ""
}

// TestDeclaredAfterRestore guards against a template that is accepted and not in force: the
// table service, back from a copy, gives its commit a number that hosts have seen before.
func TestDeclaredAfterRestore(t *testing.T) {
	for _, lost := range []int{1, 2, 4} {
		t.Run(fmt.Sprintf("commits lost: %d", lost), func(t *testing.T) {
			clk := clock.NewMock()
			srv := standin.NewServer(clk)
			web := httptest.NewServer(srv)
			defer web.Close()
			c := &platform.Client{URL: web.URL}
			c.Init()
			ctx := context.Background()
			state := declared.NewState()
			commit := func(key, value string, expect platform.Version) {
				t.Helper()
				if _, err := c.Commit(ctx, []platform.Write{{Key: declared.Prefix + key, Expect: expect, Value: []byte(value)}}); err != nil {
					t.Fatal(err)
				}
			}
			follow := func() {
				t.Helper()
				rows, at, err := c.Changes(ctx, declared.Prefix, state.Revision(), 0)
				if err != nil {
					t.Fatal(err)
				}
				state.Merge(rows, at)
			}
			value := func(key string) string { return valueOf(state, key) }
			commit("a", "copied", 0)
			follow()
			clk.Add(time.Minute)
			for i := range lost {
				commit("a", "lost", platform.Version(i+1))
				commit(fmt.Sprint("new", i), "lost", 0)
			}
			follow()
			srv.Restore(time.Second)
			commit("a", "after the restore", 1)
			follow()
			if got := value("a"); got != "after the restore" {
				t.Errorf("the host uses %q, want what was accepted last", got)
			}
			if got := value("new0"); got != "" {
				t.Errorf("the host uses %q for a row that the table has lost", got)
			}
			commit("a", "later", 2)
			follow()
			if got := value("a"); got != "later" {
				t.Errorf("the host uses %q, want the later change", got)
			}
			state.Merge([]platform.Row{{Key: declared.Prefix + "a", Version: 9, Revision: 1 << 20, Value: []byte("late")}}, 1<<20)
			if got := value("a"); got != "later" {
				t.Errorf("the host uses %q, from a late answer of an earlier era", got)
			}
		})
	}
}
