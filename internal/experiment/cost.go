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

// CostRun compares statements through an entry host with the same statements
// sent to the endpoint directly.
type CostRun struct {
	Path       string  `json:"path"`
	Clients    int     `json:"clients"`
	Statements int64   `json:"statements"`
	PerSecond  float64 `json:"per_second"`
	MedianMS   float64 `json:"median_ms"`
	P99MS      float64 `json:"p99_ms"`
}

// Cost runs reads by key for a while, through a host or directly.
func Cost(d *deploy.Deployment, direct bool, clients int, length time.Duration) (CostRun, error) {
	run := CostRun{Path: "through", Clients: clients}
	url := d.URL(d.Hosts()[0], d.Spec.Accounts[0], d.Spec.Groups[0])
	if direct {
		run.Path = "direct"
		url = fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", endpoint.ServiceUser, deploy.EndpointPassword,
			d.AddressOf(deploy.MemberOf(d.Spec.Groups[0], d.Spec.Zones[0])), d.Spec.Groups[0])
	}
	took := hdrhistogram.New(1, histogramMax, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(length)
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
				asked := time.Now()
				if _, err := conn.Exec(context.Background(), "SELECT $1", 1); err != nil {
					errs <- err
					return
				}
				t := time.Since(asked).Microseconds()
				mu.Lock()
				_ = took.RecordValue(t)
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
	run.Statements = took.TotalCount()
	run.PerSecond = float64(run.Statements) / length.Seconds()
	run.MedianMS = float64(took.ValueAtQuantile(50)) / 1000
	run.P99MS = float64(took.ValueAtQuantile(99)) / 1000
	return run, nil
}

// IdleRun is the memory that idle client connections take.
type IdleRun struct {
	Connections int     `json:"connections"`
	KBEach      float64 `json:"kb_each"`
}

// Idle opens connections that do nothing and measures the growth of the heap
// and stacks, the client's own side included, as both run in one process.
func Idle(d *deploy.Deployment, n int) (IdleRun, error) {
	url := d.URL(d.Hosts()[0], d.Spec.Accounts[0], d.Spec.Groups[0])
	before := inUse()
	for range n {
		conn, err := pgx.Connect(context.Background(), url)
		if err != nil {
			return IdleRun{}, fmt.Errorf("connect: %w", err)
		}
		defer conn.Close(context.Background())
	}
	after := inUse()
	return IdleRun{Connections: n, KBEach: float64(after-before) / 1024 / float64(n)}, nil
}

func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
