package settings

import (
	"maps"
	"slices"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Rank is one rank of work of a service's team.
type Rank struct {
	Name     string
	Order    int
	Floor    float64 // share of a full backend server, 0 to 1
	Queue    int
	Worth    int64
	TargetUS int64
	// ObjectivePermille is the number of good calls wanted in a thousand.
	ObjectivePermille int64
}

// Service is a service with its ranks and the hosts that take new work.
type Service struct {
	Name       string
	Team       string
	DeadlineUS int64
	// Ranks are ordered, most urgent first.
	Ranks []*Rank
	// Hosts are live, ordered by data centre and name.
	Hosts []*Host

	owner *schema.TeamSettings
}

// Route is a route whose service, rank and backend servers are all held.
type Route struct {
	Team       string
	Name       string
	Service    *Service
	Rank       *Rank
	Idempotent bool
	DeadlineUS int64
	Customers  map[string]bool
}

// TeamTable is what a table holds of one team.
type TeamTable struct {
	Revision int64
	Digest   jaypitch.Digest
	Deleted  bool
	Routes   map[string]*Route
	// Withdrawn holds the declared routes that can't be served, with the reason.
	Withdrawn map[string]*jaypitch.Error

	settings *schema.TeamSettings
	ranks    []*Rank
}

// Table is a routing table: a function of the accepted documents alone. It is never changed once
// built, and every route of it points at a service and hosts of the same table.
type Table struct {
	Teams       map[string]*TeamTable
	Services    map[string]*Service
	DataCentres map[string]*DataCentre
	// Number grows with each table that the node puts in force.
	Number uint64
}

// Build makes the routing table of a state. What is the same in the table before is shared with it; the
// result doesn't depend on it.
func Build(s *State, before *Table) *Table {
	if before == nil {
		before = &Table{}
	}
	t := &Table{Teams: map[string]*TeamTable{}, Services: make(map[string]*Service, len(before.Services)), DataCentres: map[string]*DataCentre{}}
	changed := t.takeCentres(s, before)
	declared := t.takeTeams(s, before)
	t.declare(declared, changed, before)
	for name, tt := range declared {
		t.Teams[name] = t.settled(name, tt, before)
	}
	return t
}

// Contains says whether a host stands in the list of its data centre as it is.
func (t *Table) Contains(h *Host) bool {
	c := t.DataCentres[h.DataCentre]
	return c != nil && c.Hosts[h.Name] == h
}

// HostIn returns a host of the list of a data centre, or nil.
func (t *Table) HostIn(dataCentre, name string) *Host {
	c := t.DataCentres[dataCentre]
	if c == nil {
		return nil
	}
	return c.Hosts[name]
}

// Host returns a listed host, or nil. Of two lists that name one host the first by data centre is taken; a
// node judges itself by the list of its own data centre alone.
func (t *Table) Host(name string) *Host {
	var found *Host
	for _, c := range t.DataCentres {
		if h := c.Hosts[name]; h != nil && (found == nil || h.DataCentre < found.DataCentre) {
			found = h
		}
	}
	return found
}

// HostCount returns the number of listed hosts.
func (t *Table) HostCount() int {
	n := 0
	for _, c := range t.DataCentres {
		n += len(c.Hosts)
	}
	return n
}

// Hosts returns all listed hosts, ordered by name.
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

// Route returns a route for a customer, or the reason why there is none.
func (t *Table) Route(team, route, customer string) (*Route, *jaypitch.Error) {
	tt := t.Teams[team]
	if tt == nil {
		return nil, jaypitch.Errorf(jaypitch.CodeNoRoute, "team %q has no settings here", team)
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

// Deadline returns when a call that arrives now on the route has to end.
func (r *Route) Deadline(now time.Time) time.Time {
	return now.Add(time.Duration(r.DeadlineUS) * time.Microsecond)
}

// takeCentres enters the host lists and returns the data centres whose list differs from the table before.
func (t *Table) takeCentres(s *State, before *Table) []string {
	for key, e := range s.entries {
		name := jaypitch.DataCentreOfKey(key)
		d, ok := e.Parsed.(*HostDocument)
		if name == "" || !ok {
			continue
		}
		c := before.DataCentres[name]
		if c == nil || c.Revision != e.Document.Revision || c.Digest != e.Document.Digest {
			c = newCentre(e, d, c)
		}
		t.DataCentres[name] = c
	}
	var changed []string
	for name, c := range t.DataCentres {
		if before.DataCentres[name] != c {
			changed = append(changed, name)
		}
	}
	for name := range before.DataCentres {
		if t.DataCentres[name] == nil {
			changed = append(changed, name)
		}
	}
	return changed
}

// takeTeams returns each team's table: the one before, or one whose routes are still to be settled.
func (t *Table) takeTeams(s *State, before *Table) map[string]*TeamTable {
	teams := map[string]*TeamTable{}
	for key, e := range s.entries {
		name := jaypitch.TeamOfKey(key)
		if name == "" || e.Document.Revision == 0 {
			continue
		}
		d := e.Document
		tt := before.Teams[name]
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

// declare enters every team's services; of two teams that declare one service the first by name keeps it.
func (t *Table) declare(teams map[string]*TeamTable, changed []string, before *Table) {
	centres := slices.Sorted(maps.Keys(t.DataCentres))
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		tt := teams[name]
		for _, d := range tt.settings.GetService() {
			if t.Services[d.GetName()] != nil {
				continue
			}
			v := before.Services[d.GetName()]
			if v == nil || v.owner != tt.settings || t.moved(d.GetName(), changed, before) {
				v = &Service{Name: d.GetName(), Team: name, DeadlineUS: d.GetDeadlineUs(), Ranks: tt.ranks, Hosts: t.live(d.GetName(), centres), owner: tt.settings}
			}
			t.Services[d.GetName()] = v
		}
	}
}

// settled returns a team's table with its references settled against this table's services.
func (t *Table) settled(name string, tt *TeamTable, before *Table) *TeamTable {
	if before.Teams[name] == tt && t.sameServices(tt, before) {
		return tt
	}
	own := &TeamTable{Revision: tt.Revision, Digest: tt.Digest, Deleted: tt.Deleted, Routes: map[string]*Route{}, Withdrawn: map[string]*jaypitch.Error{},
		settings: tt.settings, ranks: tt.ranks}
	all := map[string]bool{}
	for _, c := range tt.settings.GetCustomer() {
		all[c.GetName()] = true
	}
	for _, r := range tt.settings.GetRoute() {
		service, rank, e := t.settle(r)
		if e != nil {
			own.Withdrawn[r.GetName()] = e
			continue
		}
		own.Routes[r.GetName()] = &Route{Team: name, Name: r.GetName(), Service: service, Rank: rank,
			Idempotent: r.GetIdempotent(), DeadlineUS: min(r.GetDeadlineUs(), service.DeadlineUS), Customers: customersOf(r, all)}
	}
	return own
}

// settle finds the service and the rank of a route.
func (t *Table) settle(r *schema.RouteSection) (*Service, *Rank, *jaypitch.Error) {
	service := t.Services[r.GetService()]
	if service == nil {
		return nil, nil, jaypitch.Errorf(jaypitch.CodeNoService, "no accepted subtree declares service %q", r.GetService())
	}
	if len(service.Hosts) == 0 {
		return nil, nil, jaypitch.Errorf(jaypitch.CodeNoHosts, "the host list has no live host for service %q", r.GetService())
	}
	i := slices.IndexFunc(service.Ranks, func(k *Rank) bool { return k.Name == r.GetRank() })
	if i < 0 {
		return nil, nil, jaypitch.Errorf(jaypitch.CodeNoRank, "team %q has no rank %q for its service %q", service.Team, r.GetRank(), service.Name)
	}
	return service, service.Ranks[i], nil
}

// moved says whether the hosts of a service differ from the table before.
func (t *Table) moved(service string, changed []string, before *Table) bool {
	for _, c := range changed {
		if !sameLive(t.DataCentres[c], before.DataCentres[c], service) {
			return true
		}
	}
	return false
}

// live returns the hosts of a service in all data centres; a host that two lists name counts once.
func (t *Table) live(service string, centres []string) []*Host {
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

// sameServices says whether every service that a team's routes name is shared with the table before.
func (t *Table) sameServices(tt *TeamTable, before *Table) bool {
	for _, r := range tt.settings.GetRoute() {
		if t.Services[r.GetService()] != before.Services[r.GetService()] {
			return false
		}
	}
	return true
}

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

func ranksOf(team *schema.TeamSettings) []*Rank {
	ranks := make([]*Rank, 0, len(team.GetRank()))
	for _, r := range team.GetRank() {
		ranks = append(ranks, &Rank{Name: r.GetName(), Order: int(r.GetOrder()), Floor: float64(r.GetFloorPercent()) / 100,
			Queue: int(r.GetQueue()), Worth: r.GetWorth(), TargetUS: r.GetTargetUs(), ObjectivePermille: r.GetObjectivePermille()})
	}
	slices.SortFunc(ranks, func(a, b *Rank) int { return a.Order - b.Order })
	return ranks
}
