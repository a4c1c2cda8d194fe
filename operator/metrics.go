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

// Metrics holds the Prometheus metrics of a node. docs/METRICS.md lists them.
type Metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	requestSeconds    *prometheus.HistogramVec
	tableApplies      prometheus.Counter
	tableApplySeconds prometheus.Histogram
	pauses            prometheus.Counter
}

// NewMetrics returns the metrics of a node in a registry of their own, with those of the Go runtime and the operating system process.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "jaypitch_calls_total",
			Help: "Requests of clients by service, rank, result code and execution."}, []string{"service", "rank", "code", "ran"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "jaypitch_call_duration_seconds",
			Help: "Time from the arrival of a request to the last byte of its response.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16)}, []string{"service", "rank"}),
		tableApplies: prometheus.NewCounter(prometheus.CounterOpts{Name: "jaypitch_tables_applied_total", Help: "Routing tables applied."}),
		tableApplySeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "jaypitch_table_apply_duration_seconds",
			Help: "Time to build and apply a routing table.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14)}),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{Name: "jaypitch_pauses_total", Help: "Times that the process was paused."}),
	}
	m.registry.MustRegister(m.requests, m.requestSeconds, m.tableApplies, m.tableApplySeconds, m.pauses,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// RecordRequest counts a client's request and records its duration.
func (m *Metrics) RecordRequest(service, rank string, c jaypitch.Code, took time.Duration) {
	m.requests.WithLabelValues(service, rank, strconv.Itoa(int(c)), string(c.Info().Execution)).Inc()
	m.requestSeconds.WithLabelValues(service, rank).Observe(took.Seconds())
}

// RecordApply counts an applied routing table and records how long it took to build and apply.
func (m *Metrics) RecordApply(took time.Duration) {
	m.tableApplies.Inc()
	m.tableApplySeconds.Observe(took.Seconds())
}

// RecordPause counts a pause of the process, which is seen from a timer that fires late.
func (m *Metrics) RecordPause() {
	m.pauses.Inc()
}

// RegisterGauge registers a gauge that calls read on each scrape.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// RegisterCounter registers a counter that calls read on each scrape. The value must not decrease.
func (m *Metrics) RegisterCounter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// Registry returns the Prometheus registry that holds the metrics.
func (m *Metrics) Registry() *prometheus.Registry {
	return m.registry
}

func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
