package sidecar

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jaypitch/jaypitch/admit"
)

// TestQueuedByCaller guards against queued requests that an operator can't tell apart by who sent them.
func TestQueuedByCaller(t *testing.T) {
	is := is.New(t)
	q := &queuedCollector{desc: prometheus.NewDesc("q", "help", []string{"rank", "service"}, nil), queued: func() map[admit.Caller]int {
		return map[admit.Caller]int{{Rank: 1, Service: "x"}: 3, {Rank: 2, Service: "x"}: 1}
	}}
	registry := prometheus.NewRegistry()
	registry.MustRegister(q)
	families, err := registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), 1)
	is.Equal(len(families[0].GetMetric()), 2)
}
