package burn

import "github.com/jaypitch/jaypitch/schema"

// Report holds the counts of all hosts that responded.
type Report struct {
	Counts []RatedCount `json:"counts"`
	// HostsQueried is the number of hosts queried; Unresponsive holds the names of those that did not respond.
	HostsQueried int      `json:"asked"`
	Unresponsive []string `json:"silent"`
}

// RatedCount is a count with its burn rate and remaining budget.
type RatedCount struct {
	Count
	Rate       float64 `json:"rate"`
	BudgetLeft float64 `json:"budget_left"`
}

// NewReport makes a report of counts with their burn rates and remaining budgets.
func NewReport(counts []Count, hostsQueried int, unresponsive []string) *Report {
	r := &Report{HostsQueried: hostsQueried, Unresponsive: unresponsive, Counts: []RatedCount{}}
	for _, c := range counts {
		r.Counts = append(r.Counts, RatedCount{Count: c, Rate: c.Rate(), BudgetLeft: c.BudgetLeft()})
	}
	return r
}

// FromProto converts the protobuf messages of another host to counts.
func FromProto(messages []*schema.BurnCount) []Count {
	out := make([]Count, len(messages))
	for i, m := range messages {
		out[i] = Count{Service: m.GetService(), Rank: m.GetRank(), WindowUS: m.GetWindowUs(), Good: m.GetGood(), Bad: m.GetBad(),
			ObjectivePermille: m.GetObjectivePermille()}
	}
	return out
}

// ToProto converts counts to protobuf messages for another host.
func ToProto(counts []Count) []*schema.BurnCount {
	out := make([]*schema.BurnCount, len(counts))
	for i, c := range counts {
		out[i] = &schema.BurnCount{Service: c.Service, Rank: c.Rank, WindowUs: c.WindowUS, Good: c.Good, Bad: c.Bad,
			ObjectivePermille: c.ObjectivePermille}
	}
	return out
}
