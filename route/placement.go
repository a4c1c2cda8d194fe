package route

import (
	"math"
	"time"

	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// candidate is a server that may get a request, and its cost in microseconds.
type candidate struct {
	server *schema.MeshServer
	cost   float64
}

const (
	// loadReportTime is the time in which the weight of a load report falls to 1/e. The rest of the weight is the mean load of the service's
	// servers. At small rates a sender meets a server less than once in a second, and an old report of a free server attracted all senders.
	loadReportTime = 500 * time.Millisecond
	// spillUtilisation is the number of requests per slot from which other data centres are considered. At 2 the peaks of demand waited here
	// while other data centres were idle.
	spillUtilisation = 1.0
	// spillCost is the multiple of the least cost in another data centre from which the least cost here makes others considered.
	spillCost = 2.0
	// comparableCost is the multiple of the least cost up to which servers of a data centre get requests at random. The speeds of servers differ
	// by less; what costs more is failing, cold or limited.
	comparableCost = 2.5
)

// choose returns the server for a request and the next best one. It compares two random ones of the sidecar's own data centre (power of two
// choices), so that senders with the same load reports don't choose the same server. Two of other data centres are compared as well if fewer than
// two are here, or if these are full or slow. Load pattern: an overloaded service whose demand moves between data centres; the others are as
// full as the own one then, and bytes sent there have a price.
func (c *MeshPicker) choose(s *mesh.Service, eligible []*schema.MeshServer, q PickRequest, now time.Time) (best, next candidate) {
	mean := c.meanLoad(s, now)
	here, elsewhere := c.here[:0], c.elsewhere[:0]
	for _, v := range eligible {
		o := candidate{v, c.cost(v, mean, q, now)}
		switch {
		case math.IsInf(o.cost, 1):
		case v.GetDataCentre() == c.dataCentre:
			here = append(here, o)
		default:
			elsewhere = append(elsewhere, o)
		}
	}
	c.here, c.elsewhere = here, elsewhere
	drawn := append(make([]candidate, 0, 4), c.drawTwo(here)...)
	if len(drawn) < 2 || !c.hasRoom(drawn, mean, now) || spillCost*least(elsewhere) < least(drawn) {
		drawn = append(drawn, c.drawTwo(elsewhere)...)
	}
	best, next = twoBest(drawn)
	if next.server == nil {
		// A single server was drawn, since the others are worse; one of them is the alternative.
		best, next = twoBest(append(append(drawn, here...), elsewhere...))
	}
	return best, next
}

// hasRoom reports whether one of some servers isn't full.
func (c *MeshPicker) hasRoom(servers []candidate, mean float64, now time.Time) bool {
	for _, o := range servers {
		if c.server(o.server, now).load(mean, now) < spillUtilisation {
			return true
		}
	}
	return false
}

// twoBest returns the two servers with the least cost.
func twoBest(servers []candidate) (best, next candidate) {
	for _, o := range servers {
		switch {
		case best.server == nil || o.cost < best.cost:
			best, next = o, best
		case o.server != best.server && (next.server == nil || o.cost < next.cost):
			next = o
		}
	}
	return best, next
}

// least returns the least cost of some servers.
func least(servers []candidate) float64 {
	cost := math.Inf(1)
	for _, o := range servers {
		cost = min(cost, o.cost)
	}
	return cost
}

// drawTwo returns two random servers of those whose cost is at most comparableCost times the least. It reorders the servers.
func (c *MeshPicker) drawTwo(servers []candidate) []candidate {
	limit, similar := comparableCost*least(servers), 0
	for i, o := range servers {
		if o.cost <= limit {
			servers[similar], servers[i] = o, servers[similar]
			similar++
		}
	}
	servers = servers[:similar]
	for n := range min(2, len(servers)) {
		i := n + int(c.random()*float64(len(servers)-n))
		servers[n], servers[i] = servers[i], servers[n]
	}
	return servers[:min(2, len(servers))]
}

// meanLoad returns the mean number of requests per slot of a service's servers, by their load reports.
func (c *MeshPicker) meanLoad(s *mesh.Service, now time.Time) float64 {
	sum, weights := 0.0, 0.0
	for _, v := range s.Servers {
		e := c.server(v, now)
		w := e.reportWeight(now)
		sum, weights = sum+w*float64(e.loadReport.InProgress+e.loadReport.Queued)/float64(max(1, v.GetSlots())), weights+w
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// reportWeight returns the weight of the last load report: 1 if it is new, 0 if there is none that is recent.
func (e *serverState) reportWeight(now time.Time) float64 {
	if !now.Before(e.loadUntil) {
		return 0
	}
	return math.Exp(-float64(meshLoadMaxAge-e.loadUntil.Sub(now)) / float64(loadReportTime))
}

// load estimates the number of requests per slot at a server from its last load report, the mean of the service's servers and the attempts of
// this sidecar. A server that has never reported counts as free, so that it is tried.
func (e *serverState) load(mean float64, now time.Time) float64 {
	slots := float64(max(1, e.server.GetSlots()))
	own := float64(e.inFlight) / slots
	if e.loadUntil.IsZero() {
		return own
	}
	w := e.reportWeight(now)
	return max(own, w*e.requests(now)/slots+(1-w)*mean)
}
