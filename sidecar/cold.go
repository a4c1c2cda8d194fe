package sidecar

import (
	"strconv"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch/inbound"
	"github.com/jaypitch/jaypitch/schema"
)

// withCold returns the option with which the receiver paces a cold server.
func (c *Sidecar) withCold() inbound.Option {
	return inbound.WithCold(inbound.ColdOptions{Decode: c.platform.DecodeCold, Bounds: c.coldBounds, Service: c.settings.Load().GetSidecar().GetService(), Record: c.recordCold})
}

// coldBounds returns the factor and the number by which the requests of one second may exceed a server's cold rate. Package settings checks their range.
func (c *Sidecar) coldBounds() (overage, slack float64) {
	overage, slack, err := parseColdBounds(c.settings.Load().GetCold())
	if err != nil {
		return 1, 0 // no excess
	}
	return overage, slack
}

func parseColdBounds(s *schema.ColdSection) (overage, slack float64, err error) {
	if overage, err = strconv.ParseFloat(s.GetOverage(), 64); err != nil {
		return 0, 0, eris.Wrap(err, "parsing the cold overage")
	}
	if slack, err = strconv.ParseFloat(s.GetSlack(), 64); err != nil {
		return 0, 0, eris.Wrap(err, "parsing the cold slack")
	}
	return overage, slack, nil
}

// recordCold records that the server on this host begins or ceases to count as cold.
func (c *Sidecar) recordCold(serverID string, cold bool) {
	if cold {
		c.metrics.coldStarts.Inc()
	}
	if c.logBudget.Allow("cold", c.now()) {
		c.log.Info("server cold", zap.String("server", serverID), zap.Bool("cold", cold))
	}
}

// coldSeconds returns the time for which the server on this host still counts as cold; zero if it is warm.
func (c *Sidecar) coldSeconds() float64 {
	return max(0, c.receiver.Cold().Sub(c.now()).Seconds())
}
