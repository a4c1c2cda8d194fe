package sidecar

import (
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch/connlimit"
	"github.com/jaypitch/jaypitch/memory"
	"github.com/jaypitch/jaypitch/schema"
)

// memoryState is the memory budget of the process, its listeners, and their metrics.
type memoryState struct {
	budget *memory.Budget
	files  int
	log    *zap.Logger
	// limited are the listeners in the order of listenerNames; nil before they are open.
	limited atomic.Pointer[[]*connlimit.Listener]
	// refusals is their number at the last check, and short whether memory was short then.
	refusals int64
	short    bool
}

const (
	// peersListener is the index of the listener for other sidecars in listenerNames.
	peersListener = 1
	// reservedFiles is the number of descriptors that are kept for files, the store and the server's connections.
	reservedFiles = 200
	// minConnections is the least number of connections of a listener, and maxProbeConnections the most of those for probes and metrics, which
	// the platform, Prometheus and operators use.
	minConnections      = 8
	maxProbeConnections = 32
	// maxControlBytes bounds the body of a control message from another sidecar. A message has a few numbers and names.
	maxControlBytes = 64 << 10
	// maxQueries bounds the queries of operators at the same time.
	maxQueries = 2
	// connectionShare is the divisor of the budget that bounds the connections of all listeners, so that they leave room for requests.
	connectionShare = 2
	// idlePercent is the share of the descriptors for idle connections to other sidecars.
	idlePercent = 15
)

// listenerNames are the names of the listeners in metrics. filesPercent are the shares of the descriptors that their connections may use;
// connections to other sidecars use the rest. memoryPercent are the shares of the memory for connections. That of peers is the largest: each of 295
// hosts may keep one or two idle connections here.
var (
	listenerNames = [...]string{"callers", "peers", "ready", "metrics"}
	filesPercent  = [...]int{35, 25, 2, 2}
	memoryPercent = [...]int64{35, 60, 2, 2}

	heldDesc        = prometheus.NewDesc(namespace+"_memory_held_bytes", "Bytes of the memory budget that are held, by holder.", []string{"holder"}, nil)
	refusalsDesc    = prometheus.NewDesc(namespace+"_memory_refusals_total", "Requests and connections refused for lack of memory, by holder.", []string{"holder"}, nil)
	budgetDesc      = prometheus.NewDesc(namespace+"_memory_budget_bytes", "Memory budget of all holders, from memory_mb.", nil, nil)
	connectionsDesc = prometheus.NewDesc(namespace+"_connections", "Open connections by listener.", []string{"listener"}, nil)
	closedDesc      = prometheus.NewDesc(namespace+"_connections_closed_total", "Idle and slow connections closed to make room for others, by listener.", []string{"listener"}, nil)
	refusedDesc     = prometheus.NewDesc(namespace+"_connections_refused_total", "Connections refused for their number, their heads or lack of memory, by listener.", []string{"listener"}, nil)
)

func newMemoryState(s *schema.SidecarSection, log *zap.Logger) *memoryState {
	return &memoryState{budget: memory.NewBudget(memory.LimitsOf(s.GetMemoryMb()).Budget, memory.WithCollector(runtime.GC)), files: int(s.GetMaxFiles()), log: log}
}

// listeners returns the listeners of the process with their bounds.
func (m *memoryState) listeners(l *listeners, headBytes func() int64, now func() time.Time) []net.Listener {
	limited := make([]*connlimit.Listener, len(listenerNames))
	out := make([]net.Listener, len(listenerNames))
	for i, inner := range []net.Listener{l.callers, l.peers, l.ready, l.metrics} {
		inMemory := connlimit.MostFor(m.budget.Limit() / connectionShare * memoryPercent[i] / 100)
		most := max(min((m.files-reservedFiles)*filesPercent[i]/100, inMemory), minConnections)
		if inner == l.ready || inner == l.metrics {
			most = min(most, maxProbeConnections)
		}
		limited[i] = connlimit.New(inner, m.budget, most, now, connlimit.WithHeadBytes(headBytes))
		out[i] = limited[i]
	}
	m.limited.Store(&limited)
	return out
}

// maxIdle returns the most idle connections to other sidecars.
func (m *memoryState) maxIdle() int {
	return max((m.files-reservedFiles)*idlePercent/100, minConnections)
}

// observe logs that memory has become short, or is no longer short.
func (m *memoryState) observe() {
	refusals := int64(0)
	for _, h := range memory.Holders() {
		refusals += m.budget.Refusals(h)
	}
	short := refusals > m.refusals
	if short != m.short {
		if short {
			m.log.Warn("memory short", m.heldFields()...)
		} else {
			m.log.Info("memory no longer short", m.heldFields()...)
		}
	}
	m.refusals, m.short = refusals, short
}

func (m *memoryState) heldFields() []zap.Field {
	held := map[string]int64{}
	for _, h := range memory.Holders() {
		held[h.String()] = m.budget.Held(h)
	}
	return []zap.Field{zap.Int64("budget", m.budget.Limit()), zap.Any("held", held)}
}

// Describe implements prometheus.Collector.
func (m *memoryState) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{heldDesc, refusalsDesc, budgetDesc, connectionsDesc, closedDesc, refusedDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (m *memoryState) Collect(out chan<- prometheus.Metric) {
	gauge, counter := prometheus.GaugeValue, prometheus.CounterValue
	out <- prometheus.MustNewConstMetric(budgetDesc, gauge, float64(m.budget.Limit()))
	for _, h := range memory.Holders() {
		out <- prometheus.MustNewConstMetric(heldDesc, gauge, float64(m.budget.Held(h)), h.String())
		out <- prometheus.MustNewConstMetric(refusalsDesc, counter, float64(m.budget.Refusals(h)), h.String())
	}
	limited := m.limited.Load()
	if limited == nil {
		return
	}
	for i, l := range *limited {
		open, closed, refused := l.Counts()
		out <- prometheus.MustNewConstMetric(connectionsDesc, gauge, float64(open), listenerNames[i])
		out <- prometheus.MustNewConstMetric(closedDesc, counter, float64(closed), listenerNames[i])
		out <- prometheus.MustNewConstMetric(refusedDesc, counter, float64(refused), listenerNames[i])
	}
}

// configuredHeadBytes returns the limit of the configuration for a request's head; zero if there is none.
func (c *Sidecar) configuredHeadBytes() int64 {
	return c.replica.Table().Limits.GetHeaderBytes()
}
