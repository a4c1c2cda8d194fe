package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch/schema"
)

// Table is what a sidecar enforces. It is never changed.
type Table struct {
	// Version of the configuration; zero if none is held.
	Version int64
	Limits  *schema.MeshLimits
	// Services holds the servers in use of each service.
	Services map[string]*Service
	// Servers holds all servers that are listed, those that drain among them, by identity.
	Servers map[string]*schema.MeshServer

	rules     ruleIndex
	byAddress map[string]*schema.MeshServer
	hosts     int
}

// ruleIndex holds the rules of each host, longest prefix first.
type ruleIndex map[string][]*Rule

// Rule is one rule with the services that it may send to.
type Rule struct {
	*schema.MeshRule
	// weights holds the running sums of the parts' weights.
	weights []int64
}

// Service is the servers of one service that may get new calls.
type Service struct {
	Name    string
	Servers []*schema.MeshServer
}

func newTable(c *schema.MeshConfig, rules ruleIndex, servers []*schema.MeshServer) *Table {
	t := &Table{Version: c.GetVersion(), Limits: c.GetLimits(), Services: map[string]*Service{}, Servers: make(map[string]*schema.MeshServer, len(servers)),
		rules: rules, byAddress: make(map[string]*schema.MeshServer, len(servers))}
	slices.SortFunc(servers, func(a, b *schema.MeshServer) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) })
	hosts := map[netip.Addr]bool{}
	for _, v := range servers {
		t.Servers[v.GetId()] = v
		// The newest entry of an address counts, since addresses are used again.
		t.byAddress[v.GetAddress()] = v
		if a, err := netip.ParseAddrPort(v.GetAddress()); err == nil {
			hosts[a.Addr()] = true
		}
	}
	t.hosts = len(hosts)
	t.addServices(servers)
	return t
}

func newRuleIndex(c *schema.MeshConfig) ruleIndex {
	index := ruleIndex{}
	for _, r := range c.GetRules() {
		index[r.GetHost()] = append(index[r.GetHost()], newRule(r))
	}
	for _, rs := range index {
		slices.SortStableFunc(rs, func(a, b *Rule) int { return cmp.Compare(len(b.GetPrefix()), len(a.GetPrefix())) })
	}
	return index
}

func (t *Table) addServices(servers []*schema.MeshServer) {
	for _, v := range servers {
		if v.GetDraining() || t.byAddress[v.GetAddress()] != v {
			continue
		}
		s := t.Services[v.GetService()]
		if s == nil {
			s = &Service{Name: v.GetService()}
			t.Services[v.GetService()] = s
		}
		s.Servers = append(s.Servers, v)
	}
	for _, s := range t.Services {
		slices.SortFunc(s.Servers, func(a, b *schema.MeshServer) int { return cmp.Compare(a.GetId(), b.GetId()) })
	}
}

// Match returns the rule with the longest prefix that begins the path, or nil.
func (t *Table) Match(host, path string) *Rule {
	rules, ok := t.rules[host]
	if !ok {
		// A host may come with a port and in any case.
		name, _, _ := strings.Cut(host, ":")
		rules = t.rules[strings.ToLower(name)]
	}
	for _, r := range rules {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r
		}
	}
	return nil
}

// HasRule says whether a rule of exactly this host and prefix is in force; an empty prefix asks for any of the host.
func (t *Table) HasRule(host, prefix string) bool {
	for _, r := range t.rules[host] {
		if prefix == "" || r.GetPrefix() == prefix {
			return true
		}
	}
	return false
}

// HostCount returns the number of hosts that have a listed server.
func (t *Table) HostCount() int {
	return t.hosts
}

func newRule(r *schema.MeshRule) *Rule {
	out := &Rule{MeshRule: r}
	var sum int64
	for _, p := range r.GetParts() {
		sum += p.GetWeight()
		out.weights = append(out.weights, sum)
	}
	return out
}

// Destination returns the service for a draw, a number from 0 to 1 without 1.
func (r *Rule) Destination(draw float64) string {
	parts := r.GetParts()
	if len(parts) == 1 {
		return parts[0].GetService()
	}
	at := int64(draw * float64(r.weights[len(r.weights)-1]))
	for i, w := range r.weights {
		if at < w {
			return parts[i].GetService()
		}
	}
	return parts[len(parts)-1].GetService()
}

// LatencyTarget is the time within which an answer is good.
func (r *Rule) LatencyTarget() time.Duration {
	return time.Duration(r.GetTargetUs()) * time.Microsecond
}

// Timeout is the longest time that a request is kept waiting.
func (r *Rule) Timeout() time.Duration {
	return time.Duration(r.GetTimeoutUs()) * time.Microsecond
}
