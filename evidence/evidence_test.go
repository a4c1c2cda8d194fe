package evidence

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

func targets(n int) []*schema.Target {
	var out []*schema.Target
	for i := range n {
		out = append(out, &schema.Target{Host: fmt.Sprintf("h%d", i)})
	}
	return out
}

func finding(i int, revision int64) Finding {
	return Finding{Host: fmt.Sprintf("h%d", i), Revision: revision, Digest: []byte("digest"), Confirmed: true, LastRequestUS: -1}
}

// TestVerdict checks the verdict on five hosts of which one differs, without a relay and through one.
func TestVerdict(t *testing.T) {
	cases := []struct {
		name    string
		last    func(f *Aggregator)
		verdict Verdict
		status  int
		code    jaypitch.Code
	}{
		{"all hosts hold the newest version", func(f *Aggregator) { f.Add(finding(4, 2)) }, VerdictGone, 0, 0},
		{"one host enforces the subject", func(f *Aggregator) { n := finding(4, 1); n.Enforced = true; f.Add(n) }, VerdictPresent, 1, jaypitch.CodeHostServing},
		{"one host is unresponsive", func(f *Aggregator) { f.AddUnresponsive("h4", "no response") }, VerdictNotProven, 2, jaypitch.CodeHostSilent},
		{"one host has no finding", func(*Aggregator) {}, VerdictNotProven, 2, jaypitch.CodeHostSilent},
		{"one host holds an older version", func(f *Aggregator) { f.Add(finding(4, 1)) }, VerdictNotProven, 2, jaypitch.CodeHostOlder},
		{"one host is not confirmed", func(f *Aggregator) { n := finding(4, 2); n.Confirmed = false; f.Add(n) }, VerdictNotProven, 2, jaypitch.CodeHostUnsure},
		{"one host has requests in progress", func(f *Aggregator) { n := finding(4, 2); n.InProgress = 3; f.Add(n) }, VerdictNotProven, 2, jaypitch.CodeHostServing},
		{"an unlisted host contacted a node", func(f *Aggregator) { f.Add(finding(4, 2)); f.AddUnlisted(&schema.Target{Host: "x"}) }, VerdictNotProven, 2, jaypitch.CodeUnlisted},
		{"a listed host contacted a node", func(f *Aggregator) { f.Add(finding(4, 2)); f.AddUnlisted(&schema.Target{Host: "h1"}) }, VerdictGone, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			all := targets(5)
			f := NewAggregator(all)
			for i := range 4 {
				f.Add(finding(i, 2))
			}
			c.last(f)
			// A relay that covers all hosts must not change the result.
			relayed := NewAggregator(all)
			relayed.Merge(all, f.Response())
			for _, r := range []*schema.EvidenceResponse{f.Response(), relayed.Response()} {
				report := NewReport(&schema.Subject{Team: "t", Route: "r"}, all, r)
				is.Equal(report.Verdict, c.verdict)
				is.Equal(report.Verdict.ExitStatus(), c.status)
				if c.code == 0 {
					is.Equal(len(report.Exceptions), 0)
				} else {
					is.Equal(report.Exceptions[0].Code, c.code)
				}
			}
		})
	}
	t.Run("no hosts", func(t *testing.T) {
		is.New(t).Equal(NewReport(&schema.Subject{}, nil, &schema.EvidenceResponse{}).Verdict, VerdictNotProven)
	})
}

// TestResponseSize checks that equal findings of 22,000 hosts share one group, with one bit per host.
func TestResponseSize(t *testing.T) {
	is := is.New(t)
	all := targets(22000)
	f := NewAggregator(all)
	for i := range all {
		f.Add(finding(i, 2))
	}
	r := f.Response()
	is.Equal(len(r.GetGroups()), 1)
	is.Equal(HostCount(r.GetGroups()[0]), 22000)
	is.Equal(len(r.GetGroups()[0].GetHosts()), 2750)
}

func TestTracker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(5, 0)
	tr := NewTracker()
	a, b := RequestKey{"t", "r", "hill"}, RequestKey{"t", "r", "meadow"}
	tr.Begin(a)
	tr.Begin(b)
	tr.Begin(b)
	count := func(s *schema.Subject) int64 { n, _ := tr.Count(s); return n }
	is.Equal(count(&schema.Subject{Team: "t"}), int64(3))
	is.Equal(count(&schema.Subject{Customer: "hill"}), int64(1))
	is.Equal(count(&schema.Subject{Team: "t", Route: "other"}), int64(0))
	tr.End(a, true, now)
	n, last := tr.Count(&schema.Subject{Customer: "hill"})
	is.Equal(n, int64(0))
	is.Equal(last, now)
	tr.End(b, false, now)
	tr.End(b, false, now)
	is.Equal(len(tr.requests), 1) // a key without a matched request is removed
}
