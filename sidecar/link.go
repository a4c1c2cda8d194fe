package sidecar

import (
	"math"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/transfer"
)

// hostLink is the network link of this host, one gate for each direction; nil if its capacity is unknown.
type hostLink struct {
	incoming, outgoing *transfer.Gate
	// states are those at the last sweep, by direction.
	states [2]linkState
}

// linkState is what the log lines tell of one direction of the link.
type linkState struct {
	full    bool
	refused int64
}

// linkMetric is a metric of each direction of the link.
type linkMetric struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(transfer.Counts) float64
}

var (
	// linkDirections are the directions of the link in metrics and log lines.
	linkDirections = [2]string{"in", "out"}
	linkMetrics    = []linkMetric{
		newLinkMetric("link_queued_bytes", "Bytes of accepted large responses that still have to pass the link, by direction.", prometheus.GaugeValue, func(n transfer.Counts) float64 { return float64(n.QueuedBytes) }),
		newLinkMetric("link_transfers", "Large responses that are accepted for the link and haven't ended, by direction.", prometheus.GaugeValue, func(n transfer.Counts) float64 { return float64(n.Transfers) }),
		newLinkMetric("link_refused_total", "Downloads refused because the link had no room within their target, by direction.", prometheus.CounterValue, func(n transfer.Counts) float64 { return float64(n.Refused) }),
		newLinkMetric("link_broken_off_total", "Downloads broken off because the link could not carry the rest before their deadline, by direction.", prometheus.CounterValue, func(n transfer.Counts) float64 { return float64(n.BrokenOff) }),
	}
)

// setLink sets the capacity of the link from the settings. It fails if it can't be parsed.
func (c *Sidecar) setLink(s *schema.SidecarSettings) error {
	megabits, err := strconv.ParseFloat(s.GetSidecar().GetLinkMbps(), 64)
	if err != nil {
		return eris.Wrap(err, "parsing the capacity of the link")
	}
	if !(megabits >= 0) || math.IsInf(megabits, 0) {
		return eris.Errorf("the capacity of the link is %g", megabits)
	}
	c.link = hostLink{incoming: transfer.NewGate(megabits, c.now), outgoing: transfer.NewGate(megabits, c.now)}
	c.metrics.registry.MustRegister(&c.link)
	return nil
}

// sweepLink logs when the link begins to refuse downloads, and when it has refused none for the time between two sweeps.
func (c *Sidecar) sweepLink() {
	for i, g := range []*transfer.Gate{c.link.incoming, c.link.outgoing} {
		n, s := g.Counts(), &c.link.states[i]
		refused := n.Refused - s.refused
		if full := refused > 0; full != s.full {
			s.full = full
			direction := zap.String("direction", linkDirections[i])
			if full {
				c.log.Warn("link full", direction, zap.Int64("refused", refused), zap.Int64("queued_bytes", n.QueuedBytes), zap.Int("transfers", n.Transfers))
			} else {
				c.log.Info("link has room", direction, zap.Int64("refused_total", n.Refused))
			}
		}
		s.refused = n.Refused
	}
}

// Describe sends the descriptions of the link's metrics.
func (l *hostLink) Describe(to chan<- *prometheus.Desc) {
	for _, m := range linkMetrics {
		to <- m.desc
	}
}

// Collect sends the link's metrics.
func (l *hostLink) Collect(to chan<- prometheus.Metric) {
	for i, g := range []*transfer.Gate{l.incoming, l.outgoing} {
		n := g.Counts()
		for _, m := range linkMetrics {
			to <- prometheus.MustNewConstMetric(m.desc, m.kind, m.value(n), linkDirections[i])
		}
	}
}

func newLinkMetric(name, help string, kind prometheus.ValueType, value func(transfer.Counts) float64) linkMetric {
	return linkMetric{prometheus.NewDesc(namespace+"_"+name, help, []string{"direction"}, nil), kind, value}
}
