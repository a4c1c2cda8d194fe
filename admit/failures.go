package admit

import (
	"math"
	"time"
)

// FailureShare is the share of the latest requests of a rule that failed at a server. It falls while no requests are recorded: a server that is
// avoided for its failures gets few that would show their end. The zero value is ready for use. It isn't safe for concurrent use.
type FailureShare struct {
	share float64
	at    time.Time
}

const (
	// failureWeight is the weight of the newest request in the share of failed requests.
	failureWeight = 0.1
	// failureTime is the time in which the share falls to 1/e without requests.
	failureTime = 5 * time.Second
)

// Record records the result of a request.
func (s *FailureShare) Record(failed bool, now time.Time) {
	latest := 0.0
	if failed {
		latest = 1
	}
	s.share = s.At(now)
	s.share += failureWeight * (latest - s.share)
	s.at = now
}

// At returns the share, from 0 to 1.
func (s FailureShare) At(now time.Time) float64 {
	return s.share * math.Exp(-float64(now.Sub(s.at))/float64(failureTime))
}
