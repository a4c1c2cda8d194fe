package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/jaypitch/jaypitch"
)

// Metrics are the counters of a node. docs/METRICS.md lists them.
type Metrics struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	applied  prometheus.Counter
	apply    prometheus.Histogram
	paused   prometheus.Counter
}

// NewMetrics makes the metrics of a node.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "jaypitch_calls_total",
			Help: "Calls of callers by service, rank, result code and whether they ran."}, []string{"service", "rank", "code", "ran"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "jaypitch_call_duration_seconds",
			Help: "Time from the arrival of a call to its last byte.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16)}, []string{"service", "rank"}),
		applied: prometheus.NewCounter(prometheus.CounterOpts{Name: "jaypitch_tables_applied_total", Help: "Routing tables put in force."}),
		apply: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "jaypitch_table_apply_duration_seconds",
			Help: "Time to build a routing table and put it in force.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14)}),
		paused: prometheus.NewCounter(prometheus.CounterOpts{Name: "jaypitch_pauses_total", Help: "Times that the process woke late."}),
	}
	m.registry.MustRegister(m.calls, m.seconds, m.applied, m.apply, m.paused,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// RecordRequest counts a call.
func (m *Metrics) RecordRequest(service, rank string, c jaypitch.Code, took time.Duration) {
	m.calls.WithLabelValues(service, rank, strconv.Itoa(int(c)), string(c.Info().Execution)).Inc()
	m.seconds.WithLabelValues(service, rank).Observe(took.Seconds())
}

// RecordApply counts a table put in force.
func (m *Metrics) RecordApply(took time.Duration) {
	m.applied.Inc()
	m.apply.Observe(took.Seconds())
}

// RecordPause counts a late wake.
func (m *Metrics) RecordPause() {
	m.paused.Inc()
}

// RegisterGauge registers a value that is read when Prometheus asks.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// RegisterCounter registers a growing value that is read when Prometheus asks.
func (m *Metrics) RegisterCounter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// Registry returns the registry of the metrics.
func (m *Metrics) Registry() *prometheus.Registry {
	return m.registry
}

func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
