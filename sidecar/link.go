package sidecar

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/transfer"
)

// hostLink is the network link of this host, one gate for each direction; nil if its capacity is unknown.
type hostLink struct {
	incoming, outgoing *transfer.Gate
}

// setLink sets the capacity of the link from the settings. It fails if it can't be parsed.
func (c *Sidecar) setLink(s *schema.SidecarSettings) error {
	megabits, err := strconv.ParseFloat(s.GetSidecar().GetLinkMbps(), 64)
	if err != nil {
		return eris.Wrap(err, "parsing the capacity of the link")
	}
	c.link = hostLink{incoming: transfer.NewGate(megabits, c.now), outgoing: transfer.NewGate(megabits, c.now)}
	c.metrics.registerLink(c.link)
	return nil
}

// registerLink registers the metrics of the link.
func (m *metrics) registerLink(l hostLink) {
	for direction, g := range map[string]*transfer.Gate{"in": l.incoming, "out": l.outgoing} {
		labels := prometheus.Labels{"direction": direction}
		gauge := func(name, help string, f func(transfer.Counts) float64) {
			m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}, func() float64 { return f(g.Counts()) }))
		}
		gauge("link_queued_bytes", "Bytes of accepted large responses that still have to pass the link, by direction.", func(n transfer.Counts) float64 { return float64(n.QueuedBytes) })
		gauge("link_transfers", "Large responses that are accepted for the link and haven't ended, by direction.", func(n transfer.Counts) float64 { return float64(n.Transfers) })
		gauge("link_refused", "Downloads refused because the link had no room within their target, by direction.", func(n transfer.Counts) float64 { return float64(n.Refused) })
		gauge("link_broken_off", "Downloads broken off because the link could not carry the rest before their deadline, by direction.", func(n transfer.Counts) float64 { return float64(n.BrokenOff) })
	}
}
