package host

import (
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cumintrestle/cumintrestle/internal/budget"
	"github.com/cumintrestle/cumintrestle/internal/httplimit"
)

const (
	// memoryShare is the fraction of the memory limit that the Go runtime may use.
	memoryShare = 0.7
	// gcPercent is below Go's default of 100 where memory is limited: it saves memory at the
	// cost of CPU time.
	gcPercent = 60
)

// buildBudget sets up the budget of the settings, and its metrics and log lines.
func (h *Host) buildBudget() {
	memory := h.Settings.MemoryMB << 20
	if memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * memoryShare))
		debug.SetGCPercent(gcPercent)
	}
	h.budget = budget.New(budget.PostgresShares, memory, int(h.Settings.MaxFDs))
	if ms := h.Settings.SlowAfterMS; ms > 0 {
		h.budget.SlowAfter = time.Duration(ms) * time.Millisecond
	}
	refusals := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cumintrestle_budget_refusals_total", Help: "Peers refused or disconnected by the budget, by reason.",
	}, []string{"reason"})
	h.metrics.registry.MustRegister(refusals, budget.Collector{Budget: h.budget})
	h.budget.OnRefuse = func(r budget.Reason) {
		refusals.WithLabelValues(string(r)).Inc()
		if n, ok := h.refusals.Admit(r); ok {
			h.event(h.Log.Warn(), "refused").Str("reason", string(r)).Int("count", n).Msg("")
		}
	}
}

// httpLimits returns the limits of HTTP requests in the settings.
func (h *Host) httpLimits(headerTimeout time.Duration) httplimit.Limits {
	return httplimit.Limits{
		HeaderTimeout: headerTimeout, Timeout: time.Duration(h.Settings.HTTPTimeoutMS) * time.Millisecond,
		HeaderBytes: int(h.Settings.HTTPHeaderBytes),
	}
}
