// Package spread decides who reads the source, whom a node asks for settings and when a node may
// trust what it holds. Each node decides alone, from the host list. It has no clock and no socket.
package spread

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/jaypitch/jaypitch/settings"
)

// Member is a host as others reach its node.
type Member struct {
	Host       string
	DataCentre string
	Address    string
}

// Topology is one node's place among the listed hosts.
type Topology struct {
	Self Member
	// Listed is false if the host list doesn't hold this host.
	Listed bool
	// Position is the place of this host in the order of its data centre; 0 is the first reader.
	Position int
	// DataCentreCount is the number of data centres listed.
	DataCentreCount int

	fanout  int
	readers int
	local   []Member
	ring    []Member
	centres []centre
}

// centre is a data centre with its members in the order that all nodes share.
type centre struct {
	list    *settings.DataCentre
	members []Member
}

const (
	// ringLinks is how many following data centres a reader polls.
	ringLinks = 2
	// spareParents is how many further candidates stand behind the tree's own.
	spareParents = 4
	// positionWeights is the sum of 1/(1+p)^2 over all positions p.
	positionWeights = math.Pi * math.Pi / 6
)

// NewTopology works out the place of self among the listed hosts. The orders of data centres whose list
// is the same as in the topology before are taken from there; before may be nil.
func NewTopology(self Member, lists map[string]*settings.DataCentre, fanout, readers int, before *Topology) *Topology {
	t := &Topology{Self: self, fanout: fanout, readers: readers}
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		t.centres = append(t.centres, centreOf(lists[name], before))
	}
	own := lists[self.DataCentre]
	t.Listed = own != nil && own.Hosts[self.Host] != nil
	t.DataCentreCount = len(lists)
	if own == nil {
		t.DataCentreCount++
	}
	t.local = t.ownMembers()
	t.Position = slices.IndexFunc(t.local, func(m Member) bool { return m.Host == self.Host })
	t.ring = t.ringParents()
	return t
}

// IsReader says whether this node reads the source: fewer than the wanted number of hosts before it are unsuspected.
func (t *Topology) IsReader(suspect func(host string) bool) bool {
	before := 0
	for _, m := range t.local[:t.Position] {
		if !suspect(m.Host) {
			before++
		}
		if before >= t.readers {
			return false
		}
	}
	return true
}

// SourceRateLimit returns the calls a second that this node may make to the source. The sum over any set of
// hosts of one list is at most the fleet's share, whoever suspects whom.
func (t *Topology) SourceRateLimit(fleetCallsPerSecond float64) float64 {
	place := float64(1 + t.Position)
	return fleetCallsPerSecond / float64(t.DataCentreCount) / positionWeights / (place * place)
}

// Parents returns whom to poll, best first: the pair of the tree, the pairs above it, the readers,
// then spare hosts before this one. A reader polls its like in the next data centres.
func (t *Topology) Parents() []Member {
	if t.Position < t.readers {
		return t.withSpares(t.ring)
	}
	var parents []Member
	for p := t.Position; p >= t.readers; {
		first := (p - t.readers) / t.fanout
		parents = t.appendPair(parents, first)
		p = first
	}
	for p := range min(t.readers, t.Position) {
		parents = appendMember(parents, t.local[p])
	}
	return t.withSpares(parents)
}

// RandomPeer returns a host for repair: of this data centre for an even pick, of another for an odd one.
func (t *Topology) RandomPeer(pick uint64) (Member, bool) {
	pool := t.local
	if remote := t.remote(); pick%2 == 1 && len(remote) > 0 {
		pool = remote[(pick/2)%uint64(len(remote))].members
	}
	pick /= 2
	for i := range uint64(len(pool)) {
		m := pool[(pick+i)%uint64(len(pool))]
		if m.Host != t.Self.Host {
			return m, true
		}
	}
	return Member{}, false
}

// OtherHostCount returns how many other hosts are listed.
func (t *Topology) OtherHostCount() int {
	n := len(t.local) - 1
	for _, c := range t.remote() {
		n += len(c.members)
	}
	return n
}

// remote returns the other data centres that have hosts.
func (t *Topology) remote() []centre {
	var out []centre
	for _, c := range t.centres {
		if c.list.Name != t.Self.DataCentre && len(c.members) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// ownMembers returns the members of this data centre, with this host in its place even if it isn't listed.
func (t *Topology) ownMembers() []Member {
	var members []Member
	for _, c := range t.centres {
		if c.list.Name == t.Self.DataCentre {
			members = c.members
		}
	}
	if t.Listed {
		return members
	}
	return order(append(slices.Clone(members), t.Self))
}

// appendPair adds a position and the one beside it, if they stand before this node.
func (t *Topology) appendPair(parents []Member, first int) []Member {
	second := first ^ 1
	if second >= t.Position {
		second = first - 1
	}
	parents = appendMember(parents, t.local[first])
	if second >= 0 {
		parents = appendMember(parents, t.local[second])
	}
	return parents
}

// withSpares adds hosts that stand before this one, in an order of this node's own.
func (t *Topology) withSpares(parents []Member) []Member {
	for i := range min(spareParents, t.Position) {
		place := pairHash(t.Self.Host, strconv.Itoa(i)) % uint64(t.Position)
		parents = appendMember(parents, t.local[place])
	}
	return parents
}

// ringParents returns the hosts at this position in the data centres that follow in order of name.
func (t *Topology) ringParents() []Member {
	following := t.remote()
	first := slices.IndexFunc(following, func(c centre) bool { return c.list.Name > t.Self.DataCentre })
	var parents []Member
	for i := range min(ringLinks, len(following)) {
		c := following[(max(first, 0)+i)%len(following)]
		parents = append(parents, c.members[t.Position%len(c.members)])
	}
	return parents
}

// centreOf orders the members of a list, unless the topology before has done so.
func centreOf(list *settings.DataCentre, before *Topology) centre {
	if before != nil {
		for _, c := range before.centres {
			if c.list == list {
				return c
			}
		}
	}
	c := centre{list: list}
	for _, h := range list.Hosts {
		c.members = append(c.members, Member{Host: h.Name, DataCentre: list.Name, Address: h.Address})
	}
	c.members = order(c.members)
	return c
}

// order sorts the members of one data centre by their hashes, the same on every node.
func order(members []Member) []Member {
	hashes := make(map[string]uint64, len(members))
	for _, m := range members {
		hashes[m.Host] = pairHash(m.DataCentre, m.Host)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hashes[a.Host], hashes[b.Host]), cmp.Compare(a.Host, b.Host))
	})
	return members
}

func appendMember(members []Member, m Member) []Member {
	if slices.Contains(members, m) {
		return members
	}
	return append(members, m)
}

func pairHash(a, b string) uint64 {
	return xxhash.Sum64String(a + "/" + b)
}
