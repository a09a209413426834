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
	// One session in four is a grower's: half its requests are orders. The
	// others are the portal's: they only read, one grower's orders each.
	growerEvery  = 4
	growerReads  = 0.5
	readThink    = 10 * time.Millisecond
	histogramMax = int64(60 * time.Second / time.Microsecond)
)

// ReadRun is one measurement of where reads went.
type ReadRun struct {
	Policy string `json:"policy"`
	LagMS  int64  `json:"lag_ms"`
	Reads  int    `json:"reads"`
	// Replica is the number of reads that replicas served.
	Replica int `json:"replica"`
	// Lawful is the number of reads that some replica could have served.
	Lawful       int     `json:"lawful"`
	ReplicaShare float64 `json:"replica_share"`
	LawfulShare  float64 `json:"share_of_lawful"`
	// Stale is the number of reads that missed the session's own write, or
	// went back behind an earlier read.
	Stale    int     `json:"stale"`
	MedianMS float64 `json:"median_ms"`
	P99MS    float64 `json:"p99_ms"`
}

// Reads measures the share of reads that replicas serve with a given lag.
func Reads(spec deploy.Spec, policy string, lag, length time.Duration, seed uint64) (ReadRun, error) {
	run := ReadRun{Policy: policy, LagMS: lag.Milliseconds()}
	d, err := deploy.Start(spec, deploy.Options{Groups: 1, Settings: func(s *settings.Settings) { s.ReadPolicy = policy }})
	if err != nil {
		return run, fmt.Errorf("start: %w", err)
	}
	defer d.Stop()
	conn, err := pgx.Connect(context.Background(), d.URL(d.Hosts()[0], d.Spec.Accounts[1], d.Spec.Groups[0]))
	if err != nil {
		return run, fmt.Errorf("connect: %w", err)
	}
	defer conn.Close(context.Background())
	if _, err := conn.Exec(context.Background(), load.Table); err != nil {
		return run, fmt.Errorf("table: %w", err)
	}
	time.Sleep(300 * time.Millisecond)
	for _, z := range d.Spec.Zones {
		d.Node(deploy.MemberOf(d.Spec.Groups[0], z)).SetLag(lag, 0)
	}
	took := hdrhistogram.New(1, histogramMax, 3)
	h := readLoad(d, length, seed, took)
	for _, v := range h.Check(nil) {
		if v.Kind == history.NotYourWrite || v.Kind == history.WentBack {
			run.Stale++
		}
	}
	countReads(d, &run)
	run.MedianMS = float64(took.ValueAtQuantile(50)) / 1000
	run.P99MS = float64(took.ValueAtQuantile(99)) / 1000
	return run, nil
}

// readLoad runs the portal's mix: many reads, some writes.
func readLoad(d *deploy.Deployment, length time.Duration, seed uint64, took *hdrhistogram.Histogram) *history.History {
	h := &history.History{}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	hosts := d.Hosts()
	for n := range readSessions {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		s := &load.Session{
			N: n + 1, ReadShare: 1, Watch: n/growerEvery*growerEvery + 1, Think: readThink, Rand: r, History: h,
			URL: func() string {
				return d.URL(hosts[r.IntN(len(hosts))], d.Spec.Accounts[1], d.Spec.Groups[0])
			},
			OnRead: func(t time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				_ = took.RecordValue(t.Microseconds())
			},
		}
		if n%growerEvery == 0 {
			s.ReadShare, s.Watch = growerReads, load.Own
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

// countReads adds up what the entry hosts' own metrics say.
func countReads(d *deploy.Deployment, run *ReadRun) {
	for _, host := range d.Hosts() {
		for _, m := range host.Gather("cumintrestle_reads_total") {
			n := int(m.GetCounter().GetValue())
			run.Reads += n
			if label(m, "served_by") == "replica" {
				run.Replica += n
			}
			if label(m, "replica_lawful") == "yes" {
				run.Lawful += n
			}
		}
	}
	if run.Reads > 0 {
		run.ReplicaShare = float64(run.Replica) / float64(run.Reads)
	}
	if run.Lawful > 0 {
		run.LawfulShare = float64(run.Replica) / float64(run.Lawful)
	}
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}
