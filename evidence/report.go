package evidence

import (
	"encoding/hex"
	"fmt"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Verdict is the result of an evidence report.
type Verdict string

// Report is what an operator reads.
type Report struct {
	Verdict Verdict `json:"verdict"`
	Subject string  `json:"subject"`
	// Asked is the number of hosts asked, listed and seen.
	Asked  int     `json:"asked"`
	Groups []Group `json:"groups"`
	// Exceptions are the hosts that stand against the verdict gone.
	Exceptions []Exception      `json:"exceptions"`
	HostLists  []HostListStatus `json:"host_lists"`
	TookMS     float64          `json:"took_ms"`
}

// Group is a set of hosts with the same answer.
type Group struct {
	Hosts          int    `json:"hosts"`
	Revision       int64  `json:"revision"`
	Digest         string `json:"digest"`
	Enforced       bool   `json:"enforced"`
	Confirmed      bool   `json:"confirmed"`
	SinceAppliedMS int64  `json:"held_ms"`
	// LastRequestMS is the time since the last call that matched; -1 if none did.
	LastRequestMS int64 `json:"last_call_ms"`
}

// Exception is one host with its result code.
type Exception struct {
	Host   string        `json:"host"`
	Code   jaypitch.Code `json:"code"`
	Name   string        `json:"name"`
	Reason string        `json:"reason"`
}

// HostListStatus says which host list the report was judged by, and how old it was.
type HostListStatus struct {
	DataCentre     string `json:"data_centre"`
	Revision       int64  `json:"revision"`
	SinceAppliedMS int64  `json:"held_ms"`
	// SourceAgeMS is the time since the source last confirmed any list; -1 if unknown.
	SourceAgeMS int64 `json:"source_age_ms"`
}

// The verdicts.
const (
	// VerdictGone means that every host answered, holds the newest version seen and doesn't enforce the subject.
	VerdictGone Verdict = "gone"
	// VerdictPresent means that some host enforces the subject.
	VerdictPresent Verdict = "present"
	// VerdictNotProven means that no host enforces the subject and some host didn't prove it.
	VerdictNotProven Verdict = "not proven"
)

// ExitStatus returns the status of the command that reports the verdict.
func (v Verdict) ExitStatus() int {
	switch v {
	case VerdictGone:
		return 0
	case VerdictPresent:
		return 1
	}
	return 2
}

// NewReport makes a report of a gathered answer. A host that didn't answer is never counted as proof.
func NewReport(subject *schema.Subject, targets []*schema.Target, r *schema.EvidenceResponse) *Report {
	p := &Report{Subject: Describe(subject), Asked: len(targets), Verdict: VerdictGone, Groups: []Group{}, Exceptions: []Exception{}}
	newest := subject.GetRevision()
	for _, g := range r.GetGroups() {
		newest = max(newest, g.GetRevision())
	}
	for _, e := range r.GetExceptions() {
		p.except(e.GetHost(), jaypitch.Code(e.GetCode()), e.GetReason())
	}
	for _, u := range r.GetUnlisted() {
		p.except(u.GetHost(), jaypitch.CodeUnlisted, "the host was seen and is absent from the host list")
	}
	present := false
	for _, g := range r.GetGroups() {
		p.addGroup(g)
		present = present || g.GetEnforced()
		p.checkGroup(g, targets, newest)
	}
	switch {
	case present:
		p.Verdict = VerdictPresent
	case len(p.Exceptions) > 0 || len(targets) == 0:
		p.Verdict = VerdictNotProven
	}
	return p
}

// Describe says in words what evidence is asked for.
func Describe(s *schema.Subject) string {
	switch {
	case s.GetBackend() != "":
		return fmt.Sprintf("backend server of host %s", s.GetBackend())
	case s.GetRoute() != "" && s.GetCustomer() != "":
		return fmt.Sprintf("route %s of team %s for customer %s", s.GetRoute(), s.GetTeam(), s.GetCustomer())
	case s.GetRoute() != "":
		return fmt.Sprintf("route %s of team %s", s.GetRoute(), s.GetTeam())
	case s.GetCustomer() != "" && s.GetTeam() != "":
		return fmt.Sprintf("customer %s of team %s", s.GetCustomer(), s.GetTeam())
	case s.GetCustomer() != "":
		return fmt.Sprintf("customer %s of any team", s.GetCustomer())
	case s.GetRevision() != 0:
		return fmt.Sprintf("versions of team %s older than revision %d", s.GetTeam(), s.GetRevision())
	}
	return fmt.Sprintf("team %s", s.GetTeam())
}

// checkGroup names the hosts of a group that enforce the subject or hold an older version.
func (p *Report) checkGroup(g *schema.EvidenceGroup, targets []*schema.Target, newest int64) {
	for _, host := range Members(g, targets) {
		switch {
		case g.GetEnforced():
			p.except(host, jaypitch.CodeHostServing, "the host enforces it")
		case g.GetRevision() < newest:
			p.except(host, jaypitch.CodeHostOlder, fmt.Sprintf("the host holds revision %d; revision %d was seen", g.GetRevision(), newest))
		}
	}
}

func (p *Report) addGroup(g *schema.EvidenceGroup) {
	n := Group{Hosts: HostCount(g), Revision: g.GetRevision(), Digest: hex.EncodeToString(g.GetDigest()[:min(4, len(g.GetDigest()))]),
		Enforced: g.GetEnforced(), Confirmed: g.GetConfirmed(), SinceAppliedMS: g.GetHeldUs() / 1000, LastRequestMS: -1}
	if g.GetLastCallUs() >= 0 {
		n.LastRequestMS = g.GetLastCallUs() / 1000
	}
	p.Groups = append(p.Groups, n)
}

func (p *Report) except(host string, c jaypitch.Code, reason string) {
	p.Exceptions = append(p.Exceptions, Exception{Host: host, Code: c, Name: c.Info().Name, Reason: reason})
}
