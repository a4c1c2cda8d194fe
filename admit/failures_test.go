package admit

import (
	"testing"

	"github.com/matryer/is"
)

// TestFailureShareStaysHigh guards against a server that stays out of use for failures of long ago, since it gets no requests that succeed.
func TestFailureShareStaysHigh(t *testing.T) {
	is := is.New(t)
	var s FailureShare
	for range 10 {
		s.Record(true, slotsStart)
	}
	is.True(s.At(slotsStart) > 0.6)
	is.True(s.At(slotsStart.Add(2*failureTime)) < 0.1)
	s.Record(false, slotsStart)
	is.True(s.At(slotsStart) < 0.6)
}
