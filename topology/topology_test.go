package topology

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/settings"
)

// lists returns host lists of several data centres, with the given number of hosts each.
func lists(dataCentres, hosts int) map[string]*settings.DataCentre {
	out := map[string]*settings.DataCentre{}
	for c := range dataCentres {
		name := fmt.Sprintf("dc%d", c)
		l := &settings.DataCentre{Name: name, Hosts: map[string]*settings.Host{}}
		for h := range hosts {
			host := fmt.Sprintf("%s_h%d", name, h)
			l.Hosts[host] = &settings.Host{Name: host, DataCentre: name, Address: host + ":1"}
		}
		out[name] = l
	}
	return out
}

// allTopologies returns the topology of every host, by host.
func allTopologies(l map[string]*settings.DataCentre) map[string]*Topology {
	out := map[string]*Topology{}
	for name, c := range l {
		var previous *Topology
		for host := range c.Hosts {
			previous = NewTopology(Member{Host: host, DataCentre: name, Address: host + ":1"}, l, 8, 3, previous)
			out[host] = previous
		}
	}
	return out
}

func noSuspects(string) bool { return false }

func TestReaders(t *testing.T) {
	t.Run("three in each data centre", func(t *testing.T) {
		is := is.New(t)
		readers := map[string]int{}
		for _, p := range allTopologies(lists(3, 50)) {
			if p.IsReader(noSuspects) {
				readers[p.Self.DataCentre]++
			}
		}
		is.Equal(readers, map[string]int{"dc0": 3, "dc1": 3, "dc2": 3})
	})
	t.Run("the next hosts replace suspected readers", func(t *testing.T) {
		is := is.New(t)
		all := allTopologies(lists(1, 20))
		suspect := func(host string) bool { return all[host].Position < 2 }
		for _, p := range all {
			is.Equal(p.IsReader(suspect), p.Position < 5)
		}
	})
	t.Run("rate limits add up to at most the fleet's limit", func(t *testing.T) {
		for _, size := range []int{1, 10, 1000} {
			is := is.New(t)
			sum := 0.0
			for _, p := range allTopologies(lists(4, size)) {
				sum += p.SourceRateLimit(1000)
			}
			is.True(sum <= 1000)
		}
	})
}

// hopCounts returns the number of hops that a change takes from the readers to each live host of one data centre. A host that
// isn't reached is absent.
func hopCounts(all map[string]*Topology, dead map[string]bool) map[string]int {
	hops := map[string]int{}
	for host, p := range all {
		if p.Position < 3 && !dead[host] {
			hops[host] = 0
		}
	}
	for round := 1; ; round++ {
		before := len(hops)
		for host, p := range all {
			if _, ok := hops[host]; ok || dead[host] {
				continue
			}
			links := 0
			for _, m := range p.Parents() {
				if dead[m.Host] || links == 2 {
					continue
				}
				links++
				if h, ok := hops[m.Host]; ok && h < round {
					hops[host] = round
				}
			}
		}
		if len(hops) == before {
			return hops
		}
	}
}

func TestTree(t *testing.T) {
	all := allTopologies(lists(1, 2000))
	t.Run("parents have lower positions than their children", func(t *testing.T) {
		is := is.New(t)
		for _, p := range all {
			if p.Position < 3 {
				continue
			}
			parents := p.Parents()
			is.True(len(parents) >= 2)
			for _, m := range parents {
				is.True(all[m.Host].Position < p.Position)
			}
		}
	})
	t.Run("a change reaches 2,000 hosts in four hops", func(t *testing.T) {
		is := is.New(t)
		hops := hopCounts(all, nil)
		is.Equal(len(hops), 2000)
		for _, n := range hops {
			is.True(n <= 4)
		}
	})
	t.Run("a host has at most twice the fan-out as children", func(t *testing.T) {
		is := is.New(t)
		children := map[string]int{}
		for _, p := range all {
			if p.Position < 3 {
				continue
			}
			for _, m := range p.Parents()[:2] {
				children[m.Host]++
			}
		}
		for _, n := range children {
			is.True(n <= 16)
		}
	})
	t.Run("a change reaches all live hosts if a tenth is dead", func(t *testing.T) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(1, 2))
		dead := map[string]bool{}
		for host, p := range all {
			if p.Position >= 3 && r.IntN(10) == 0 {
				dead[host] = true
			}
		}
		is.Equal(len(hopCounts(all, dead)), 2000-len(dead))
	})
	t.Run("an unlisted host has parents and counts all listed hosts as others", func(t *testing.T) {
		is := is.New(t)
		p := NewTopology(Member{Host: "new", DataCentre: "dc0"}, lists(2, 30), 8, 3, nil)
		is.True(!p.Listed)
		is.True(len(p.Parents()) > 0)
		is.Equal(p.OtherHostCount(), 60)
	})
	t.Run("readers poll the next data centre in a ring", func(t *testing.T) {
		is := is.New(t)
		for _, p := range allTopologies(lists(5, 4)) {
			if p.Position >= 3 {
				continue
			}
			var local, first int
			_, _ = fmt.Sscanf(p.Self.DataCentre, "dc%d", &local)
			_, _ = fmt.Sscanf(p.Parents()[0].DataCentre, "dc%d", &first)
			is.Equal(first, (local+1)%5)
		}
	})
}

func TestSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := NewSuspects()
	s.RecordFailure("a", now)
	is.True(s.IsSuspect("a", now))
	is.True(!s.IsSuspect("a", now.Add(minSuspicion)))
	for range 20 {
		s.RecordFailure("a", now)
	}
	is.True(s.IsSuspect("a", now.Add(maxSuspicion-1)))
	is.True(!s.IsSuspect("a", now.Add(maxSuspicion)))
	s.RecordResponse("a")
	is.True(!s.IsSuspect("a", now))
}

// confirmEvent is an event of a confirmation. Its times are in milliseconds since the start of the process.
type confirmEvent struct {
	at int
	// kind is a tick, a response of the source, a response of a confirmed peer ("yes" and its name) or of an unconfirmed one ("no" and
	// its name), or "look" if only time passes.
	kind string
	// requestedAt is when the request was sent whose response the event records.
	requestedAt int
}

func TestConfirmation(t *testing.T) {
	cases := []struct {
		name             string
		others           int
		events           []confirmEvent
		confirmed, ready bool
	}{
		{"source and one confirmed peer", 5, []confirmEvent{{100, "source", 0}, {200, "yes a", 0}}, true, true},
		{"one confirmed peer, after the deadline", 5, []confirmEvent{{100, "yes a", 0}, {1000, "tick", 0}, {2000, "tick", 0}, {3000, "tick", 0}, {4000, "tick", 0}, {5000, "tick", 0}}, true, true},
		{"source alone, after the deadline", 5, []confirmEvent{{100, "source", 0}, {1000, "tick", 0}, {2000, "tick", 0}, {3000, "tick", 0}, {4000, "tick", 0}, {5000, "tick", 0}}, false, false},
		{"no responses", 5, []confirmEvent{{100, "tick", 0}}, false, false},
		{"one confirmed peer", 5, []confirmEvent{{100, "yes a", 0}}, false, false},
		{"one peer twice", 5, []confirmEvent{{100, "yes a", 0}, {200, "yes a", 0}}, false, false},
		{"two confirmed peers", 5, []confirmEvent{{100, "yes a", 0}, {200, "yes b", 0}}, true, true},
		{"the only other host", 1, []confirmEvent{{100, "yes a", 0}}, true, true},
		{"source alone, peers listed", 5, []confirmEvent{{100, "source", 0}}, false, false},
		{"source alone, no other host", 0, []confirmEvent{{100, "source", 0}}, true, true},
		{"source and two unconfirmed peers", 5, []confirmEvent{{100, "source", 0}, {200, "no a", 0}, {300, "no b", 0}}, true, true},
		{"two unconfirmed peers", 5, []confirmEvent{{100, "no a", 0}, {200, "no b", 0}}, false, false},
		{"no responses, after the deadline", 5, []confirmEvent{{1000, "tick", 0}, {2000, "tick", 0}, {3000, "tick", 0}, {4000, "tick", 0}, {5000, "tick", 0}}, false, false},
		{"paused", 5, []confirmEvent{{100, "yes a", 0}, {200, "yes b", 0}, {9000, "tick", 0}}, false, false},
		{"paused, no tick yet", 5, []confirmEvent{{100, "yes a", 0}, {200, "yes b", 0}, {9000, "look", 0}}, true, false},
		{"paused, a peer's response to an earlier request", 5, []confirmEvent{{100, "yes a", 0}, {200, "yes b", 0}, {9000, "tick", 0}, {9001, "yes a", 300}}, false, false},
		{"paused, the source's response to an earlier request", 5, []confirmEvent{{100, "yes a", 0}, {200, "yes b", 0}, {9000, "tick", 0}, {9001, "source", 300}, {9002, "no a", 9001}}, false, false},
		{"paused, confirmed again", 5, []confirmEvent{{100, "yes a", 0}, {200, "yes b", 0}, {9000, "tick", 0}, {9010, "yes a", 9001}}, true, true},
		{"paused, unconfirmed after the deadline", 5, []confirmEvent{{100, "yes a", 0}, {200, "yes b", 0}, {9000, "tick", 0}, {10001, "tick", 0}}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(0, 0)
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			d := NewConfirmation(at(5000), start, false)
			now := 0
			for _, e := range c.events {
				now = e.at
				switch e.kind {
				case "tick":
					d.Tick(at(e.at))
				case "source":
					d.RecordSource(c.others, at(e.requestedAt), at(e.at))
				case "look":
				default:
					d.RecordPeer(e.kind[len(e.kind)-1:], e.kind[:3] == "yes", c.others, at(e.requestedAt), at(e.at))
				}
			}
			is.Equal(d.Confirmed(), c.confirmed)
			is.Equal(d.Ready(at(now)), c.ready)
		})
	}
}
