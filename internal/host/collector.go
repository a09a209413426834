package host

import (
	"github.com/prometheus/client_golang/prometheus"
)

var (
	descConnections = prometheus.NewDesc("cumintrestle_endpoint_connections",
		"Connections to an endpoint that this host holds.", []string{"endpoint"}, nil)
	descShare = prometheus.NewDesc("cumintrestle_endpoint_share",
		"Connections to an endpoint that this host may hold.", []string{"endpoint"}, nil)
	descWaiting = prometheus.NewDesc("cumintrestle_endpoint_waiting",
		"Requests that wait for a connection to an endpoint.", []string{"endpoint"}, nil)
	descAge = prometheus.NewDesc("cumintrestle_endpoint_age_seconds",
		"Age that a read on an endpoint may have now; missing where it is not known.", []string{"endpoint"}, nil)
	descCallers = prometheus.NewDesc("cumintrestle_account_connections",
		"Callers' connections of a client account on this host.", []string{"account"}, nil)
	descRetries = prometheus.NewDesc("cumintrestle_retry_budget",
		"Retries that this host may make now.", nil, nil)
	descSessions = prometheus.NewDesc("cumintrestle_sessions",
		"Callers connected to this host.", nil, nil)
)

// collector is a prometheus.Collector of gauges that are read from the host's
// state at each scrape.
type collector struct{ host *Host }

// Describe sends the descriptions of the metrics.
func (c collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		descConnections, descShare, descWaiting, descAge, descCallers, descRetries, descSessions,
	} {
		ch <- d
	}
}

// Collect sends the current values of the metrics.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	s := c.host.Status()
	for _, g := range s.Groups {
		for _, e := range g.Endpoints {
			id := string(e.Member.ID)
			gauge(descConnections, float64(e.Pool.Held), id)
			gauge(descShare, float64(e.Pool.Limit), id)
			gauge(descWaiting, float64(e.Pool.Waiting), id)
			if e.AgeKnown {
				gauge(descAge, e.Age.Seconds(), id)
			}
		}
	}
	for _, a := range s.Accounts {
		gauge(descCallers, float64(a.Connections), string(a.Account))
	}
	gauge(descRetries, s.RetryBudget)
	gauge(descSessions, float64(s.Sessions))
}
