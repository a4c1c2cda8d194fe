package mesh

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch/schema"
)

// Table is the routing table of a sidecar. It is immutable.
type Table struct {
	// Version is the version of the configuration; zero if the replica has none.
	Version int64
	Limits  *schema.MeshLimits
	// Downloads is true if the configuration has a rule with large responses.
	Downloads bool
	// Services holds the services that have servers for new requests, by name. Servers in evacuated data centres get none.
	Services map[string]*Service
	// Servers holds all servers in use by ID, including draining ones.
	Servers map[string]*schema.MeshServer

	// serviceLimits holds what the servers of a service sustain, by the service's name.
	serviceLimits map[string]*schema.MeshServiceLimits
	// named holds the services that the configuration names; nil without a configuration.
	named map[string]bool
	// leaving holds the IDs of the servers that stated that they are leaving.
	leaving map[string]bool
	// evacuations holds the evacuated data centres, evacuatedServices the services that have servers there which would get requests otherwise.
	evacuations       map[string]Evacuation
	evacuatedServices map[string]bool

	// contested holds the addresses that several servers in use share, and answering the ID of the server that answers there, if that is known.
	contested map[string]bool
	answering map[string]string
	rules     ruleIndex
	hostCount int
	// byAddress holds the server in use at each address: the one that answers there or, as long as that is unknown, the newest one, if possible
	// of a service that the configuration names.
	byAddress map[string]*schema.MeshServer
}

// ruleIndex holds the rules by host, those with the longest prefix first.
type ruleIndex map[string][]*Rule

// Rule is a rule of the configuration, prepared for the choice of a destination.
type Rule struct {
	*schema.MeshRule
	// cumulativeWeights holds the running sums of the destinations' weights.
	cumulativeWeights []int64
}

// Service is a service with its servers that may get new requests, in order of ID; see candidates.
type Service struct {
	Name    string
	Servers []*schema.MeshServer
}

// newTable returns the table of a configuration and the servers in use. Answering holds the IDs of the servers that answer, by address.
func newTable(c *schema.MeshConfig, rules ruleIndex, servers []*schema.MeshServer, answering map[string]string, evacuations map[string]Evacuation) *Table {
	t := &Table{Version: c.GetVersion(), Limits: c.GetLimits(), Services: map[string]*Service{}, Servers: make(map[string]*schema.MeshServer, len(servers)),
		rules: rules, evacuations: evacuations, evacuatedServices: map[string]bool{}, byAddress: make(map[string]*schema.MeshServer, len(servers))}
	t.Downloads = slices.ContainsFunc(c.GetRules(), (*schema.MeshRule).GetDownload)
	t.nameServices(c)
	hosts := map[netip.Addr]bool{}
	for _, v := range servers {
		t.Servers[v.GetId()] = v
		if a, err := netip.ParseAddrPort(v.GetAddress()); err == nil {
			hosts[a.Addr()] = true
		}
	}
	t.hostCount = len(hosts)
	t.addServices(t.candidates(servers, answering))
	return t
}

// nameServices records the services that the configuration names, and their limits.
func (t *Table) nameServices(c *schema.MeshConfig) {
	if len(c.GetServices()) == 0 {
		return
	}
	t.serviceLimits = make(map[string]*schema.MeshServiceLimits, len(c.GetServiceLimits()))
	for _, l := range c.GetServiceLimits() {
		t.serviceLimits[l.GetService()] = l
	}
	t.named = make(map[string]bool, len(c.GetServices()))
	for _, name := range c.GetServices() {
		t.named[name] = true
	}
}

// Names reports whether the configuration names a service. Without a configuration it reports true.
func (t *Table) Names(service string) bool {
	return t.named == nil || t.named[service]
}

// ServiceLimits returns what the servers of a service sustain; nil if the configuration doesn't tell.
func (t *Table) ServiceLimits(service string) *schema.MeshServiceLimits {
	return t.serviceLimits[service]
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
		if t.Evacuated(v.GetDataCentre()) {
			t.evacuatedServices[v.GetService()] = true
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

// Match returns the host's rule with the longest prefix that matches the path, or nil.
func (t *Table) Match(host, path string) *Rule {
	rules, ok := t.rules[host]
	if !ok {
		// The Host header may contain a port, and letters of either case.
		rules = t.rules[strings.ToLower(withoutPort(host))]
	}
	for _, r := range rules {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r
		}
	}
	return nil
}

// withoutPort returns the name or IP address in a Host header, without its port.
func withoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
}

// RuleNamed returns the rule with a name; nil if there is none.
func (t *Table) RuleNamed(name string) *Rule {
	for _, rules := range t.rules {
		for _, r := range rules {
			if r.GetName() == name {
				return r
			}
		}
	}
	return nil
}

// HasRule reports whether the table has a rule with exactly this host and prefix, or any rule of the host if the prefix is empty.
func (t *Table) HasRule(host, prefix string) bool {
	for _, r := range t.rules[host] {
		if prefix == "" || r.GetPrefix() == prefix {
			return true
		}
	}
	return false
}

// ServerAt returns the server in use at an address; nil if there is none.
func (t *Table) ServerAt(address string) *schema.MeshServer {
	return t.byAddress[address]
}

// Leaving reports whether a server in use stated that it is leaving.
func (t *Table) Leaving(id string) bool {
	return t.leaving[id]
}

// HostCount returns the number of hosts of the servers in use, counted by IP address.
func (t *Table) HostCount() int {
	return t.hostCount
}

func newRule(r *schema.MeshRule) *Rule {
	out := &Rule{MeshRule: r}
	var sum int64
	for _, p := range r.GetParts() {
		sum += p.GetWeight()
		out.cumulativeWeights = append(out.cumulativeWeights, sum)
	}
	return out
}

// Destination chooses a service in proportion to the weights. draw is a random number of at least 0 and less than 1. The result is empty if the
// rule has no destinations.
func (r *Rule) Destination(draw float64) string {
	parts := r.GetParts()
	switch len(parts) {
	case 0:
		return ""
	case 1:
		return parts[0].GetService()
	}
	point := int64(draw * float64(r.cumulativeWeights[len(r.cumulativeWeights)-1]))
	for i, w := range r.cumulativeWeights {
		if point < w {
			return parts[i].GetService()
		}
	}
	return parts[len(parts)-1].GetService()
}

// LatencyTarget returns the time within which a response meets the rule's latency target.
func (r *Rule) LatencyTarget() time.Duration {
	return time.Duration(r.GetTargetUs()) * time.Microsecond
}

// Timeout returns the longest time that a request may take.
func (r *Rule) Timeout() time.Duration {
	return time.Duration(r.GetTimeoutUs()) * time.Microsecond
}
