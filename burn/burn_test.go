package burn

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCounts(t *testing.T) {
	is := is.New(t)
	c := NewCounter()
	now := time.Unix(1_000_000*60, 0)
	for i := range 100 {
		c.Add("entry", "urgent", 990, i%10 != 0, now)
	}
	for range 100 {
		c.Add("entry", "urgent", 990, true, now.Add(-30*time.Minute))
	}
	counts := c.Counts(now)
	is.Equal(len(counts), 2)
	is.Equal(counts[0], Count{"entry", "urgent", ShortWindow.Microseconds(), 90, 10, 990})
	is.Equal(counts[1], Count{"entry", "urgent", LongWindow.Microseconds(), 190, 10, 990})
	near := func(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }
	is.True(near(counts[0].Rate(), 10))
	is.True(near(counts[1].BudgetLeft(), -4))
	is.Equal(c.Counts(now.Add(2 * time.Hour))[1].Good, int64(0))
	sum := Sum(counts, counts)
	is.Equal(sum[0].Bad, int64(20))
}
