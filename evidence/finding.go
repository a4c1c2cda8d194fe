// Package evidence aggregates the findings of hosts about a team, a route, a customer, a backend server or a version,
// and decides whether it is out of use on every host. It has no clock and no socket.
package evidence

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Finding is one host's report on whether a subject is in use there.
type Finding struct {
	Host string
	// Revision is the store's revision of the team's document, or the version of the mesh configuration, that the host has applied.
	// It is zero if the subject names no team.
	Revision int64
	// Digest is the digest of the team's document, or of all teams' documents if the subject names no team. It is empty in a mesh.
	Digest []byte
	// Enforced is true if the host's routing table uses the subject.
	Enforced bool
	// Confirmed is true if the host's state is confirmed by the store or peers.
	Confirmed bool
	// SinceAppliedUS is the time since the host applied the revision, in microseconds.
	SinceAppliedUS int64
	// LastRequestUS is the time since the last matching request ended, in microseconds; -1 if there was none.
	LastRequestUS int64
	// InProgress is the number of matching requests in progress, or zero if Enforced is true.
	InProgress int64
}

// Aggregator groups equal findings over a fixed list of targets. It isn't safe for concurrent use.
type Aggregator struct {
	// index maps the host of each target to its position in the list, which is its bit in the hosts of a group.
	index map[string]int
	// size is the number of targets.
	size int
	// groups maps the result of groupKey to the group.
	groups     map[string]*schema.EvidenceGroup
	exceptions []*schema.Exception
	// unlisted maps a host to its target.
	unlisted map[string]*schema.Target
}

// NewAggregator returns an empty aggregator for the targets of a request.
func NewAggregator(targets []*schema.Target) *Aggregator {
	f := &Aggregator{index: map[string]int{}, size: len(targets), groups: map[string]*schema.EvidenceGroup{}, unlisted: map[string]*schema.Target{}}
	for i, t := range targets {
		f.index[t.GetHost()] = i
	}
	return f
}

// Add adds the finding of one host.
func (f *Aggregator) Add(n Finding) {
	g := f.group(&schema.EvidenceGroup{Revision: n.Revision, Digest: n.Digest, Enforced: n.Enforced, Confirmed: n.Confirmed,
		HeldUs: n.SinceAppliedUS, LastCallUs: n.LastRequestUS})
	f.markHost(g, n.Host)
	if !n.Confirmed {
		f.addException(n.Host, jaypitch.CodeHostUnsure, "the host has not confirmed its settings", 0)
	}
	if n.InProgress > 0 {
		f.addException(n.Host, jaypitch.CodeHostServing, fmt.Sprintf("%d matching requests are in progress", n.InProgress), n.InProgress)
	}
}

// AddUnresponsive records a host that did not respond.
func (f *Aggregator) AddUnresponsive(host, reason string) {
	f.addException(host, jaypitch.CodeHostSilent, reason, 0)
}

// AddUnlisted records a host that contacted a node. Response omits it if it is a target.
func (f *Aggregator) AddUnlisted(t *schema.Target) {
	f.unlisted[t.GetHost()] = t
}

// Merge adds the response of a relay to a request with the given targets.
func (f *Aggregator) Merge(targets []*schema.Target, r *schema.EvidenceResponse) {
	for _, g := range r.GetGroups() {
		merged := f.group(g)
		for i, t := range targets {
			if isSet(g.GetHosts(), i) {
				f.markHost(merged, t.GetHost())
			}
		}
	}
	f.exceptions = append(f.exceptions, r.GetExceptions()...)
	for _, u := range r.GetUnlisted() {
		f.AddUnlisted(u)
	}
}

// Response returns the aggregated findings in a fixed order. It reports targets without a finding as unresponsive.
func (f *Aggregator) Response() *schema.EvidenceResponse {
	r := &schema.EvidenceResponse{}
	for _, g := range f.groups {
		r.Groups = append(r.Groups, g)
	}
	slices.SortFunc(r.Groups, func(a, b *schema.EvidenceGroup) int {
		return cmp.Or(cmp.Compare(b.GetRevision(), a.GetRevision()), cmp.Compare(groupKey(a), groupKey(b)))
	})
	f.addUncovered()
	r.Exceptions = f.exceptions
	slices.SortFunc(r.Exceptions, func(a, b *schema.Exception) int {
		return cmp.Or(cmp.Compare(a.GetHost(), b.GetHost()), cmp.Compare(a.GetCode(), b.GetCode()))
	})
	for _, u := range f.unlisted {
		if _, listed := f.index[u.GetHost()]; !listed {
			r.Unlisted = append(r.Unlisted, u)
		}
	}
	slices.SortFunc(r.Unlisted, func(a, b *schema.Target) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return r
}

// addUncovered records targets without a finding as unresponsive.
func (f *Aggregator) addUncovered() {
	unresponsive := map[string]bool{}
	for _, e := range f.exceptions {
		unresponsive[e.GetHost()] = unresponsive[e.GetHost()] || jaypitch.Code(e.GetCode()) == jaypitch.CodeHostSilent
	}
	for host, i := range f.index {
		if !unresponsive[host] && !f.covered(i) {
			f.AddUnresponsive(host, "no response covered the host")
		}
	}
}

// covered reports whether a group contains the target with index i.
func (f *Aggregator) covered(i int) bool {
	for _, g := range f.groups {
		if isSet(g.GetHosts(), i) {
			return true
		}
	}
	return false
}

// group returns the aggregator's group with the same finding as g, after merging the times of g into it.
func (f *Aggregator) group(g *schema.EvidenceGroup) *schema.EvidenceGroup {
	key := groupKey(g)
	merged := f.groups[key]
	if merged == nil {
		merged = &schema.EvidenceGroup{Revision: g.GetRevision(), Digest: g.GetDigest(), Enforced: g.GetEnforced(), Confirmed: g.GetConfirmed(),
			LastCallUs: -1, Hosts: make([]byte, (f.size+7)/8)}
		f.groups[key] = merged
	}
	merged.HeldUs = max(merged.GetHeldUs(), g.GetHeldUs())
	if l := g.GetLastCallUs(); l >= 0 && (merged.GetLastCallUs() < 0 || l < merged.GetLastCallUs()) {
		merged.LastCallUs = l
	}
	return merged
}

// markHost adds a host to a group. It ignores hosts that aren't targets.
func (f *Aggregator) markHost(g *schema.EvidenceGroup, host string) {
	if i, ok := f.index[host]; ok {
		g.Hosts[i/8] |= 1 << (i % 8)
	}
}

func (f *Aggregator) addException(host string, c jaypitch.Code, reason string, inProgress int64) {
	f.exceptions = append(f.exceptions, &schema.Exception{Host: host, Code: int32(c), Reason: reason, InFlight: inProgress})
}

func groupKey(g *schema.EvidenceGroup) string {
	return fmt.Sprintf("%d/%x/%t/%t", g.GetRevision(), g.GetDigest(), g.GetEnforced(), g.GetConfirmed())
}

func isSet(bits []byte, i int) bool {
	return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0
}

// HostCount returns the number of hosts in a group.
func HostCount(g *schema.EvidenceGroup) int {
	n := 0
	for i := range len(g.GetHosts()) * 8 {
		if isSet(g.GetHosts(), i) {
			n++
		}
	}
	return n
}

// Members returns the names of the targets that are in a group.
func Members(g *schema.EvidenceGroup, targets []*schema.Target) []string {
	var names []string
	for i, t := range targets {
		if isSet(g.GetHosts(), i) {
			names = append(names, t.GetHost())
		}
	}
	return names
}
