package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	dto "github.com/prometheus/client_model/go"

	"github.com/cumintrestle/cumintrestle/internal/history"
	"github.com/cumintrestle/cumintrestle/internal/load"
	"github.com/cumintrestle/cumintrestle/internal/settings"
	"github.com/cumintrestle/cumintrestle/internal/standin/deploy"
)

const (
	readSessions = 12
	// One session in four writes and reads back its own rows, half of its
	// requests each. The next three only read that session's rows.
	writerEvery     = 4
	writerReadShare = 0.5
	readThinkTime   = 10 * time.Millisecond
	// histogramMax is the highest latency that a histogram can record, in µs.
	histogramMax = int64(60 * time.Second / time.Microsecond)
)

// ReadRun shows how many reads replicas served under a read policy.
type ReadRun struct {
	Policy string `json:"policy"`
	LagMS  int64  `json:"lag_ms"`
	Reads  int    `json:"reads"`
	// Replica is the number of reads that replicas served.
	Replica int `json:"replica"`
	// Eligible is the number of reads that at least one replica was fresh enough
	// to serve.
	Eligible      int     `json:"lawful"`
	ReplicaShare  float64 `json:"replica_share"`
	EligibleShare float64 `json:"share_of_lawful"`
	// Stale counts, over all reads, the rows that a read did not return although
	// the session had written them or read them before.
	Stale    int     `json:"stale"`
	MedianMS float64 `json:"median_ms"`
	P99MS    float64 `json:"p99_ms"`
}

// Reads measures the share of reads that replicas serve under a read policy and a
// given replication lag.
func Reads(spec deploy.Spec, policy string, lag, duration time.Duration, seed uint64) (ReadRun, error) {
	run := ReadRun{Policy: policy, LagMS: lag.Milliseconds()}
	d, err := deploy.Start(spec, deploy.Options{Groups: 1, ConfigureSettings: func(s *settings.Settings) { s.ReadPolicy = policy }})
	if err != nil {
		return run, fmt.Errorf("start: %w", err)
	}
	defer d.Stop()
	conn, err := pgx.Connect(context.Background(), d.URL(d.Hosts()[0], d.Spec.Accounts[1], d.Spec.Groups[0]))
	if err != nil {
		return run, fmt.Errorf("connect: %w", err)
	}
	defer conn.Close(context.Background())
	if _, err := conn.Exec(context.Background(), load.CreateTable); err != nil {
		return run, fmt.Errorf("table: %w", err)
	}
	time.Sleep(300 * time.Millisecond)
	for _, z := range d.Spec.Zones {
		d.Node(deploy.MemberOf(d.Spec.Groups[0], z)).SetLag(lag, 0)
	}
	latencies := hdrhistogram.New(1, histogramMax, 3)
	h := readLoad(d, duration, seed, latencies)
	for _, v := range h.Check(nil) {
		if v.Kind == history.OwnWriteMissing || v.Kind == history.NonMonotonicRead {
			run.Stale++
		}
	}
	countReads(d, &run)
	run.MedianMS = float64(latencies.ValueAtQuantile(50)) / 1000
	run.P99MS = float64(latencies.ValueAtQuantile(99)) / 1000
	return run, nil
}

// readLoad runs a workload of many reads and few writes, modeled on Gazon Sahel.
func readLoad(d *deploy.Deployment, duration time.Duration, seed uint64, latencies *hdrhistogram.Histogram) *history.History {
	h := &history.History{}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	hosts := d.Hosts()
	for n := range readSessions {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		s := &load.Session{
			Number: n + 1, ReadShare: 1, Watch: n/writerEvery*writerEvery + 1, ThinkTime: readThinkTime, Rand: r, History: h,
			URL: func() string {
				return d.URL(hosts[r.IntN(len(hosts))], d.Spec.Accounts[1], d.Spec.Groups[0])
			},
			OnRead: func(t time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				_ = latencies.RecordValue(t.Microseconds())
			},
		}
		if n%writerEvery == 0 {
			s.ReadShare, s.Watch = writerReadShare, load.OwnOrders
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.Run(ctx)
		}()
	}
	wg.Wait()
	return h
}

// countReads fills in the read counts from the metrics of all entry hosts.
func countReads(d *deploy.Deployment, run *ReadRun) {
	for _, host := range d.Hosts() {
		for _, m := range host.Gather("cumintrestle_reads_total") {
			n := int(m.GetCounter().GetValue())
			run.Reads += n
			if labelValue(m, "served_by") == "replica" {
				run.Replica += n
			}
			if labelValue(m, "replica_lawful") == "yes" {
				run.Eligible += n
			}
		}
	}
	if run.Reads > 0 {
		run.ReplicaShare = float64(run.Replica) / float64(run.Reads)
	}
	if run.Eligible > 0 {
		run.EligibleShare = float64(run.Replica) / float64(run.Eligible)
	}
}

func labelValue(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}
