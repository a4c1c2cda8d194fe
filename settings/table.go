package settings

import (
	"maps"
	"slices"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Rank is a priority class of a team's services.
type Rank struct {
	Name string
	// Order sorts ranks; 1 is the most urgent.
	Order int
	// Floor is the share of a full backend server that is reserved for the rank, from 0 to 1.
	Floor float64
	// Queue is how many requests may be queued at one backend server.
	Queue int
	// Worth is the weight of a good request in reports.
	Worth int64
	// TargetUS is the latency in microseconds up to which a request is good.
	TargetUS int64
	// ObjectivePermille is the service-level objective: good requests per thousand.
	ObjectivePermille int64
}

// Service is a service with its ranks and live hosts.
type Service struct {
	Name string
	// Team is the team that declares the service.
	Team string
	// DeadlineUS is the longest time for a request in microseconds.
	DeadlineUS int64
	// Ranks are ordered, most urgent first.
	Ranks []*Rank
	// Hosts are the hosts that aren't draining, ordered by data centre and name.
	Hosts []*Host

	// owner is the settings of Team that the service was built from.
	owner *schema.TeamSettings
}

// Route is a route whose service, rank and hosts were all found.
type Route struct {
	Team       string
	Name       string
	Service    *Service
	Rank       *Rank
	Idempotent bool
	// DeadlineUS is the lesser of the route's and the service's deadline, in microseconds.
	DeadlineUS int64
	Customers  map[string]bool
}

// TeamTable is the part of a table that belongs to one team.
type TeamTable struct {
	Revision int64
	Digest   jaypitch.Digest
	Deleted  bool
	Routes   map[string]*Route
	// Withdrawn maps the declared routes that can't be served to the reason.
	Withdrawn map[string]*jaypitch.Error

	settings *schema.TeamSettings
	ranks    []*Rank
}

// Table is a routing table. Its content depends on the accepted documents alone. It is immutable once built, and each of its
// routes refers to a service and hosts of the same table.
type Table struct {
	Teams       map[string]*TeamTable
	Services    map[string]*Service
	DataCentres map[string]*DataCentre
	// Number counts the tables that the node has applied; Build leaves it 0.
	Number uint64
}

// Build builds the routing table of a state. Unchanged parts are shared with the previous table, which may be nil; the content
// doesn't depend on it.
func Build(s *State, previous *Table) *Table {
	if previous == nil {
		previous = &Table{}
	}
	t := &Table{Teams: map[string]*TeamTable{}, Services: make(map[string]*Service, len(previous.Services)), DataCentres: map[string]*DataCentre{}}
	changed := t.addDataCentres(s, previous)
	declared := t.teamTables(s, previous)
	t.addServices(declared, changed, previous)
	for name, tt := range declared {
		t.Teams[name] = t.resolveTeam(name, tt, previous)
	}
	return t
}

// Contains reports whether the table's list of the host's data centre contains this very Host, not merely one of the same name.
func (t *Table) Contains(h *Host) bool {
	c := t.DataCentres[h.DataCentre]
	return c != nil && c.Hosts[h.Name] == h
}

// HostIn returns a host from the list of a data centre, or nil.
func (t *Table) HostIn(dataCentre, name string) *Host {
	c := t.DataCentres[dataCentre]
	if c == nil {
		return nil
	}
	return c.Hosts[name]
}

// Host returns a listed host, or nil. If several data centres list the name, the first by name of the data centre wins. A node
// looks itself up with HostIn, in the list of its own data centre alone.
func (t *Table) Host(name string) *Host {
	var found *Host
	for _, c := range t.DataCentres {
		if h := c.Hosts[name]; h != nil && (found == nil || h.DataCentre < found.DataCentre) {
			found = h
		}
	}
	return found
}

// HostCount returns the number of entries in all host lists. A host that two lists name counts twice.
func (t *Table) HostCount() int {
	n := 0
	for _, c := range t.DataCentres {
		n += len(c.Hosts)
	}
	return n
}

// Hosts returns all listed hosts, ordered by name. If several data centres list a name, the first by name of the data centre wins.
func (t *Table) Hosts() []*Host {
	names := map[string]*Host{}
	for _, centre := range slices.Sorted(maps.Keys(t.DataCentres)) {
		for name, h := range t.DataCentres[centre].Hosts {
			if names[name] == nil {
				names[name] = h
			}
		}
	}
	hosts := make([]*Host, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		hosts = append(hosts, names[name])
	}
	return hosts
}

// Route returns a route for a customer. The error has CodeNoRoute, CodeRouteWithdrawn or CodeNoCustomer.
func (t *Table) Route(team, route, customer string) (*Route, *jaypitch.Error) {
	tt := t.Teams[team]
	if tt == nil {
		return nil, jaypitch.Errorf(jaypitch.CodeNoRoute, "team %q has no accepted settings", team)
	}
	r := tt.Routes[route]
	if r == nil {
		if e := tt.Withdrawn[route]; e != nil {
			return nil, jaypitch.Errorf(jaypitch.CodeRouteWithdrawn, "route %q of team %q is withdrawn: %s", route, team, e.Error())
		}
		return nil, jaypitch.Errorf(jaypitch.CodeNoRoute, "team %q has no route %q", team, route)
	}
	if !r.Customers[customer] {
		return nil, jaypitch.Errorf(jaypitch.CodeNoCustomer, "route %q of team %q doesn't serve customer %q", route, team, customer)
	}
	return r, nil
}

// Deadline returns the deadline of a request that arrives now on the route.
func (r *Route) Deadline(now time.Time) time.Time {
	return now.Add(time.Duration(r.DeadlineUS) * time.Microsecond)
}

// addDataCentres adds the host lists, and returns the names of the data centres whose list differs from the previous table's.
func (t *Table) addDataCentres(s *State, previous *Table) []string {
	for key, e := range s.entries {
		name := jaypitch.DataCentreOfKey(key)
		d, ok := e.Parsed.(*HostDocument)
		if name == "" || !ok {
			continue
		}
		c := previous.DataCentres[name]
		if c == nil || c.Revision != e.Document.Revision || c.Digest != e.Document.Digest {
			c = newDataCentre(e, d, c)
		}
		t.DataCentres[name] = c
	}
	var changed []string
	for name, c := range t.DataCentres {
		if previous.DataCentres[name] != c {
			changed = append(changed, name)
		}
	}
	for name := range previous.DataCentres {
		if t.DataCentres[name] == nil {
			changed = append(changed, name)
		}
	}
	return changed
}

// teamTables returns each team's table: the previous one if the settings are unchanged, otherwise a new one whose routes are not
// resolved yet.
func (t *Table) teamTables(s *State, previous *Table) map[string]*TeamTable {
	teams := map[string]*TeamTable{}
	for key, e := range s.entries {
		name := jaypitch.TeamOfKey(key)
		if name == "" || e.Document.Revision == 0 {
			continue
		}
		d := e.Document
		tt := previous.Teams[name]
		if tt == nil || tt.Revision != d.Revision || tt.Digest != d.Digest || tt.Deleted != d.Deleted {
			tt = &TeamTable{Revision: d.Revision, Digest: d.Digest, Deleted: d.Deleted}
			if settings, ok := e.Parsed.(*schema.TeamSettings); ok {
				tt.settings, tt.ranks = settings, ranksOf(settings)
			}
		}
		teams[name] = tt
	}
	return teams
}

// addServices adds every team's services. If several teams declare a service, the first team by name owns it.
func (t *Table) addServices(teams map[string]*TeamTable, changed []string, previous *Table) {
	centres := slices.Sorted(maps.Keys(t.DataCentres))
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		tt := teams[name]
		for _, d := range tt.settings.GetService() {
			if t.Services[d.GetName()] != nil {
				continue
			}
			v := previous.Services[d.GetName()]
			if v == nil || v.owner != tt.settings || t.hostsChanged(d.GetName(), changed, previous) {
				v = &Service{Name: d.GetName(), Team: name, DeadlineUS: d.GetDeadlineUs(), Ranks: tt.ranks, Hosts: t.liveHosts(d.GetName(), centres), owner: tt.settings}
			}
			t.Services[d.GetName()] = v
		}
	}
}

// resolveTeam returns a team's table with its routes resolved against this table's services. It returns the previous table if
// neither the team's settings nor the services of its routes changed.
func (t *Table) resolveTeam(name string, tt *TeamTable, previous *Table) *TeamTable {
	if previous.Teams[name] == tt && t.sameServices(tt, previous) {
		return tt
	}
	resolved := &TeamTable{Revision: tt.Revision, Digest: tt.Digest, Deleted: tt.Deleted, Routes: map[string]*Route{}, Withdrawn: map[string]*jaypitch.Error{},
		settings: tt.settings, ranks: tt.ranks}
	all := map[string]bool{}
	for _, c := range tt.settings.GetCustomer() {
		all[c.GetName()] = true
	}
	for _, r := range tt.settings.GetRoute() {
		service, rank, e := t.resolveRoute(r)
		if e != nil {
			resolved.Withdrawn[r.GetName()] = e
			continue
		}
		resolved.Routes[r.GetName()] = &Route{Team: name, Name: r.GetName(), Service: service, Rank: rank,
			Idempotent: r.GetIdempotent(), DeadlineUS: min(r.GetDeadlineUs(), service.DeadlineUS), Customers: customersOf(r, all)}
	}
	return resolved
}

// resolveRoute returns the service and the rank of a route. The error has CodeNoService, CodeNoHosts or CodeNoRank.
func (t *Table) resolveRoute(r *schema.RouteSection) (*Service, *Rank, *jaypitch.Error) {
	service := t.Services[r.GetService()]
	if service == nil {
		return nil, nil, jaypitch.Errorf(jaypitch.CodeNoService, "no team with accepted settings declares service %q", r.GetService())
	}
	if len(service.Hosts) == 0 {
		return nil, nil, jaypitch.Errorf(jaypitch.CodeNoHosts, "the host lists have no live host for service %q", r.GetService())
	}
	i := slices.IndexFunc(service.Ranks, func(k *Rank) bool { return k.Name == r.GetRank() })
	if i < 0 {
		return nil, nil, jaypitch.Errorf(jaypitch.CodeNoRank, "team %q has no rank %q for its service %q", service.Team, r.GetRank(), service.Name)
	}
	return service, service.Ranks[i], nil
}

// hostsChanged reports whether the live hosts of a service differ from the previous table's in one of the changed data centres.
func (t *Table) hostsChanged(service string, changed []string, previous *Table) bool {
	for _, c := range changed {
		if !sameLiveHosts(t.DataCentres[c], previous.DataCentres[c], service) {
			return true
		}
	}
	return false
}

// liveHosts returns the live hosts of a service in all data centres, in the order of centres. A host that several lists name
// is returned once.
func (t *Table) liveHosts(service string, centres []string) []*Host {
	var hosts []*Host
	for _, c := range centres {
		for _, h := range t.DataCentres[c].live[service] {
			if !slices.ContainsFunc(hosts, func(o *Host) bool { return o.Name == h.Name }) {
				hosts = append(hosts, h)
			}
		}
	}
	return hosts
}

// sameServices reports whether every service that a team's routes name is shared with the previous table.
func (t *Table) sameServices(tt *TeamTable, previous *Table) bool {
	for _, r := range tt.settings.GetRoute() {
		if t.Services[r.GetService()] != previous.Services[r.GetService()] {
			return false
		}
	}
	return true
}

// customersOf returns the customers of a route; all if it lists "*".
func customersOf(r *schema.RouteSection, all map[string]bool) map[string]bool {
	if slices.Contains(r.GetCustomers(), "*") {
		return all
	}
	named := map[string]bool{}
	for _, c := range r.GetCustomers() {
		named[c] = true
	}
	return named
}

// ranksOf returns the ranks of a team, most urgent first.
func ranksOf(team *schema.TeamSettings) []*Rank {
	ranks := make([]*Rank, 0, len(team.GetRank()))
	for _, r := range team.GetRank() {
		ranks = append(ranks, &Rank{Name: r.GetName(), Order: int(r.GetOrder()), Floor: float64(r.GetFloorPercent()) / 100,
			Queue: int(r.GetQueue()), Worth: r.GetWorth(), TargetUS: r.GetTargetUs(), ObjectivePermille: r.GetObjectivePermille()})
	}
	slices.SortFunc(ranks, func(a, b *Rank) int { return a.Order - b.Order })
	return ranks
}
