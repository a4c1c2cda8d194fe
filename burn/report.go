package burn

import "github.com/jaypitch/jaypitch/schema"

// Report is the counts of all hosts that answered.
type Report struct {
	Counts []RatedCount `json:"counts"`
	// Asked is the number of hosts asked, Silent names those that gave no answer.
	Asked  int      `json:"asked"`
	Silent []string `json:"silent"`
}

// RatedCount is a count with what follows from it.
type RatedCount struct {
	Count
	Rate       float64 `json:"rate"`
	BudgetLeft float64 `json:"budget_left"`
}

// NewReport works out what follows from counts.
func NewReport(counts []Count, asked int, silent []string) *Report {
	r := &Report{Asked: asked, Silent: silent, Counts: []RatedCount{}}
	for _, c := range counts {
		r.Counts = append(r.Counts, RatedCount{Count: c, Rate: c.Rate(), BudgetLeft: c.BudgetLeft()})
	}
	return r
}

// FromProto reads the counts of another host.
func FromProto(messages []*schema.BurnCount) []Count {
	out := make([]Count, len(messages))
	for i, m := range messages {
		out[i] = Count{Service: m.GetService(), Rank: m.GetRank(), WindowUS: m.GetWindowUs(), Good: m.GetGood(), Bad: m.GetBad(),
			ObjectivePermille: m.GetObjectivePermille()}
	}
	return out
}

// ToProto writes counts for another host.
func ToProto(counts []Count) []*schema.BurnCount {
	out := make([]*schema.BurnCount, len(counts))
	for i, c := range counts {
		out[i] = &schema.BurnCount{Service: c.Service, Rank: c.Rank, WindowUs: c.WindowUS, Good: c.Good, Bad: c.Bad,
			ObjectivePermille: c.ObjectivePermille}
	}
	return out
}
