package budget

import "github.com/prometheus/client_golang/prometheus"

// Collector is a prometheus.Collector of the budget's parts and connections.
type Collector struct{ Budget *Budget }

var (
	budgetBytes = prometheus.NewDesc("cumintrestle_budget_bytes", "Memory that peers make this host hold, by part.", []string{"part", "value"}, nil)
	budgetConns = prometheus.NewDesc("cumintrestle_budget_connections", "Connections of peers, by kind.", []string{"kind", "value"}, nil)
)

// Describe is part of prometheus.Collector.
func (Collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- budgetBytes
	ch <- budgetConns
}

// Collect is part of prometheus.Collector.
func (c Collector) Collect(ch chan<- prometheus.Metric) {
	collect := func(d *prometheus.Desc, all []Usage) {
		for _, u := range all {
			ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(u.Used), u.Name, "used")
			ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(u.Limit), u.Name, "limit")
		}
	}
	collect(budgetBytes, c.Budget.Bytes())
	collect(budgetConns, c.Budget.Connections())
}
