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

// When the commit that gives units back succeeds but its response is lost, the
// row that the host last read is out of date. Another host may hold the units by
// then, so the host must not use them again because of the old row.
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
		inUse:  func() int { return 0 },
		setLimit: func(n int, _ core.HostID) {
			limit = n
			highest = max(highest, n)
		},
	}
	ctx := context.Background()
	s.runRound(ctx, r)
	if limit != 8 {
		t.Fatalf("limit %d, want 8", limit)
	}
	demand, r.recentDemand = 1, nil
	store.SetFaults(platform.Faults{LoseAnswers: 1})
	s.runRound(ctx, r)
	kept := limit
	highest = 0
	store.SetFaults(platform.Faults{Down: true})
	s.runRound(ctx, r)
	store.SetFaults(platform.Faults{})
	s.runRound(ctx, r)
	if highest > kept {
		t.Errorf("limit rose to %d units after all but %d were given back", highest, kept)
	}
}
