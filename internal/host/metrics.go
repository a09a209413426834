package host

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"

	"github.com/cumintrestle/cumintrestle/internal/caller"
	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// metrics holds the counters and histograms of the host: the share of reads that
// replicas served, the failover gap, and what alerts need besides these two.
type metrics struct {
	registry   *prometheus.Registry
	reads      *prometheus.CounterVec
	requests   *prometheus.HistogramVec
	results    *prometheus.CounterVec
	gap        *prometheus.HistogramVec
	promotions *prometheus.CounterVec
	term       *prometheus.GaugeVec
	revision   prometheus.Gauge

	mu      sync.Mutex
	lastAck map[session.Group]ackedWrite
}

// ackedWrite is the last acknowledged write of a group: its term and time.
type ackedWrite struct {
	term session.Term
	at   time.Time
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry(), lastAck: make(map[session.Group]ackedWrite)}
	m.reads = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cumintrestle_reads_total",
		Help: "Reads by who served them and whether a replica could have.",
	}, []string{"database_group", "served_by", "replica_lawful"})
	m.requests = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "cumintrestle_request_seconds",
		Help:    "Time from a whole request to its whole answer.",
		Buckets: prometheus.ExponentialBuckets(0.0002, 2, 16),
	}, []string{"kind"})
	m.results = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cumintrestle_results_total",
		Help: "Requests by result code; 0 is the endpoint's own answer.",
	}, []string{"code", "family"})
	m.gap = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "cumintrestle_failover_gap_seconds",
		Help:    "Time from the last acknowledged write of a term to the first of a later one, on this host.",
		Buckets: []float64{0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 8, 11, 20},
	}, []string{"database_group"})
	m.promotions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cumintrestle_promotions_total",
		Help: "Promotions that this host won, by cause.",
	}, []string{"database_group", "cause"})
	m.term = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "cumintrestle_term",
		Help: "Term of the database group's primary as this host knows it.",
	}, []string{"database_group"})
	m.revision = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "cumintrestle_declared_revision",
		Help: "Revision of the declared state in force on this host.",
	})
	m.registry.MustRegister(m.reads, m.requests, m.results, m.gap, m.promotions, m.term, m.revision)
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// observe records a finished request.
func (m *metrics) observe(o caller.Outcome, now time.Time) {
	m.requests.WithLabelValues(string(o.Kind)).Observe(o.Duration.Seconds())
	code, family := codeLabel(o)
	m.results.WithLabelValues(code, family).Inc()
	if o.Acked.Term > 0 {
		m.observeAck(o.Group, o.Acked.Term, now)
	}
	if o.Kind != caller.KindRead || o.Code != 0 {
		return
	}
	by := "primary"
	if o.Replica {
		by = "replica"
	}
	lawful := "no"
	if o.ReplicaEligible {
		lawful = "yes"
	}
	m.reads.WithLabelValues(string(o.Group), by, lawful).Inc()
}

// observePrimary records a new primary. Only the host that promoted it sets a
// cause, so each promotion is counted once.
func (m *metrics) observePrimary(g session.Group, a core.Announce) {
	m.term.WithLabelValues(string(g)).Set(float64(a.Term))
	if a.Cause != "" {
		m.promotions.WithLabelValues(string(g), string(a.Cause)).Inc()
	}
}

// observeAck records an acknowledged write. The first of a later term ends a
// failover gap.
func (m *metrics) observeAck(g session.Group, t session.Term, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.lastAck[g]
	if last.term != 0 && t > last.term {
		m.gap.WithLabelValues(string(g)).Observe(now.Sub(last.at).Seconds())
	}
	if t >= last.term {
		m.lastAck[g] = ackedWrite{term: t, at: now}
	}
}

func codeLabel(o caller.Outcome) (string, string) {
	if o.Code == 0 {
		return "0", "done"
	}
	return strconv.Itoa(int(o.Code)), o.Code.Family().String()
}

// Gather returns the current values of one metric, or nil if there is none with
// that name.
func (h *Host) Gather(name string) []*dto.Metric {
	families, err := h.metrics.registry.Gather()
	if err != nil {
		return nil
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()
		}
	}
	return nil
}
