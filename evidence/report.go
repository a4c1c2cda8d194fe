package evidence

import (
	"encoding/hex"
	"fmt"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Verdict is the result of an evidence report.
type Verdict string

// Report is the result of an evidence query, as operators read it.
type Report struct {
	Verdict Verdict `json:"verdict"`
	Subject string  `json:"subject"`
	// HostsQueried is the number of hosts queried: the hosts of all host lists, or of all servers of a mesh.
	HostsQueried int     `json:"asked"`
	Groups       []Group `json:"groups"`
	// Exceptions are the hosts that rule out VerdictGone.
	Exceptions []Exception      `json:"exceptions"`
	HostLists  []HostListStatus `json:"host_lists"`
	TookMS     float64          `json:"took_ms"`
}

// Group is a set of hosts whose findings are equal except for their times.
type Group struct {
	Hosts    int   `json:"hosts"`
	Revision int64 `json:"revision"`
	// Digest is the first four bytes of the documents' digest, in hexadecimal.
	Digest    string `json:"digest"`
	Enforced  bool   `json:"enforced"`
	Confirmed bool   `json:"confirmed"`
	// SinceAppliedMS is the longest time on any host since the version was applied, in milliseconds.
	SinceAppliedMS int64 `json:"held_ms"`
	// LastRequestMS is the time since the last matching request on any host, in milliseconds; -1 if there was none.
	LastRequestMS int64 `json:"last_call_ms"`
}

// Exception is a host that rules out VerdictGone, with the result code and reason.
type Exception struct {
	Host   string        `json:"host"`
	Code   jaypitch.Code `json:"code"`
	Name   string        `json:"name"`
	Reason string        `json:"reason"`
}

// HostListStatus is the revision and age of a host list that the report is based on. In a mesh it describes the store.
type HostListStatus struct {
	DataCentre string `json:"data_centre"`
	Revision   int64  `json:"revision"`
	// SinceAppliedMS is the time since the list was applied, in milliseconds; zero in a mesh.
	SinceAppliedMS int64 `json:"held_ms"`
	// SourceAgeMS is the time since the store last confirmed any host list, in milliseconds; -1 if unknown.
	SourceAgeMS int64 `json:"source_age_ms"`
}

// Verdicts of an evidence report.
const (
	// VerdictGone means that every host has applied and confirmed the newest version found, and neither enforces the subject
	// nor has matching requests in progress.
	VerdictGone Verdict = "gone"
	// VerdictPresent means that at least one host enforces the subject.
	VerdictPresent Verdict = "present"
	// VerdictNotProven means that no host is known to enforce the subject, and at least one host rules out VerdictGone or no host was queried.
	VerdictNotProven Verdict = "not proven"
)

// ExitStatus returns the exit status of the evidence command: 0 for gone, 1 for present, 2 for not proven.
func (v Verdict) ExitStatus() int {
	switch v {
	case VerdictGone:
		return 0
	case VerdictPresent:
		return 1
	}
	return 2
}

// NewReport makes a report of an aggregated response. A host that did not respond never counts as proof of absence.
func NewReport(subject *schema.Subject, targets []*schema.Target, r *schema.EvidenceResponse) *Report {
	p := &Report{Subject: Describe(subject), HostsQueried: len(targets), Verdict: VerdictGone, Groups: []Group{}, Exceptions: []Exception{}}
	newest := subject.GetRevision()
	for _, g := range r.GetGroups() {
		newest = max(newest, g.GetRevision())
	}
	for _, e := range r.GetExceptions() {
		p.addException(e.GetHost(), jaypitch.Code(e.GetCode()), e.GetReason())
	}
	for _, u := range r.GetUnlisted() {
		p.addException(u.GetHost(), jaypitch.CodeUnlisted, "the host contacted a node and is missing from the host list")
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

// Describe returns a phrase that names the subject of an evidence query.
func Describe(s *schema.Subject) string {
	switch {
	case s.GetBackend() != "":
		return fmt.Sprintf("backend server of host %s", s.GetBackend())
	case s.GetDataCentre() != "":
		return fmt.Sprintf("data centre %s", s.GetDataCentre())
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

// checkGroup adds an exception for each host of a group that enforces the subject or holds a revision older than the newest.
func (p *Report) checkGroup(g *schema.EvidenceGroup, targets []*schema.Target, newest int64) {
	for _, host := range Members(g, targets) {
		switch {
		case g.GetEnforced():
			p.addException(host, jaypitch.CodeHostServing, "the host enforces the subject")
		case g.GetRevision() < newest:
			p.addException(host, jaypitch.CodeHostOlder, fmt.Sprintf("the host holds revision %d; the newest is %d", g.GetRevision(), newest))
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

func (p *Report) addException(host string, c jaypitch.Code, reason string) {
	p.Exceptions = append(p.Exceptions, Exception{Host: host, Code: c, Name: c.Info().Name, Reason: reason})
}
