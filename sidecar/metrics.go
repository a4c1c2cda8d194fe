package sidecar

import (
	"math"
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

// metrics holds the counters and histograms of a sidecar.
type metrics struct {
	registry           *prometheus.Registry
	requests           *prometheus.CounterVec
	attempts           *prometheus.CounterVec
	overhead           *prometheus.HistogramVec
	queueTime          *prometheus.HistogramVec
	serviceTime        *prometheus.HistogramVec
	undecodableEntries prometheus.Counter
	serverConnections  prometheus.Counter
	serverStrays       prometheus.Counter
	serverRequests     *prometheus.CounterVec
	brokenStreams      prometheus.Counter
	received           *prometheus.CounterVec
	restores           prometheus.Counter
	coldStarts         prometheus.Counter
}

const namespace = "jaypitch_sidecar"

// histogramBuckets are the buckets of the histograms, in seconds.
var histogramBuckets = []float64{0.0002, 0.00035, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5}

func newMetrics(c *Sidecar, dropped func() int64) *metrics {
	m := &metrics{registry: prometheus.NewRegistry(),
		requests:           prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total", Help: "Requests of clients by result code and rank."}, []string{"code", "rank"}),
		attempts:           prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "passes_total", Help: "Attempts to forward a request, by result code."}, []string{"code"}),
		overhead:           prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "added_seconds", Help: "Time of executed requests outside the backend server (overhead), by rank.", Buckets: histogramBuckets}, []string{"rank"}),
		queueTime:          prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "waited_seconds", Help: "Time in the queue for a slot (queue time), by rank.", Buckets: histogramBuckets}, []string{"rank"}),
		serviceTime:        prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "server_seconds", Help: "Time at the backend server (service time), by rank.", Buckets: histogramBuckets}, []string{"rank"}),
		undecodableEntries: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "entries_refused_total", Help: "Entries of the store that can't be decoded."}),
		serverConnections:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "server_connections_total", Help: "New connections to the backend server."}),
		serverStrays:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "server_strays_total", Help: "Requests to the backend server whose response came after a response to another request, which was skipped."}),
		coldStarts:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "server_cold_total", Help: "Times that the backend server began to count as cold, so that requests to it are paced."}),
		restores:           prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "store_restores_total", Help: "Times that the store came back from a copy, as the rise of its era shows."}),
		serverRequests:     prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "server_requests_total", Help: "Requests sent to the backend server, by whether it named a rate limit then."}, []string{"limited"}),
	}
	m.brokenStreams = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "streams_broken_off_total", Help: "Streamed responses that were broken off before their end, by the client, by a server, or for a client that read nothing."})
	m.received = newReceivedCounter()
	m.registry.MustRegister(m.received, m.brokenStreams, m.coldStarts, m.restores, m.serverRequests, m.requests, m.attempts, m.overhead, m.queueTime, m.serviceTime, m.undecodableEntries, m.serverConnections, m.serverStrays)
	m.registry.MustRegister(newEvacuationCollector(c))
	gauge := func(name, help string, f func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f))
	}
	gauge("version", "Version of the configuration in force.", func() float64 { return float64(c.replica.Table().Version) })
	gauge("revision", "Revision of the store up to which the sidecar has all changes.", func() float64 { return float64(c.replica.Revision()) })
	gauge("source_age_seconds", "Time since the revision was confirmed by the store, directly or through other sidecars.", func() float64 { return c.confirmation.age().Seconds() })
	gauge("store_calls", "Requests to the store.", func() float64 { return float64(c.watcher.requestCount()) })
	gauge("store_reads", "Reads of the full content of the store.", func() float64 { return float64(c.watcher.fullReadCount()) })
	gauge("store_era", "Era of the store that the revision belongs to; -1 if unknown.", func() float64 {
		if era := c.replica.Position().Era; era.Known {
			return float64(era.Number)
		}
		return -1
	})
	gauge("slots_running", "Requests at the backend server.", func() float64 { n, _, _ := c.receiver.Counts(); return float64(n) })
	gauge("slots_waiting", "Requests queued for a slot.", func() float64 { _, n, _ := c.receiver.Counts(); return float64(n) })
	c.registerCallers(m)
	gauge("server_limit", "Requests per second that the backend server takes from all hosts together; +Inf if it names no limit.", func() float64 { return rateLimit(c.receiver.Notice()) })
	gauge("server_leaving", "1 if the backend server says that it is leaving, else 0.", func() float64 {
		if c.receiver.Notice().Leaving {
			return 1
		}
		return 0
	})
	gauge("server_cold_seconds", "Time for which the backend server still counts as cold; 0 if it is warm or its service has no limit for cold servers.", c.coldSeconds)
	counter := func(name, help string, f func() float64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, f))
	}
	counter("ahead_started_total", "Requests that were started before the one ahead of them on their client's connection was answered.", func() float64 { n, _ := c.handler.StartedAhead(); return float64(n) })
	counter("ahead_dropped_total", "Requests among these that were never answered, since the connection was closed before their turn.", func() float64 { _, n := c.handler.StartedAhead(); return float64(n) })
	gauge("addresses_contested", "Addresses that the entries of several servers name.", func() float64 { n, _ := c.replica.Table().Contested(); return float64(n) })
	gauge("addresses_answered", "Contested addresses at which a server has shown by its answer that it is there; the other entries are out of use.", func() float64 { _, n := c.replica.Table().Contested(); return float64(n) })
	gauge("lines_dropped", "Log lines dropped because the output was too slow or failed.", func() float64 { return float64(dropped()) })
	return m
}

// Registry returns the registry of the sidecar's metrics.
func (c *Sidecar) Registry() *prometheus.Registry {
	return c.metrics.registry
}

// handler serves the metrics uncompressed: a compressor takes 1 MB for each response that is being written.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}

func (m *metrics) recordConnection(string) {
	m.serverConnections.Inc()
}

// recordStray records a request to the backend server before whose response one to another request came.
func (m *metrics) recordStray(string) {
	m.serverStrays.Inc()
}

// recordUndecodable records an entry of the store that can't be decoded.
func (c *Sidecar) recordUndecodable(e *jaypitch.Error) {
	c.metrics.undecodableEntries.Inc()
	if c.logBudget.Allow("entry", c.now()) {
		c.log.Warn("entry refused", zap.Int("code", int(e.Code)), zap.String("reason", e.Reason))
	}
}

// recordNotice records that the backend server states something else about itself than before.
func (c *Sidecar) recordNotice(serverID string, n jaypitch.ServerNotice) {
	c.log.Info("server notice", zap.String("server", serverID), zap.Bool("limited", n.Limited), zap.Float64("limit", n.RateLimit), zap.Bool("leaving", n.Leaving))
}

// recordRefusedNotice records a notice of the backend server that can't be decoded.
func (c *Sidecar) recordRefusedNotice(serverID string, e *jaypitch.Error) {
	if c.logBudget.Allow("notice", c.now()) {
		c.log.Warn("server notice refused", zap.String("server", serverID), zap.Int("code", int(e.Code)), zap.String("reason", e.Reason))
	}
}

// rateLimit returns the rate limit of a notice in requests per second, infinite if it has none.
func rateLimit(n jaypitch.ServerNotice) float64 {
	if !n.Limited {
		return math.Inf(1)
	}
	return n.RateLimit
}

// recordRequest records a client's request that ended.
func (c *Sidecar) recordRequest(r outbound.Record) {
	c.recordBurn(r)
	rank := strconv.FormatInt(r.Rank, 10)
	c.metrics.requests.WithLabelValues(r.Response.Code.Info().Name, rank).Inc()
	if r.Response.Execution == jaypitch.Executed {
		c.metrics.overhead.WithLabelValues(rank).Observe(r.Overhead.Seconds())
	}
	if r.BrokenOff {
		c.metrics.brokenStreams.Inc()
	}
	kind := logline.Answered
	if r.Response.Code != jaypitch.CodeOK {
		kind = logline.Failed
	} else if r.Status < http.StatusInternalServerError && !c.logBudget.Sampled(r.ID) {
		return
	}
	if !c.logBudget.AllowRequest(kind, r.ID, c.now()) {
		return
	}
	c.log.Info(kind, zap.String("id", r.ID), zap.String("rule", r.Rule), zap.Int64("rank", r.Rank), zap.String("service", r.Service),
		zap.Int64("version", r.Version), zap.Int("status", r.Status), zap.Int("code", int(r.Response.Code)), zap.String("ran", string(r.Response.Execution)),
		zap.String("reason", r.Response.Reason), zap.Duration("took", r.Took), zap.Duration("added", r.Overhead), zap.Duration("come_back", r.Response.RetryAfter))
}

// recordAttempt records one attempt. attempt is its number within the request.
func (c *Sidecar) recordAttempt(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, attempt int) {
	c.metrics.attempts.WithLabelValues(r.Code.Info().Name).Inc()
	if v := c.replica.Table().Servers[f.ServerID]; v != nil && r.LoadReport.Slots > 0 && v.GetAddress() != c.settings.Load().GetSidecar().GetBackend() {
		c.peerPoller.recordPosition(c.peerAddress(v.GetAddress()), r.LoadReport.Position(), reportedAge(r))
	}
	if r.Code == jaypitch.CodeOK && !c.logBudget.Sampled(f.ID) || !c.logBudget.AllowRequest(logline.Passed, f.ID, c.now()) {
		return
	}
	c.log.Info(logline.Passed, zap.String("id", f.ID), zap.Int("pass", attempt), zap.String("server", f.ServerID), zap.Int("code", int(r.Code)), zap.String("ran", string(r.Execution)),
		zap.Bool("arrived", r.Arrived), zap.String("reason", r.Reason), zap.Duration("left", f.Deadline.Sub(c.now())), zap.Int("in_progress", r.LoadReport.InProgress),
		zap.Int("waiting", r.LoadReport.Queued), zap.Int("slots", r.LoadReport.Slots), zap.Duration("mean", r.LoadReport.Mean), zap.Float64("failing", r.LoadReport.Failing), zap.Bool("refusing", r.LoadReport.Refusing),
		zap.Bool("limited", r.LoadReport.Limited), zap.Float64("limit", r.LoadReport.RateLimit), zap.Duration("limit_wait", r.LoadReport.LimitWait), zap.Duration("link_wait", r.LoadReport.LinkWait))
}

// recordReceived records one request for the backend server on this host.
func (c *Sidecar) recordReceived(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, queueTime time.Duration) {
	if r.Arrived {
		c.metrics.serverRequests.WithLabelValues(strconv.FormatBool(c.receiver.Notice().Limited)).Inc()
	}
	rank := strconv.FormatInt(f.Rank, 10)
	c.metrics.queueTime.WithLabelValues(rank).Observe(queueTime.Seconds())
	c.recordCaller(f, r, rank)
	if r.ServiceTime > 0 {
		c.metrics.serviceTime.WithLabelValues(rank).Observe(r.ServiceTime.Seconds())
	}
	if r.Code == jaypitch.CodeOK && !c.logBudget.Sampled(f.ID) || !c.logBudget.AllowRequest(logline.Received, f.ID, c.now()) {
		return
	}
	c.log.Info(logline.Received, zap.String("id", f.ID), zap.String("server", f.ServerID), zap.Int64("rank", f.Rank), zap.String("calling_service", f.CallerService), zap.String("calling_host", f.CallerHost), zap.Int("code", int(r.Code)),
		zap.String("reason", r.Reason), zap.Duration("waited", queueTime), zap.Duration("worked", r.ServiceTime), zap.Duration("left", f.Deadline.Sub(c.now())),
		zap.Int("in_progress", r.LoadReport.InProgress), zap.Int("waiting", r.LoadReport.Queued))
}
