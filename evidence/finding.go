// Package evidence folds what hosts say about a route, a customer, a backend server or a version,
// and judges whether it is gone everywhere. It has no clock and no socket.
package evidence

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Finding is what one host says of a subject.
type Finding struct {
	Host           string
	Revision       int64
	Digest         []byte
	Enforced       bool
	Confirmed      bool
	SinceAppliedUS int64
	// LastRequestUS is the time since the last call that matched; -1 if none did.
	LastRequestUS int64
	// InProgress is the number of matching calls in progress.
	InProgress int64
}

// Aggregator gathers findings over a fixed list of targets. It isn't safe for concurrent use.
type Aggregator struct {
	index      map[string]int
	size       int
	groups     map[string]*schema.EvidenceGroup
	exceptions []*schema.Exception
	unlisted   map[string]*schema.Target
}

// NewAggregator makes a fold over the targets of a request.
func NewAggregator(targets []*schema.Target) *Aggregator {
	f := &Aggregator{index: map[string]int{}, size: len(targets), groups: map[string]*schema.EvidenceGroup{}, unlisted: map[string]*schema.Target{}}
	for i, t := range targets {
		f.index[t.GetHost()] = i
	}
	return f
}

// Add takes in the finding of one host.
func (f *Aggregator) Add(n Finding) {
	g := f.group(&schema.EvidenceGroup{Revision: n.Revision, Digest: n.Digest, Enforced: n.Enforced, Confirmed: n.Confirmed,
		HeldUs: n.SinceAppliedUS, LastCallUs: n.LastRequestUS})
	f.mark(g, n.Host)
	if !n.Confirmed {
		f.except(n.Host, jaypitch.CodeHostUnsure, "the host has not confirmed its settings", 0)
	}
	if n.InProgress > 0 {
		f.except(n.Host, jaypitch.CodeHostServing, fmt.Sprintf("%d matching calls are in progress", n.InProgress), n.InProgress)
	}
}

// AddUnresponsive records that a host gave no answer.
func (f *Aggregator) AddUnresponsive(host, reason string) {
	f.except(host, jaypitch.CodeHostSilent, reason, 0)
}

// AddUnlisted records a host that was seen and is absent from the host list.
func (f *Aggregator) AddUnlisted(t *schema.Target) {
	f.unlisted[t.GetHost()] = t
}

// Merge takes in the answer of a relay to a request with the given targets.
func (f *Aggregator) Merge(targets []*schema.Target, r *schema.EvidenceResponse) {
	for _, g := range r.GetGroups() {
		own := f.group(g)
		for i, t := range targets {
			if bit(g.GetHosts(), i) {
				f.mark(own, t.GetHost())
			}
		}
	}
	f.exceptions = append(f.exceptions, r.GetExceptions()...)
	for _, u := range r.GetUnlisted() {
		f.AddUnlisted(u)
	}
}

// Response returns what was gathered, in a fixed order. A target of which nothing was heard is silent.
func (f *Aggregator) Response() *schema.EvidenceResponse {
	r := &schema.EvidenceResponse{}
	for _, g := range f.groups {
		r.Groups = append(r.Groups, g)
	}
	slices.SortFunc(r.Groups, func(a, b *schema.EvidenceGroup) int {
		return cmp.Or(cmp.Compare(b.GetRevision(), a.GetRevision()), cmp.Compare(groupKey(a), groupKey(b)))
	})
	f.addUnheard()
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

// addUnheard reports targets that no answer covered.
func (f *Aggregator) addUnheard() {
	silent := map[string]bool{}
	for _, e := range f.exceptions {
		silent[e.GetHost()] = silent[e.GetHost()] || jaypitch.Code(e.GetCode()) == jaypitch.CodeHostSilent
	}
	for host, i := range f.index {
		if !silent[host] && !f.heard(i) {
			f.AddUnresponsive(host, "no answer covered the host")
		}
	}
}

func (f *Aggregator) heard(i int) bool {
	for _, g := range f.groups {
		if bit(g.GetHosts(), i) {
			return true
		}
	}
	return false
}

// group returns the fold's group with the same answer, joined with the times of g.
func (f *Aggregator) group(g *schema.EvidenceGroup) *schema.EvidenceGroup {
	key := groupKey(g)
	own := f.groups[key]
	if own == nil {
		own = &schema.EvidenceGroup{Revision: g.GetRevision(), Digest: g.GetDigest(), Enforced: g.GetEnforced(), Confirmed: g.GetConfirmed(),
			LastCallUs: -1, Hosts: make([]byte, (f.size+7)/8)}
		f.groups[key] = own
	}
	own.HeldUs = max(own.GetHeldUs(), g.GetHeldUs())
	if l := g.GetLastCallUs(); l >= 0 && (own.GetLastCallUs() < 0 || l < own.GetLastCallUs()) {
		own.LastCallUs = l
	}
	return own
}

func (f *Aggregator) mark(g *schema.EvidenceGroup, host string) {
	if i, ok := f.index[host]; ok {
		g.Hosts[i/8] |= 1 << (i % 8)
	}
}

func (f *Aggregator) except(host string, c jaypitch.Code, reason string, inFlight int64) {
	f.exceptions = append(f.exceptions, &schema.Exception{Host: host, Code: int32(c), Reason: reason, InFlight: inFlight})
}

func groupKey(g *schema.EvidenceGroup) string {
	return fmt.Sprintf("%d/%x/%t/%t", g.GetRevision(), g.GetDigest(), g.GetEnforced(), g.GetConfirmed())
}

func bit(bits []byte, i int) bool {
	return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0
}

// HostCount returns the number of hosts in a group.
func HostCount(g *schema.EvidenceGroup) int {
	n := 0
	for i := range len(g.GetHosts()) * 8 {
		if bit(g.GetHosts(), i) {
			n++
		}
	}
	return n
}

// Members returns the targets that are in a group.
func Members(g *schema.EvidenceGroup, targets []*schema.Target) []string {
	var names []string
	for i, t := range targets {
		if bit(g.GetHosts(), i) {
			names = append(names, t.GetHost())
		}
	}
	return names
}
