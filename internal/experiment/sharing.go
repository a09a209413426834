package experiment

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cumintrestle/cumintrestle/internal/settings"
	"github.com/cumintrestle/cumintrestle/internal/standin/deploy"
)

const (
	// sharingClients all connect to the same entry host, as can happen after a
	// load balancer moves its traffic.
	sharingClients   = 24
	sharingStatement = "SELECT pg_sleep(0.02)"
)

// SharingRun is the throughput of one entry host out of several when all clients
// connect to it.
type SharingRun struct {
	Policy     string  `json:"policy"`
	Hosts      int     `json:"hosts"`
	Statements int64   `json:"statements"`
	PerSecond  float64 `json:"per_second"`
	Refused    int64   `json:"refused"`
	// PeakHeld is the highest number of connections open at one endpoint at the
	// same time.
	PeakHeld int `json:"peak_held"`
	Limit    int `json:"limit"`
}

// Sharing measures a policy for sharing the endpoints' connections among the
// entry hosts. It gives each endpoint as many statement slots as connections, so
// that only connections limit the throughput.
func Sharing(policy string, duration time.Duration) (SharingRun, error) {
	spec := deploy.GazonSahel()
	spec.Slots = spec.Connections
	run := SharingRun{Policy: policy, Hosts: spec.Hosts, Limit: spec.Connections}
	d, err := deploy.Start(spec, deploy.Options{Groups: 1, NoDelay: true, ConfigureSettings: func(s *settings.Settings) { s.SharePolicy = policy }})
	if err != nil {
		return run, fmt.Errorf("start: %w", err)
	}
	defer d.Stop()
	var done, refused atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for range sharingClients {
		conn, err := pgx.Connect(context.Background(), d.URL(d.Hosts()[0], spec.Accounts[1], spec.Groups[0]))
		if err != nil {
			return run, fmt.Errorf("connect: %w", err)
		}
		defer conn.Close(context.Background())
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				if _, err := conn.Exec(context.Background(), sharingStatement); err != nil {
					refused.Add(1)
					continue
				}
				done.Add(1)
			}
		}()
	}
	wg.Wait()
	run.Statements, run.Refused = done.Load(), refused.Load()
	run.PerSecond = float64(run.Statements) / duration.Seconds()
	for _, z := range spec.Zones {
		run.PeakHeld = max(run.PeakHeld, d.Node(deploy.MemberOf(spec.Groups[0], z)).PeakSessions())
	}
	return run, nil
}
