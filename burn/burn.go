// Package burn counts good and bad calls by service and rank over a short and a long window, and
// works out how fast the budget of bad calls is being spent. It has no clock and no socket.
package burn

import (
	"cmp"
	"slices"
	"time"
)

// Count is the calls of one service and rank within one window.
type Count struct {
	Service           string `json:"service"`
	Rank              string `json:"rank"`
	WindowUS          int64  `json:"window_us"`
	Good              int64  `json:"good"`
	Bad               int64  `json:"bad"`
	ObjectivePermille int64  `json:"objective_permille"`
}

// Counter counts calls in minutes. It isn't safe for concurrent use.
type Counter struct {
	series map[key]*series
}

type key struct {
	service string
	rank    string
}

type series struct {
	objective int64
	minutes   [longMinutes]minute
}

type minute struct {
	number int64
	good   int64
	bad    int64
}

const (
	// ShortWindow shows a sudden burn.
	ShortWindow = 5 * time.Minute
	// LongWindow shows a lasting one.
	LongWindow = time.Hour

	longMinutes = int64(LongWindow / time.Minute)
)

// NewCounter makes an empty counter.
func NewCounter() *Counter {
	return &Counter{series: map[key]*series{}}
}

// Add counts one call.
func (c *Counter) Add(service, rank string, objectivePermille int64, good bool, now time.Time) {
	k := key{service, rank}
	s := c.series[k]
	if s == nil {
		s = &series{}
		c.series[k] = s
	}
	s.objective = objectivePermille
	number := now.Unix() / 60
	m := &s.minutes[number%longMinutes]
	if m.number != number {
		*m = minute{number: number}
	}
	if good {
		m.good++
	} else {
		m.bad++
	}
}

// Counts returns the counts of both windows, ordered by service, rank and window.
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

// Sum adds counts of the same service, rank and window.
func Sum(counts ...[]Count) []Count {
	type place struct {
		key
		window int64
	}
	sums := map[place]Count{}
	for _, list := range counts {
		for _, c := range list {
			p := place{key{c.Service, c.Rank}, c.WindowUS}
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

// Rate is how many times faster than allowed the budget of bad calls is spent; 1 spends it exactly.
func (c Count) Rate() float64 {
	total := c.Good + c.Bad
	allowed := float64(1000-c.ObjectivePermille) / 1000
	if total == 0 || allowed <= 0 {
		return 0
	}
	return float64(c.Bad) / float64(total) / allowed
}

// BudgetLeft is the share of the window's allowed bad calls that is left; negative if overspent.
func (c Count) BudgetLeft() float64 {
	return 1 - c.Rate()
}

func (s *series) count(k key, window time.Duration, now time.Time) Count {
	c := Count{Service: k.service, Rank: k.rank, WindowUS: window.Microseconds(), ObjectivePermille: s.objective}
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
