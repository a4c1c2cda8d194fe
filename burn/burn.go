// Package burn counts good and bad requests by service and rank over a short and a long window, and computes the rate
// at which a service spends its error budget. It has no clock and no socket.
package burn

import (
	"cmp"
	"slices"
	"time"
)

// Count is the number of good and bad requests of one service and rank within one window.
type Count struct {
	Service           string `json:"service"`
	Rank              string `json:"rank"`
	WindowUS          int64  `json:"window_us"`
	Good              int64  `json:"good"`
	Bad               int64  `json:"bad"`
	ObjectivePermille int64  `json:"objective_permille"`
}

// Counter counts requests per minute. It isn't safe for concurrent use.
type Counter struct {
	series map[seriesKey]*series
}

type seriesKey struct {
	service string
	rank    string
}

type series struct {
	objectivePermille int64
	// minutes is a ring buffer: the count of a minute is at its number modulo longWindowMinutes.
	minutes [longWindowMinutes]minuteCount
}

// minuteCount holds the counts of one minute. Number is the Unix time in minutes.
type minuteCount struct {
	number int64
	good   int64
	bad    int64
}

const (
	// ShortWindow detects a sudden burn.
	ShortWindow = 5 * time.Minute
	// LongWindow detects a sustained burn.
	LongWindow = time.Hour

	longWindowMinutes = int64(LongWindow / time.Minute)
)

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{series: map[seriesKey]*series{}}
}

// Add counts one request and sets the objective of its service and rank: the wanted share of good requests, in thousandths.
func (c *Counter) Add(service, rank string, objectivePermille int64, good bool, now time.Time) {
	k := seriesKey{service, rank}
	s := c.series[k]
	if s == nil {
		s = &series{}
		c.series[k] = s
	}
	s.objectivePermille = objectivePermille
	number := now.Unix() / 60
	m := &s.minutes[number%longWindowMinutes]
	if m.number != number {
		*m = minuteCount{number: number}
	}
	if good {
		m.good++
	} else {
		m.bad++
	}
}

// Counts returns the counts of both windows, ordered by service, rank and window. A window includes the current minute.
func (c *Counter) Counts(now time.Time) []Count {
	var counts []Count
	for k, s := range c.series {
		for _, w := range []time.Duration{ShortWindow, LongWindow} {
			counts = append(counts, s.count(k, w, now))
		}
	}
	sortCounts(counts)
	return counts
}

// Sum adds up counts of the same service, rank and window.
func Sum(counts ...[]Count) []Count {
	type sumKey struct {
		seriesKey
		window int64
	}
	sums := map[sumKey]Count{}
	for _, list := range counts {
		for _, c := range list {
			p := sumKey{seriesKey{c.Service, c.Rank}, c.WindowUS}
			total := sums[p]
			c.Good += total.Good
			c.Bad += total.Bad
			sums[p] = c
		}
	}
	var out []Count
	for _, c := range sums {
		out = append(out, c)
	}
	sortCounts(out)
	return out
}

// Rate returns the burn rate: the share of bad requests divided by the share that the objective allows. A rate of 1 spends
// exactly the error budget of the window. The rate is 0 without requests, or if the objective allows no bad ones.
func (c Count) Rate() float64 {
	total := c.Good + c.Bad
	allowed := float64(1000-c.ObjectivePermille) / 1000
	if total == 0 || allowed <= 0 {
		return 0
	}
	return float64(c.Bad) / float64(total) / allowed
}

// BudgetLeft returns the remaining share of the window's error budget; negative if it is overspent.
func (c Count) BudgetLeft() float64 {
	return 1 - c.Rate()
}

func (s *series) count(k seriesKey, window time.Duration, now time.Time) Count {
	c := Count{Service: k.service, Rank: k.rank, WindowUS: window.Microseconds(), ObjectivePermille: s.objectivePermille}
	newest := now.Unix() / 60
	oldest := newest - int64(window/time.Minute) + 1
	for _, m := range s.minutes {
		if m.number >= oldest && m.number <= newest {
			c.Good += m.good
			c.Bad += m.bad
		}
	}
	return c
}

func sortCounts(counts []Count) {
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.WindowUS, b.WindowUS))
	})
}
