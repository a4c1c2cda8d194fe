package settings

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Host is one host of the host list.
type Host struct {
	Name       string
	DataCentre string
	Service    string
	Address    string
	Leaving    bool
}

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
	// Hosts are live, ordered by name.
	Hosts []*Host
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
}

// Table is a routing table: a function of the accepted documents alone. It is never changed once
// built, and every route of it points at a service and hosts of the same table.
type Table struct {
	Teams    map[string]*TeamTable
	Services map[string]*Service
	// Hosts is the whole host list by name, leaving hosts among them.
	Hosts map[string]*Host
	// Number grows with each table that the node puts in force.
	Number uint64
}

// Build makes the routing table of a state.
func Build(s *State) *Table {
	t := &Table{Teams: map[string]*TeamTable{}, Services: map[string]*Service{}, Hosts: map[string]*Host{}}
	teams := t.declare(s)
	t.addHosts(s)
	for name, team := range teams {
		d := s.entries[jaypitch.TeamPrefix+name].Document
		t.Teams[name] = t.resolve(name, d, team)
	}
	t.addTombstones(s)
	return t
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

// HostNames returns the names of all listed hosts, in order.
func (t *Table) HostNames() []string {
	return slices.Sorted(maps.Keys(t.Hosts))
}

// declare enters every team's services; of two teams that declare one service the first by name keeps it.
func (t *Table) declare(s *State) map[string]*schema.TeamSettings {
	teams := map[string]*schema.TeamSettings{}
	for _, key := range s.Keys() {
		team, ok := s.entries[key].Parsed.(*schema.TeamSettings)
		if !ok {
			continue
		}
		name := jaypitch.Team(key)
		teams[name] = team
		ranks := ranksOf(team)
		for _, v := range team.GetService() {
			if t.Services[v.GetName()] == nil {
				t.Services[v.GetName()] = &Service{Name: v.GetName(), Team: name, DeadlineUS: v.GetDeadlineUs(), Ranks: ranks}
			}
		}
	}
	return teams
}

func (t *Table) addHosts(s *State) {
	for _, key := range s.Keys() {
		list, ok := s.entries[key].Parsed.(*schema.HostSettings)
		if !ok {
			continue
		}
		for _, h := range list.GetHost() {
			t.addHost(&Host{Name: h.GetName(), DataCentre: jaypitch.DataCentre(key), Service: h.GetService(),
				Address: h.GetAddress(), Leaving: h.GetState() == "leaving"})
		}
	}
	for _, v := range t.Services {
		slices.SortFunc(v.Hosts, func(a, b *Host) int { return strings.Compare(a.Name, b.Name) })
	}
}

// addHost enters a host; of two lists that name one host the first by data centre keeps it.
func (t *Table) addHost(h *Host) {
	if t.Hosts[h.Name] != nil {
		return
	}
	t.Hosts[h.Name] = h
	if v := t.Services[h.Service]; v != nil && !h.Leaving {
		v.Hosts = append(v.Hosts, h)
	}
}

// addTombstones enters deleted teams, so that their revision can be shown.
func (t *Table) addTombstones(s *State) {
	for key, e := range s.entries {
		if name := jaypitch.Team(key); name != "" && e.Document.Deleted {
			t.Teams[name] = &TeamTable{Revision: e.Document.Revision, Deleted: true}
		}
	}
}

// resolve settles the references of a team's routes.
func (t *Table) resolve(name string, d jaypitch.Document, team *schema.TeamSettings) *TeamTable {
	tt := &TeamTable{Revision: d.Revision, Digest: d.Digest, Routes: map[string]*Route{}, Withdrawn: map[string]*jaypitch.Error{}}
	all := map[string]bool{}
	for _, c := range team.GetCustomer() {
		all[c.GetName()] = true
	}
	for _, r := range team.GetRoute() {
		service, rank, e := t.settle(r)
		if e != nil {
			tt.Withdrawn[r.GetName()] = e
			continue
		}
		tt.Routes[r.GetName()] = &Route{Team: name, Name: r.GetName(), Service: service, Rank: rank,
			Idempotent: r.GetIdempotent(), DeadlineUS: min(r.GetDeadlineUs(), service.DeadlineUS), Customers: customersOf(r, all)}
	}
	return tt
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

// Deadline returns when a call that arrives now on the route has to end.
func (r *Route) Deadline(now time.Time) time.Time {
	return now.Add(time.Duration(r.DeadlineUS) * time.Microsecond)
}
