package admit

import (
	"math"
	"time"
)

// callerKey names who sends requests: a host with its service, at a rank.
type callerKey struct {
	rank          int64
	host, service string
}

// Caller names the services whose hosts send requests of a rank.
type Caller struct {
	Rank    int64
	Service string
}

// callerLoad is the work that a caller asks for: the number of slots that its requests would keep in use, refused ones included. It is a moving
// average over about loadTime, as it was at a time.
type callerLoad struct {
	load float64
	at   time.Time
}

// callerLoads holds the loads of all callers of a server.
type callerLoads struct {
	loads map[callerKey]callerLoad
	// excess holds the factors of the callers over their fair share, as they were at updatedAt.
	excess    map[callerKey]float64
	updatedAt time.Time
}

const (
	// fairInterval is the time between two calculations of who is over the fair share, and the removals of callers that have become idle.
	fairInterval = 100 * time.Millisecond
	// minCallerLoad is the load from which a caller counts.
	minCallerLoad = 0.01
	// fairExcess is the multiple of the other callers' load up to which a caller isn't held to its fair share. Hosts of a data centre in which
	// demand peaks ask for up to 1.6 times the mean, and get it.
	fairExcess = 3.0
	// maxExcess bounds the factor by which the queue counts for a caller over its fair share.
	maxExcess = 8.0
)

// record records the arrival of a request that takes a time.
func (c *callerLoads) record(k callerKey, mean time.Duration, now time.Time) {
	if c.loads == nil {
		c.loads, c.excess = map[callerKey]callerLoad{}, map[callerKey]float64{}
	}
	c.loads[k] = callerLoad{c.loads[k].now(now) + float64(mean)/float64(loadTime), now}
	if now.Sub(c.updatedAt) >= fairInterval {
		c.update(now)
	}
}

// update finds the callers over their fair share and removes idle ones. A caller is compared with the load that the work of the others of its rank
// comes with on average, so that hosts which send a request now and then don't make the share of the usual ones look large.
func (c *callerLoads) update(now time.Time) {
	c.updatedAt = now
	sums, squares := map[int64]float64{}, map[int64]float64{}
	for k, l := range c.loads {
		load := l.now(now)
		if load < minCallerLoad {
			delete(c.loads, k)
			continue
		}
		c.loads[k] = callerLoad{load, now}
		sums[k.rank] += load
		squares[k.rank] += load * load
	}
	clear(c.excess)
	for k, l := range c.loads {
		if others := sums[k.rank] - l.load; others > minCallerLoad {
			fair := (squares[k.rank] - l.load*l.load) / others
			if factor := l.load / (fairExcess * fair); factor > 1 {
				c.excess[k] = min(factor, maxExcess)
			}
		}
	}
}

// queueFactor returns the factor by which the queue counts for a caller: more than 1 if the caller is over its fair share.
func (c *callerLoads) queueFactor(k callerKey) float64 {
	return max(1, c.excess[k])
}

// now returns the load, which falls while no requests arrive.
func (l callerLoad) now(now time.Time) float64 {
	return l.load * math.Exp(-float64(now.Sub(l.at))/float64(loadTime))
}

// callerKey returns who sent a request.
func (w *SlotRequest) callerKey() callerKey {
	return callerKey{w.Rank, w.CallerHost, w.CallerService}
}

// QueuedByCaller returns the numbers of queued requests by rank and calling service.
func (s *Slots) QueuedByCaller() map[Caller]int {
	out := map[Caller]int{}
	for _, w := range s.queue {
		out[Caller{w.Rank, w.CallerService}]++
	}
	return out
}
