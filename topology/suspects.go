package topology

import "time"

// Suspects holds the hosts that are suspected to be unresponsive, each until a time. It isn't safe for concurrent use.
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

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{hosts: map[string]suspect{}}
}

// RecordFailure records that a host didn't respond. It is suspected for minSuspicion, doubled with each consecutive failure up to maxSuspicion.
func (s *Suspects) RecordFailure(host string, now time.Time) {
	e := s.hosts[host]
	e.failures++
	duration := minSuspicion << min(e.failures-1, 5)
	e.until = now.Add(min(duration, maxSuspicion))
	s.hosts[host] = e
}

// RecordResponse records that a host responded, and ends the suspicion.
func (s *Suspects) RecordResponse(host string) {
	delete(s.hosts, host)
}

// IsSuspect reports whether a host is suspected now.
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
