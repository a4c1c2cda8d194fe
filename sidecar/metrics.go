package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/logline"
	"github.com/jaypitch/jaypitch/outbound"
)

// metrics are the counters and histograms of a sidecar.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	passes   *prometheus.CounterVec
	added    *prometheus.HistogramVec
	waited   *prometheus.HistogramVec
	worked   *prometheus.HistogramVec
	refused  prometheus.Counter
	dials    prometheus.Counter
}

const namespace = "jaypitch_sidecar"

// buckets of the histograms, in seconds.
var buckets = []float64{0.0002, 0.00035, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5}

func newMetrics(c *Sidecar, dropped func() int64) *metrics {
	m := &metrics{registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total", Help: "Requests of callers by result code and rank."}, []string{"code", "rank"}),
		passes:   prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "passes_total", Help: "Hand-overs to sidecars by result code."}, []string{"code"}),
		added:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "added_seconds", Help: "Time of answered requests outside the server, by rank.", Buckets: buckets}, []string{"rank"}),
		waited:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "waited_seconds", Help: "Time in the queue for a slot, by rank.", Buckets: buckets}, []string{"rank"}),
		worked:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "server_seconds", Help: "Time at the backend server, by rank.", Buckets: buckets}, []string{"rank"}),
		refused:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "entries_refused_total", Help: "Entries of the store that can't be decoded."}),
		dials:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "server_connections_total", Help: "New connections to the backend server."}),
	}
	m.registry.MustRegister(m.requests, m.passes, m.added, m.waited, m.worked, m.refused, m.dials)
	gauge := func(name, help string, f func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f))
	}
	gauge("version", "Version of the configuration in force.", func() float64 { return float64(c.state.Table().Version) })
	gauge("revision", "Revision of the store that is held.", func() float64 { return float64(c.state.Revision()) })
	gauge("source_age_seconds", "Time since the store confirmed what is held, directly or through others.", func() float64 { return c.fresh.age().Seconds() })
	gauge("store_calls", "Calls to the store.", func() float64 { return float64(c.watcher.callCount()) })
	gauge("store_reads", "Times that everything was read from the store.", func() float64 { return float64(c.watcher.reads()) })
	gauge("slots_running", "Requests at the backend server.", func() float64 { n, _, _ := c.receiver.Counts(); return float64(n) })
	gauge("slots_waiting", "Requests that wait for a slot.", func() float64 { _, n, _ := c.receiver.Counts(); return float64(n) })
	gauge("lines_dropped", "Log lines for which the output had no room.", func() float64 { return float64(dropped()) })
	return m
}

// Registry returns the metrics of the sidecar.
func (c *Sidecar) Registry() *prometheus.Registry {
	return c.metrics.registry
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) dialled(string) {
	m.dials.Inc()
}

// refused notes an entry of the store that can't be decoded.
func (c *Sidecar) refused(e *jaypitch.Error) {
	c.metrics.refused.Inc()
	if c.budget.Allow("entry", c.now()) {
		c.log.Warn("entry refused", zap.Int("code", int(e.Code)), zap.String("reason", e.Reason))
	}
}

// answered notes the end of a caller's request.
func (c *Sidecar) answered(r outbound.Record) {
	c.count(r)
	rank := strconv.FormatInt(r.Rank, 10)
	c.metrics.requests.WithLabelValues(r.Response.Code.Info().Name, rank).Inc()
	if r.Response.Execution == jaypitch.Executed {
		c.metrics.added.WithLabelValues(rank).Observe(r.Overhead.Seconds())
	}
	kind := logline.Answered
	if r.Response.Code != jaypitch.CodeOK {
		kind = logline.Failed
	} else if r.Status < http.StatusInternalServerError && !c.budget.Sampled(r.ID) {
		return
	}
	if !c.budget.AllowRequest(kind, r.ID, c.now()) {
		return
	}
	c.log.Info(kind, zap.String("id", r.ID), zap.String("rule", r.Rule), zap.Int64("rank", r.Rank), zap.String("service", r.Service),
		zap.Int64("version", r.Version), zap.Int("status", r.Status), zap.Int("code", int(r.Response.Code)), zap.String("ran", string(r.Response.Execution)),
		zap.String("reason", r.Response.Reason), zap.Duration("took", r.Took), zap.Duration("added", r.Overhead), zap.Duration("come_back", r.Response.RetryAfter))
}

// passed notes one hand-over.
func (c *Sidecar) passed(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, pass int) {
	c.metrics.passes.WithLabelValues(r.Code.Info().Name).Inc()
	if v := c.state.Table().Servers[f.ServerID]; v != nil && r.LoadReport.Slots > 0 && v.GetAddress() != c.settings.Load().GetSidecar().GetBackend() {
		c.follower.heard(c.peerAddress(v.GetAddress()), r.LoadReport.Revision, r.LoadReport.SourceAge)
	}
	if r.Code == jaypitch.CodeOK && !c.budget.Sampled(f.ID) || !c.budget.AllowRequest(logline.Passed, f.ID, c.now()) {
		return
	}
	c.log.Info(logline.Passed, zap.String("id", f.ID), zap.Int("pass", pass), zap.String("server", f.ServerID), zap.Int("code", int(r.Code)), zap.String("ran", string(r.Execution)),
		zap.Bool("arrived", r.Arrived), zap.String("reason", r.Reason), zap.Duration("left", f.Deadline.Sub(c.now())), zap.Int("in_progress", r.LoadReport.InProgress),
		zap.Int("waiting", r.LoadReport.Queued), zap.Int("slots", r.LoadReport.Slots), zap.Duration("mean", r.LoadReport.Mean), zap.Float64("failing", r.LoadReport.Failing))
}

// received notes one request for the backend server on this host.
func (c *Sidecar) received(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, waited time.Duration) {
	rank := strconv.FormatInt(f.Rank, 10)
	c.metrics.waited.WithLabelValues(rank).Observe(waited.Seconds())
	if r.ServiceTime > 0 {
		c.metrics.worked.WithLabelValues(rank).Observe(r.ServiceTime.Seconds())
	}
	if r.Code == jaypitch.CodeOK && !c.budget.Sampled(f.ID) || !c.budget.AllowRequest(logline.Received, f.ID, c.now()) {
		return
	}
	c.log.Info(logline.Received, zap.String("id", f.ID), zap.String("server", f.ServerID), zap.Int64("rank", f.Rank), zap.Int("code", int(r.Code)),
		zap.String("reason", r.Reason), zap.Duration("waited", waited), zap.Duration("worked", r.ServiceTime), zap.Duration("left", f.Deadline.Sub(c.now())),
		zap.Int("in_progress", r.LoadReport.InProgress), zap.Int("waiting", r.LoadReport.Queued))
}
