package admit

import (
	"math"
	"time"
)

// reservation is what requests of one rule need of the slots, so that less urgent ones which take long don't keep them from starting.
type reservation struct {
	rank int64
	// load is the number of slots that the rule's requests keep in use.
	load float64
	// slack is the longest queue time with which they meet their target.
	slack time.Duration
}

const (
	// loadTime is the time over which the load of a rule is averaged.
	loadTime = time.Second
	// minLoad is the load from which slots are reserved for a rule.
	minLoad = 0.05
	// longShare is the share of a rule's slack for which its requests may wait until a slot is free, while all slots hold less urgent requests.
	longShare = 0.25
	// minLongShare is the least share of the slots that requests which take long may use.
	minLongShare = 1.0 / 3
)

// addLoad records the arrival of a request that would take a time.
func (r *ruleStats) addLoad(mean time.Duration, now time.Time) {
	r.load = r.loadNow(now) + float64(mean)/float64(loadTime)
	r.loadAt = now
}

// loadNow returns the load, which falls while no requests arrive.
func (r *ruleStats) loadNow(now time.Time) float64 {
	return r.load * math.Exp(-float64(now.Sub(r.loadAt))/float64(loadTime))
}

// reservationsAt returns the reservations of the rules whose requests arrive now.
func (s *Slots) reservationsAt(now time.Time) []reservation {
	if s.reservedAt.Equal(now) {
		return s.reservations
	}
	s.reservations, s.reservedAt = s.reservations[:0], now
	for name, r := range s.rules {
		if load := r.loadNow(now); load > minLoad {
			s.reservations = append(s.reservations, reservation{rank: r.rank, load: load, slack: s.slack(name, r)})
		}
	}
	return s.reservations
}

// slotsFor returns how many slots the requests of a rule may use: all of them, unless they are long for more urgent ones. If they held all slots,
// a more urgent request would then wait for more than longShare of its slack until one is free. Requests that take long leave as many slots as the
// more urgent rules keep in use, but never get less than minLongShare of all, so that they don't starve.
func (s *Slots) slotsFor(rule string, now time.Time) int {
	r := s.rules[rule]
	if r == nil {
		return s.size
	}
	interval := s.MeanServiceTime(rule) / time.Duration(s.size)
	reserved, long := 0.0, false
	for _, o := range s.reservationsAt(now) {
		if o.rank >= r.rank {
			continue
		}
		reserved += o.load
		long = long || interval > scale(o.slack, longShare)
	}
	if !long {
		return s.size
	}
	return max(int(math.Ceil(float64(s.size)*minLongShare)), s.size-int(math.Ceil(reserved)))
}

// mayStart reports whether the reservations leave a slot for a request of a rule.
func (s *Slots) mayStart(rule string, now time.Time) bool {
	limit := s.slotsFor(rule, now)
	if limit == s.size {
		return true
	}
	long := 0
	for w := range s.inProgress {
		if s.slotsFor(w.Rule, now) < s.size {
			long++
		}
	}
	return long < limit
}
