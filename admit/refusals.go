package admit

import (
	"time"

	"github.com/jaypitch/jaypitch"
)

// ServerRefusals tracks the requests that a backend server answers without executing them. A server that refuses everything has free
// slots and answers within milliseconds, so that it looks like the best of its service. Once a rule's latest requests were all refused, only
// a trial request is sent from time to time. The zero value is ready for use. It isn't safe for concurrent use.
type ServerRefusals struct {
	rules map[string]*ruleRefusals
}

// ruleRefusals describes the latest requests of one rule.
type ruleRefusals struct {
	// consecutive is the number of refused requests since the last one that the server executed.
	consecutive int
	// refusingAt is when the first of them is refusingTime ago.
	refusingAt time.Time
	// trialAt is when the next trial request may be sent, and trialInterval the time from then to the one after it.
	trialAt       time.Time
	trialInterval time.Duration
}

const (
	// refusingAfter and refusingTime are the number of consecutive refusals, and the time since the first of them, from which a server counts as
	// refusing. A server that refuses a third of its requests, since it is a little overloaded, has so many in a row once in 243 requests.
	refusingAfter = 5
	refusingTime  = 500 * time.Millisecond
	// minTrialInterval and maxTrialInterval bound the time between two trial requests at a refusing server. It doubles with each.
	minTrialInterval = 100 * time.Millisecond
	maxTrialInterval = time.Second
)

// Record records the result of a request: whether the server refused it or executed it. It reports whether the server has stopped refusing.
func (s *ServerRefusals) Record(rule string, refused bool, now time.Time) bool {
	r := s.rules[rule]
	if !refused {
		delete(s.rules, rule)
		return r != nil && r.refusing(now)
	}
	if r == nil {
		if s.rules == nil {
			s.rules = map[string]*ruleRefusals{}
		}
		r = &ruleRefusals{refusingAt: now.Add(refusingTime), trialInterval: minTrialInterval}
		r.trialAt = r.refusingAt.Add(minTrialInterval)
		s.rules[rule] = r
	}
	r.consecutive++
	return false
}

// Refusing reports whether the server refuses a rule's requests.
func (s *ServerRefusals) Refusing(rule string, now time.Time) bool {
	r := s.rules[rule]
	return r != nil && r.refusing(now)
}

// Admit refuses a request if the server refuses those of its rule, unless it is time for a trial request. MayTry is false if another server
// refused the request: then it is refused also if the server refused only the latest request of its rule.
func (s *ServerRefusals) Admit(rule string, mayTry bool, now time.Time) *jaypitch.Error {
	r := s.rules[rule]
	if r == nil || mayTry && !r.refusing(now) {
		return nil
	}
	if !mayTry || now.Before(r.trialAt) {
		return jaypitch.Errorf(jaypitch.CodeFailing, "the backend server refused the latest %d requests of rule %q without executing them", r.consecutive, rule)
	}
	r.trialInterval = min(2*r.trialInterval, maxTrialInterval)
	r.trialAt = now.Add(r.trialInterval)
	return nil
}

// Reset discards what was recorded, for a new server at the same address.
func (s *ServerRefusals) Reset() {
	clear(s.rules)
}

func (r *ruleRefusals) refusing(now time.Time) bool {
	return r.consecutive >= refusingAfter && !now.Before(r.refusingAt)
}
