package spread

import "time"

// Suspects remembers hosts that failed to answer, each until a deadline. It isn't safe for concurrent use.
type Suspects struct {
	hosts map[string]suspect
}

type suspect struct {
	until    time.Time
	failures int
}

const (
	minSuspicion = time.Second
	maxSuspicion = 30 * time.Second
)

// NewSuspects makes an empty set.
func NewSuspects() *Suspects {
	return &Suspects{hosts: map[string]suspect{}}
}

// RecordFailure records that a host didn't answer; each further failure doubles the suspicion up to a bound.
func (s *Suspects) RecordFailure(host string, now time.Time) {
	e := s.hosts[host]
	e.failures++
	span := minSuspicion << min(e.failures-1, 5)
	e.until = now.Add(min(span, maxSuspicion))
	s.hosts[host] = e
}

// RecordResponse records that a host answered.
func (s *Suspects) RecordResponse(host string) {
	delete(s.hosts, host)
}

// IsSuspect says whether a host is suspected now.
func (s *Suspects) IsSuspect(host string, now time.Time) bool {
	e, ok := s.hosts[host]
	return ok && now.Before(e.until)
}

// Hosts returns the suspected hosts.
func (s *Suspects) Hosts(now time.Time) []string {
	var names []string
	for h, e := range s.hosts {
		if now.Before(e.until) {
			names = append(names, h)
		}
	}
	return names
}
