// Package topology decides which nodes read the source, which peers a node polls for documents, and when a node's state counts as
// confirmed. Each node decides independently, from the host lists. It has no clock and no socket.
package topology

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/jaypitch/jaypitch/settings"
)

// Member is a host with the address at which peers reach its node.
type Member struct {
	Host       string
	DataCentre string
	Address    string
}

// Topology is the position of one node among the listed hosts, from which its parents follow.
type Topology struct {
	Self Member
	// Listed is true if the host list of the data centre contains this host.
	Listed bool
	// Position is the index of this host in the order of its data centre's members; 0 is the first reader.
	Position int
	// DataCentreCount is the number of data centres that have a host list, plus this node's if that has none.
	DataCentreCount int

	fanout      int
	readers     int
	local       []Member
	ring        []Member
	dataCentres []dataCentre
}

// dataCentre is a data centre with its members in an order that is the same on all nodes.
type dataCentre struct {
	list    *settings.DataCentre
	members []Member
}

const (
	// ringParentCount is how many data centres a reader polls.
	ringParentCount = 2
	// extraParents is the maximum number of parents that are added to those of the tree or the ring.
	extraParents = 4
	// positionWeightSum is the sum of 1/(1+p)^2 over all positions p from 0 up; it bounds the sum for any number of hosts.
	positionWeightSum = math.Pi * math.Pi / 6
)

// NewTopology returns the topology of the node self. lists are the host lists by data centre. fanout is how many nodes have the same
// first parent in the tree, readers how many nodes in each data centre read the source. Data centres whose list is the same as in the
// previous topology are taken from there; previous may be nil.
func NewTopology(self Member, lists map[string]*settings.DataCentre, fanout, readers int, previous *Topology) *Topology {
	t := &Topology{Self: self, fanout: fanout, readers: readers}
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		t.dataCentres = append(t.dataCentres, newDataCentre(lists[name], previous))
	}
	list := lists[self.DataCentre]
	t.Listed = list != nil && list.Hosts[self.Host] != nil
	t.DataCentreCount = len(lists)
	if list == nil {
		t.DataCentreCount++
	}
	t.local = t.localMembers()
	t.Position = slices.IndexFunc(t.local, func(m Member) bool { return m.Host == self.Host })
	t.ring = t.ringParents()
	return t
}

// IsReader reports whether this node reads the source: of the hosts before it in the order, fewer than the number of readers are not
// suspected. Suspect reports whether a host is suspected.
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

// SourceRateLimit returns how many requests per second this node may send to the source. The limits of any nodes with the same host
// lists add up to at most fleetRateLimit, whichever hosts they suspect.
func (t *Topology) SourceRateLimit(fleetRateLimit float64) float64 {
	position := float64(1 + t.Position)
	return fleetRateLimit / float64(t.DataCentreCount) / positionWeightSum / (position * position)
}

// Parents returns the candidates to poll, best first: the pair of parents in the tree, the pairs above it, the readers,
// then hosts at pseudo-random positions before this one. For a reader, hosts of the next data centres replace the tree and the readers.
func (t *Topology) Parents() []Member {
	if t.Position < t.readers {
		return t.withExtraParents(t.ring)
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
	return t.withExtraParents(parents)
}

// RandomPeer returns another host for a digest exchange: one of this data centre for an even pick, of another for an odd one. pick is a
// random number. It returns false if there is no other host.
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

// remote returns the other data centres that have hosts, in order of name.
func (t *Topology) remote() []dataCentre {
	var out []dataCentre
	for _, c := range t.dataCentres {
		if c.list.Name != t.Self.DataCentre && len(c.members) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// localMembers returns the members of this data centre in order. They include this host even if it isn't listed.
func (t *Topology) localMembers() []Member {
	var members []Member
	for _, c := range t.dataCentres {
		if c.list.Name == t.Self.DataCentre {
			members = c.members
		}
	}
	if t.Listed {
		return members
	}
	return order(append(slices.Clone(members), t.Self))
}

// appendPair adds the hosts at the position first and at the other position of its pair: 0 and 1, 2 and 3, and so on. If the other
// position isn't before this node's, first-1 replaces it.
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

// withExtraParents adds hosts before this one, at positions that are hashed from this host's name, so that nodes differ in them.
func (t *Topology) withExtraParents(parents []Member) []Member {
	for i := range min(extraParents, t.Position) {
		position := pairHash(t.Self.Host, strconv.Itoa(i)) % uint64(t.Position)
		parents = appendMember(parents, t.local[position])
	}
	return parents
}

// ringParents returns a host of each of the next data centres in order of name, which wraps around. It is the
// host at this node's position, modulo the number of hosts.
func (t *Topology) ringParents() []Member {
	following := t.remote()
	first := slices.IndexFunc(following, func(c dataCentre) bool { return c.list.Name > t.Self.DataCentre })
	var parents []Member
	for i := range min(ringParentCount, len(following)) {
		c := following[(max(first, 0)+i)%len(following)]
		parents = append(parents, c.members[t.Position%len(c.members)])
	}
	return parents
}

// newDataCentre orders the members of a list, or takes the order from the previous topology if the list is the same.
func newDataCentre(list *settings.DataCentre, previous *Topology) dataCentre {
	if previous != nil {
		for _, c := range previous.dataCentres {
			if c.list == list {
				return c
			}
		}
	}
	c := dataCentre{list: list}
	for _, h := range list.Hosts {
		c.members = append(c.members, Member{Host: h.Name, DataCentre: list.Name, Address: h.Address})
	}
	c.members = order(c.members)
	return c
}

// order sorts the members of one data centre by the hash of their names, so that the order is the same on every node.
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
