package experiment

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"

	"github.com/cumintrestle/cumintrestle/internal/standin/deploy"
	"github.com/cumintrestle/cumintrestle/internal/standin/endpoint"
)

// CostRun is the throughput and latency of statements on one path: through an
// entry host, or directly to an endpoint for comparison.
type CostRun struct {
	Path       string  `json:"path"`
	Clients    int     `json:"clients"`
	Statements int64   `json:"statements"`
	PerSecond  float64 `json:"per_second"`
	MedianMS   float64 `json:"median_ms"`
	P99MS      float64 `json:"p99_ms"`
}

// Cost runs the statement SELECT $1 for the given duration on several connections
// at once, through an entry host or directly to an endpoint.
func Cost(d *deploy.Deployment, direct bool, clients int, duration time.Duration) (CostRun, error) {
	run := CostRun{Path: "through", Clients: clients}
	url := d.URL(d.Hosts()[0], d.Spec.Accounts[0], d.Spec.Groups[0])
	if direct {
		run.Path = "direct"
		url = fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", endpoint.ServiceUser, deploy.EndpointPassword,
			d.AddressOf(deploy.MemberOf(d.Spec.Groups[0], d.Spec.Zones[0])), d.Spec.Groups[0])
	}
	latencies := hdrhistogram.New(1, histogramMax, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	errs := make(chan error, clients)
	for range clients {
		conn, err := pgx.Connect(context.Background(), url)
		if err != nil {
			return run, fmt.Errorf("connect: %w", err)
		}
		defer conn.Close(context.Background())
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				sentAt := time.Now()
				if _, err := conn.Exec(context.Background(), "SELECT $1", 1); err != nil {
					errs <- err
					return
				}
				t := time.Since(sentAt).Microseconds()
				mu.Lock()
				_ = latencies.RecordValue(t)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	select {
	case err := <-errs:
		return run, fmt.Errorf("statement: %w", err)
	default:
	}
	run.Statements = latencies.TotalCount()
	run.PerSecond = float64(run.Statements) / duration.Seconds()
	run.MedianMS = float64(latencies.ValueAtQuantile(50)) / 1000
	run.P99MS = float64(latencies.ValueAtQuantile(99)) / 1000
	return run, nil
}

// IdleMemoryRun is the memory used by idle client connections.
type IdleMemoryRun struct {
	Connections int     `json:"connections"`
	KBEach      float64 `json:"kb_each"`
}

// IdleMemory opens n idle connections and measures the growth of the heap and
// stacks. The result includes the memory of the client side, because client and
// entry host run in the same process.
func IdleMemory(d *deploy.Deployment, n int) (IdleMemoryRun, error) {
	url := d.URL(d.Hosts()[0], d.Spec.Accounts[0], d.Spec.Groups[0])
	before := memoryInUse()
	for range n {
		conn, err := pgx.Connect(context.Background(), url)
		if err != nil {
			return IdleMemoryRun{}, fmt.Errorf("connect: %w", err)
		}
		defer conn.Close(context.Background())
	}
	after := memoryInUse()
	return IdleMemoryRun{Connections: n, KBEach: float64(after-before) / 1024 / float64(n)}, nil
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
