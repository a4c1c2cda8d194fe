package sidecar

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
)

// queuedCollector reports the queued requests by rank and calling service.
type queuedCollector struct {
	desc   *prometheus.Desc
	queued func() map[admit.Caller]int
}

// newReceivedCounter returns the counter of requests for the backend server on this host.
func newReceivedCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "received_total",
		Help: "Requests for the backend server on this host, by result code, rank and calling service."}, []string{"code", "rank", "service"})
}

// recordCaller counts a request for the backend server on this host by who sent it.
func (c *Sidecar) recordCaller(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, rank string) {
	c.metrics.received.WithLabelValues(r.Code.Info().Name, rank, c.serviceLabel(f.CallerService)).Inc()
}

// serviceLabel returns a calling service for a label: empty if the configuration doesn't have it, so that senders can't add labels without end.
func (c *Sidecar) serviceLabel(service string) string {
	if c.replica.Table().Services[service] == nil {
		return ""
	}
	return service
}

// registerCallers registers the metrics of queued requests.
func (c *Sidecar) registerCallers(m *metrics) {
	m.registry.MustRegister(&queuedCollector{queued: func() map[admit.Caller]int { return c.receiver.Queued() },
		desc: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "queued"), "Requests queued for a slot, by rank and calling service.", []string{"rank", "service"}, nil)})
}

// Describe implements prometheus.Collector.
func (q *queuedCollector) Describe(ch chan<- *prometheus.Desc) { ch <- q.desc }

// Collect implements prometheus.Collector.
func (q *queuedCollector) Collect(ch chan<- prometheus.Metric) {
	for k, n := range q.queued() {
		ch <- prometheus.MustNewConstMetric(q.desc, prometheus.GaugeValue, float64(n), strconv.FormatInt(k.Rank, 10), k.Service)
	}
}
