package admit

// callerStats tells the rules of calls, which servers send while they execute a request, from those of clients. Both arrive through the
// sidecar of a host, and carry the service of its server. Clients are at the hosts of all services, so a rule whose requests come from the hosts
// of a single service is one of calls that this service makes. If clients are at the hosts of one service only, their rules count as calls as
// well, and all rules are treated alike.
type callerStats struct {
	// service is the calling service that is most frequent, and share its share of the rule's requests, a moving average.
	service string
	share   float64
	// requests is the number of requests so far, up to callerRequests.
	requests int
}

const (
	// callerRequests is the number of requests over which the share of the most frequent calling service is averaged.
	callerRequests = 50
	// minCallerRequests is the number of requests from which a rule may count as one of calls. With clients at the hosts of two services, so many
	// from one in a row are as likely as 1 in 10^9.
	minCallerRequests = 30
	// callsShare is the share of a rule's requests from one service above which the rule is one of calls.
	callsShare = 0.95
)

// record records the calling service of a request; it is empty if unknown.
func (c *callerStats) record(service string) {
	c.requests = min(c.requests+1, callerRequests)
	weight := 1 / float64(c.requests)
	if service != "" && service == c.service {
		c.share += weight * (1 - c.share)
		return
	}
	if c.share -= weight * c.share; c.share < 0.5 {
		c.service, c.share = service, weight
	}
}

// calls reports whether a rule is one of calls that the servers of another service make.
func (s *Slots) calls(rule string) bool {
	r := s.rules[rule]
	return r != nil && r.callers.requests >= minCallerRequests && r.callers.share > callsShare
}
