// Package spread decides who reads the source, whom a node asks for settings and when a node may
// trust what it holds. Each node decides alone, from the host list. It has no clock and no socket.
package spread

import (
	"cmp"
	"math"
	"slices"

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
	// DataCentres is the number of data centres listed.
	DataCentres int

	fanout  int
	readers int
	local   []Member
	remote  []Member
	ring    []Member
}

const (
	// ringLinks is how many following data centres a reader polls.
	ringLinks = 2
	// spareParents is how many further candidates stand behind the tree's own.
	spareParents = 4
	// positionWeights is the sum of 1/(1+p)^2 over all positions p.
	positionWeights = math.Pi * math.Pi / 6
)

// NewTopology works out the place of self among the hosts of a table.
func NewTopology(self Member, hosts map[string]*settings.Host, fanout, readers int) *Topology {
	t := &Topology{Self: self, fanout: fanout, readers: readers}
	byCentre := map[string][]Member{}
	for _, h := range hosts {
		m := Member{Host: h.Name, DataCentre: h.DataCentre, Address: h.Address}
		byCentre[h.DataCentre] = append(byCentre[h.DataCentre], m)
	}
	if h := hosts[self.Host]; h != nil {
		t.Listed = true
	} else {
		byCentre[self.DataCentre] = append(byCentre[self.DataCentre], self)
	}
	t.DataCentres = len(byCentre)
	t.local = order(byCentre[self.DataCentre])
	t.Position = slices.IndexFunc(t.local, func(m Member) bool { return m.Host == self.Host })
	if t.Position < 0 {
		t.Position = len(t.local)
	}
	for centre, members := range byCentre {
		if centre != self.DataCentre {
			t.remote = append(t.remote, members...)
		}
	}
	slices.SortFunc(t.remote, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	t.ring = t.ringParents(byCentre)
	return t
}

// Reader says whether this node reads the source: fewer than the wanted number of hosts before it are unsuspected.
func (t *Topology) Reader(suspect func(host string) bool) bool {
	before := 0
	for _, m := range t.local[:min(t.Position, len(t.local))] {
		if !suspect(m.Host) {
			before++
		}
		if before >= t.readers {
			return false
		}
	}
	return true
}

// Budget returns the calls a second that this node may make to the source. The sum over any set of
// hosts of one list is at most the fleet's share, whoever suspects whom.
func (t *Topology) Budget(fleetCallsPerSecond float64) float64 {
	place := float64(1 + t.Position)
	return fleetCallsPerSecond / float64(t.DataCentres) / positionWeights / (place * place)
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

// Random returns a host for repair: of this data centre for an even pick, of another for an odd one.
func (t *Topology) Random(pick uint64) (Member, bool) {
	pool := t.local
	if pick%2 == 1 && len(t.remote) > 0 {
		pool = t.remote
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

// Others returns how many other hosts are listed.
func (t *Topology) Others() int {
	n := len(t.local) + len(t.remote)
	if t.Position < len(t.local) {
		n--
	}
	return n
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
	before := slices.Clone(t.local[:min(t.Position, len(t.local))])
	slices.SortFunc(before, func(a, b Member) int {
		return cmp.Compare(pairHash(t.Self.Host, a.Host), pairHash(t.Self.Host, b.Host))
	})
	for _, m := range before[:min(spareParents, len(before))] {
		parents = appendMember(parents, m)
	}
	return parents
}

// ringParents returns the hosts at this position in the data centres that follow in order of name.
func (t *Topology) ringParents(byCentre map[string][]Member) []Member {
	var centres []string
	for c := range byCentre {
		centres = append(centres, c)
	}
	slices.Sort(centres)
	own := slices.Index(centres, t.Self.DataCentre)
	var parents []Member
	for i := 1; i <= min(ringLinks, len(centres)-1); i++ {
		members := order(byCentre[centres[(own+i)%len(centres)]])
		parents = append(parents, members[t.Position%len(members)])
	}
	return parents
}

// order sorts the members of one data centre by their hashes, the same on every node.
func order(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(pairHash(a.DataCentre, a.Host), pairHash(b.DataCentre, b.Host)), cmp.Compare(a.Host, b.Host))
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
