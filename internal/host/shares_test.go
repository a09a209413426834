package host

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/benbjohnson/clock"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/peer"
	table "github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/internal/standin/platform"
)

// A share that was given back with a lost answer may be another host's by now:
// it must not be used again on the word of an old row.
func TestGivenBackShareIsNotUsedAfterLostAnswer(t *testing.T) {
	store := platform.NewServer(clock.New())
	srv := httptest.NewServer(store)
	defer srv.Close()
	client := &table.Client{URL: srv.URL}
	client.Init()
	s := newSharer(client, "h", clock.New())
	s.hosts = func() []core.HostID { return []core.HostID{"h"} }
	s.peers = func() []peer.Info { return nil }
	demand, limit, highest := 8, 0, 0
	r := &resource{
		key: sharePrefix + "endpoint/e", total: 10,
		demand: func() int { return demand },
		held:   func() int { return 0 },
		setLimit: func(n int, _ core.HostID) {
			limit = n
			highest = max(highest, n)
		},
	}
	ctx := context.Background()
	s.round(ctx, r)
	if limit != 8 {
		t.Fatalf("limit %d, want 8", limit)
	}
	demand, r.recent = 1, nil
	store.SetFaults(platform.Faults{LoseAnswers: 1})
	s.round(ctx, r)
	kept := limit
	highest = 0
	store.SetFaults(platform.Faults{Down: true})
	s.round(ctx, r)
	store.SetFaults(platform.Faults{})
	s.round(ctx, r)
	if highest > kept {
		t.Errorf("%d units were used after all but %d were given back", highest, kept)
	}
}
