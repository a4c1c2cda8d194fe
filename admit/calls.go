package admit

// callerStats tells the rules of calls, which servers send while they execute a request, from those of clients. Both arrive through the
// sidecar of a host, and carry the service of its server. Clients are at the hosts of all services, so a rule whose requests come from the hosts
// of a single service is one of calls that this service makes. If clients are at the hosts of one service only, their rules count as calls as
// well, and all rules are treated alike.
type callerStats struct {
	// service is the calling service that is most frequent, and share its share of the rule's requests, a moving average.
	service string
	share   float64
}

const (
	// callerWeight is the weight of the latest request in the share of the most frequent calling service.
	callerWeight = 0.02
	// callsShare is the share of a rule's requests from one service above which the rule is one of calls. It takes about 150 requests to get there.
	callsShare = 0.95
)

// record records the calling service of a request; it is empty if unknown.
func (c *callerStats) record(service string) {
	if service != "" && service == c.service {
		c.share += callerWeight * (1 - c.share)
		return
	}
	if c.share -= callerWeight; c.share < 0 {
		c.service, c.share = service, 0
	}
}

// calls reports whether a rule is one of calls that the servers of another service make.
func (s *Slots) calls(rule string) bool {
	r := s.rules[rule]
	return r != nil && r.callers.share > callsShare
}
