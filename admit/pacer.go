package admit

import "time"

// Pacer spaces the requests to a backend server that names a rate limit (generic cell rate algorithm). It isn't safe for concurrent use.
// The zero Pacer has no limit.
type Pacer struct {
	limited bool
	// interval is the time between two requests at the limit.
	interval time.Duration
	// tolerance is how far nextAt may be in the future when a request starts, so that a short burst isn't delayed.
	tolerance time.Duration
	// nextAt is when the next request would start if all requests came evenly at the limit.
	nextAt time.Time
}

const (
	// paceBurst is the time whose requests may start at once after a time without requests.
	paceBurst = 500 * time.Millisecond
	// maxPaceInterval bounds the time between two requests, since only the response to one tells that the limit has ended or changed.
	maxPaceInterval = 2 * time.Second
)

// SetLimit sets the limit to a number of requests per second of at least zero. It changes nothing if that is the limit already.
func (p *Pacer) SetLimit(perSecond float64, now time.Time) {
	interval := PaceInterval(perSecond)
	if p.limited && interval == p.interval {
		return
	}
	p.limited, p.interval, p.tolerance = true, interval, max(0, paceBurst-interval)
	if latest := now.Add(interval); p.nextAt.After(latest) {
		p.nextAt = latest
	}
}

// Clear removes the limit.
func (p *Pacer) Clear() {
	*p = Pacer{}
}

// Limited reports whether a limit is set.
func (p *Pacer) Limited() bool {
	return p.limited
}

// Interval returns the time between two requests at the limit; zero without a limit.
func (p *Pacer) Interval() time.Duration {
	return p.interval
}

// Wait returns the time until the limit allows that many more requests to have started, the last one included; zero if it allows them now.
func (p *Pacer) Wait(requests int, now time.Time) time.Duration {
	if !p.limited {
		return 0
	}
	at := p.earliest(now).Add(time.Duration(requests-1)*p.interval - p.tolerance)
	return max(0, at.Sub(now))
}

// Start records the start of a request.
func (p *Pacer) Start(now time.Time) {
	if p.limited {
		p.nextAt = p.earliest(now).Add(p.interval)
	}
}

// earliest returns nextAt, or now if that has passed.
func (p *Pacer) earliest(now time.Time) time.Time {
	if p.nextAt.Before(now) {
		return now
	}
	return p.nextAt
}

// PaceInterval returns the time between two requests at a limit in requests per second, at most maxPaceInterval.
func PaceInterval(perSecond float64) time.Duration {
	if perSecond*maxPaceInterval.Seconds() <= 1 {
		return maxPaceInterval
	}
	return max(1, time.Duration(float64(time.Second)/perSecond))
}
