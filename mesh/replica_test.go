package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

var now = time.Unix(100, 0)

func server(id, address string, revision int64) *schema.MeshServer {
	return &schema.MeshServer{Id: id, Service: "x", Address: address, Slots: 4, Revision: revision}
}

func config(version int64, prefixes ...string) *schema.MeshConfig {
	c := &schema.MeshConfig{Version: version, Revision: version, Limits: &schema.MeshLimits{BodyBytes: version}}
	for _, p := range prefixes {
		c.Rules = append(c.Rules, &schema.MeshRule{Name: p, Host: "h", Prefix: p, TimeoutUs: 1, Parts: []*schema.MeshPart{{Service: "x", Weight: 1}}})
	}
	return c
}

func tombstone(id string, revision int64) *schema.MeshServer {
	return &schema.MeshServer{Id: id, Gone: true, Revision: revision}
}

// assertInUse checks which servers of service x may get new requests.
func assertInUse(t *testing.T, s *Replica, ids ...string) {
	t.Helper()
	var got []string
	if v := s.Table().Services["x"]; v != nil {
		for _, m := range v.Servers {
			got = append(got, m.GetId())
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(ids) {
		t.Fatalf("servers in use are %v; want %v", got, ids)
	}
}

func TestMerge(t *testing.T) {
	t.Run("an older version of the configuration is ignored", func(t *testing.T) {
		is := is.New(t)
		s := NewReplica()
		s.Merge(jaypitch.MeshUpdate{Revision: 9, Config: config(9, "/a/")}, now)
		c := s.Merge(jaypitch.MeshUpdate{Revision: 8, Config: config(8, "/b/")}, now)
		is.True(!c.Config)
		is.Equal(s.Table().Version, int64(9))
		is.Equal(s.Revision(), int64(9))
	})
	t.Run("an older revision of a server is ignored", func(t *testing.T) {
		s := NewReplica()
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{tombstone("a", 7)}}, now)
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{server("a", "1.1.1.1:1", 6)}}, now)
		assertInUse(t, s)
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{server("a", "1.1.1.1:1", 8)}}, now)
		assertInUse(t, s, "a")
	})
	t.Run("a draining server gets no new requests", func(t *testing.T) {
		s := NewReplica()
		draining := server("a", "1.1.1.1:1", 2)
		draining.Draining = true
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{server("a", "1.1.1.1:1", 1), server("b", "1.1.1.2:1", 1)}}, now)
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{draining}}, now)
		assertInUse(t, s, "b")
	})
	t.Run("of two servers with one address the newer is in use", func(t *testing.T) {
		s := NewReplica()
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{server("old", "1.1.1.1:1", 1), server("new", "1.1.1.1:1", 5)}}, now)
		assertInUse(t, s, "new")
	})
	t.Run("a full update removes missing servers unless they are newer", func(t *testing.T) {
		s := NewReplica()
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{server("a", "1.1.1.1:1", 3), server("late", "1.1.1.2:1", 9)}}, now)
		s.Merge(jaypitch.MeshUpdate{Revision: 6, Full: true}, now)
		assertInUse(t, s, "late")
	})
}

func TestServerRemovedDuringStoreOutage(t *testing.T) {
	until := now.Add(2 * time.Second)
	t.Run("stays in use until the given time", func(t *testing.T) {
		s := NewReplica()
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{server("a", "1.1.1.1:1", 3)}}, now)
		s.Merge(jaypitch.MeshUpdate{Revision: 6, Full: true, KeepMissingUntil: until}, now)
		assertInUse(t, s, "a")
		s.Expire(until)
		assertInUse(t, s)
	})
	t.Run("a draining server is not kept", func(t *testing.T) {
		s := NewReplica()
		draining := server("a", "1.1.1.1:1", 3)
		draining.Draining = true
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{draining}}, now)
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{tombstone("a", 6)}, KeepMissingUntil: until}, now)
		assertInUse(t, s)
	})
	t.Run("a server that is listed again stays in use", func(t *testing.T) {
		s := NewReplica()
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{server("a", "1.1.1.1:1", 3)}}, now)
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{tombstone("a", 6)}, KeepMissingUntil: until}, now)
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{server("a", "1.1.1.1:1", 7)}}, now)
		s.Expire(until)
		assertInUse(t, s, "a")
	})
}

func TestChangesSince(t *testing.T) {
	is := is.New(t)
	a, b := NewReplica(), NewReplica()
	a.Merge(jaypitch.MeshUpdate{Revision: 5, Full: true, Config: config(4, "/a/", "/b/"), Servers: []*schema.MeshServer{server("a", "1.1.1.1:1", 3)}}, now)
	syncReplicas := func() {
		t.Helper()
		u, e := b.UpdateFrom(a.ChangesSince(b.Position(), b.Table().Version))
		is.True(e == nil)
		b.Merge(u, now)
		is.Equal(b.Revision(), a.Revision())
		is.Equal(b.Table().Version, a.Table().Version)
	}
	syncReplicas()
	assertInUse(t, b, "a")
	a.Merge(jaypitch.MeshUpdate{Revision: 8, Config: config(7, "/b/", "/c/"), Servers: []*schema.MeshServer{tombstone("a", 8)}}, now)
	response := a.ChangesSince(b.Position(), b.Table().Version)
	is.True(response.GetConfig() == nil)
	is.Equal(len(response.GetDifference().GetChanged()), 1)
	syncReplicas()
	assertInUse(t, b)
	is.True(b.Table().Match("h", "/a/x") == nil)
	is.True(b.Table().Match("h", "/c/x") != nil)
	is.Equal(b.Table().Limits.GetBodyBytes(), int64(7))
}

// TestChangesSinceFromFullUpdate requests changes from a sidecar that has just started: its first update was full and held no
// tombstone, so a partial response would leave the removed server in use.
func TestChangesSinceFromFullUpdate(t *testing.T) {
	is := is.New(t)
	old, fresh := NewReplica(), NewReplica()
	old.Merge(jaypitch.MeshUpdate{Revision: 20, Config: config(4, "/a/"), Servers: []*schema.MeshServer{server("a", "1.1.1.1:1", 3), server("b", "1.1.1.2:1", 4)}}, now)
	fresh.Merge(jaypitch.MeshUpdate{Revision: 22, Full: true, Config: config(4, "/a/"), Servers: []*schema.MeshServer{server("b", "1.1.1.2:1", 4)}}, now)
	u, e := old.UpdateFrom(fresh.ChangesSince(old.Position(), old.Table().Version))
	is.True(e == nil)
	old.Merge(u, now)
	is.Equal(old.Revision(), int64(22))
	assertInUse(t, old, "b")
}

// TestEntryOfUnnamedServiceHidesServer guards against an entry of another writer that takes a server out of use: it has the server's address
// and a service that the configuration doesn't name.
func TestEntryOfUnnamedServiceHidesServer(t *testing.T) {
	is := is.New(t)
	s := NewReplica()
	c := config(1, "/p/")
	c.Services = []string{"x"}
	odd := server("odd", "a:1", 9)
	odd.Service = "unnamed"
	s.Merge(jaypitch.MeshUpdate{Revision: 9, Config: c, Servers: []*schema.MeshServer{server("one", "a:1", 2), odd}}, now)
	assertInUse(t, s, "one")
	is.True(s.Table().Names("x"))
	is.True(!s.Table().Names("unnamed"))
	t.Run("once the configuration names the service, the server's answer counts", func(t *testing.T) {
		c := config(2, "/p/")
		c.Services = []string{"x", "unnamed"}
		s.Merge(jaypitch.MeshUpdate{Revision: 10, Config: c}, now)
		assertInUse(t, s, "one")
		s.RecordAnswer(Answer{Address: "a:1", Expected: "one", Server: "odd"}, now)
		assertInUse(t, s)
	})
}

func TestPatchRejectsAnotherBase(t *testing.T) {
	is := is.New(t)
	_, e := Patch(config(3), Difference(config(2), config(4)))
	is.Equal(e.Code, jaypitch.CodeDigestMismatch)
}

func TestPatchAppliesDifference(t *testing.T) {
	is := is.New(t)
	from, to := config(2, "/a/", "/b/", "/c/"), config(5, "/a/", "/c/", "/d/")
	to.Rules[1].TimeoutUs = 9
	got, e := Patch(from, Difference(from, to))
	is.True(e == nil)
	is.True(proto.Equal(got, to))
}

func TestMatch(t *testing.T) {
	is := is.New(t)
	s := NewReplica()
	s.Merge(jaypitch.MeshUpdate{Config: config(1, "/a/", "/a/b/")}, now)
	is.Equal(s.Table().Match("h", "/a/b/c").GetName(), "/a/b/")
	is.Equal(s.Table().Match("h", "/a/bc").GetName(), "/a/")
	is.True(s.Table().Match("h", "/ab/") == nil)
	is.True(s.Table().Match("other", "/a/b/") == nil)
	is.Equal(s.Table().Match("H:80", "/a/b/").GetName(), "/a/b/")
}

// TestRuleWithoutDestinationPanics guards against a rule from another sidecar that has no destinations.
func TestRuleWithoutDestinationPanics(t *testing.T) {
	is := is.New(t)
	c := config(1, "/p/")
	c.Rules[0].Parts = nil
	s := NewReplica()
	s.Merge(jaypitch.MeshUpdate{Revision: 1, Config: c}, now)
	is.Equal(s.Table().Match("h", "/p/q").Destination(0.5), "")
}

// TestMatchCutsHost guards against a Host header that is cut within an IPv6 address.
func TestMatchCutsHost(t *testing.T) {
	is := is.New(t)
	s := NewReplica()
	c := config(1, "/p/")
	c.Rules[0].Host = "fd00::7"
	s.Merge(jaypitch.MeshUpdate{Revision: 1, Config: c}, now)
	for _, host := range []string{"[fd00::7]:8080", "[fd00::7]", "[FD00::7]:8080"} {
		is.True(s.Table().Match(host, "/p/q") != nil)
	}
	is.True(s.Table().Match("[fd00::8]:8080", "/p/q") == nil)
}

func TestDestinationFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := newRule(&schema.MeshRule{Parts: []*schema.MeshPart{{Service: "x", Weight: 90}, {Service: "none", Weight: 0}, {Service: "y", Weight: 10}}})
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Destination(float64(i)/1000)]++
	}
	is.Equal(counts, map[string]int{"x": 900, "y": 100})
}

// TestServerThatStatesItIsLeavingStaysInUse guards against a server that gets requests because its entry in the store doesn't say that it leaves.
func TestServerThatStatesItIsLeavingStaysInUse(t *testing.T) {
	born := func(ms int64, revision int64) *schema.MeshServer {
		v := server("a", "1.1.1.1:1", revision)
		v.BornMs = &ms
		return v
	}
	left := func(first *schema.MeshServer) *Replica {
		s := NewReplica()
		s.Merge(jaypitch.MeshUpdate{Revision: 1, Servers: []*schema.MeshServer{first}}, now)
		if !s.RecordLeaving(first, now) {
			t.Fatal("the statement had no effect")
		}
		return s
	}
	for name, c := range map[string]struct {
		first, second *schema.MeshServer
		removed       bool
		inUse         bool
	}{
		"an entry that says ready":                             {born(5, 1), born(5, 3), false, false},
		"removed and listed again, the same process":           {born(5, 1), born(5, 3), true, false},
		"started again under the same ID":                      {born(5, 1), born(6, 3), false, true},
		"an entry of an older sidecar, without a start":        {born(5, 1), server("a", "1.1.1.1:1", 3), false, false},
		"no start known":                                       {server("a", "1.1.1.1:1", 1), server("a", "1.1.1.1:1", 3), false, false},
		"no start known, removed and listed again":             {server("a", "1.1.1.1:1", 1), server("a", "1.1.1.1:1", 3), true, true},
		"start not known at first, then an entry with a start": {server("a", "1.1.1.1:1", 1), born(5, 3), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := left(c.first)
			assertInUse(t, s)
			if c.removed {
				s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{tombstone("a", 2)}}, now)
			}
			s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{c.second}}, now)
			is.New(t).Equal(s.Table().Leaving("a"), !c.inUse)
			if c.inUse {
				assertInUse(t, s, "a")
			} else {
				assertInUse(t, s)
			}
		})
	}
	t.Run("a late response of the process before has no effect", func(t *testing.T) {
		is := is.New(t)
		s := NewReplica()
		s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{born(6, 3)}}, now)
		is.True(!s.RecordLeaving(born(5, 1), now))
		assertInUse(t, s, "a")
	})
	t.Run("other sidecars get the entry as the store has it", func(t *testing.T) {
		is := is.New(t)
		s := left(born(5, 1))
		is.True(!s.ChangesSince(jaypitch.Position{}, 0).GetServers()[0].GetDraining())
	})
}

// reported returns an entry that a server wrote as its report with a number, in its only process.
func reported(id string, seq, revision int64, draining bool) *schema.MeshServer {
	born := int64(1)
	v := server(id, "1.1.1."+id+":1", revision)
	v.BornMs, v.Seq, v.Draining = &born, &seq, draining
	return v
}

func era(n int64) jaypitch.Era { return jaypitch.Era{Number: n, Known: true} }

// restoredReplica returns a replica that read the store at revision 100 in era 1: server 1 is ready, 2 draining, 3 removed and 4 new since revision 50.
// Then the store came back in era 2 from its copy of revision 50, and the replica read it again.
func restoredReplica(t *testing.T) *Replica {
	t.Helper()
	return replicaRestoredAt(t, time.Time{})
}

// replicaRestoredAt is restoredReplica with a time at which the store is known to have been in era 2.
func replicaRestoredAt(t *testing.T, eraSeenAt time.Time) *Replica {
	t.Helper()
	s := NewReplica()
	s.Merge(jaypitch.MeshUpdate{Revision: 50, Era: era(1), Full: true, Config: config(3, "/a/"),
		Servers: []*schema.MeshServer{reported("1", 1, 10, false), reported("2", 1, 20, false), reported("3", 1, 30, false)}}, now)
	s.Merge(jaypitch.MeshUpdate{Revision: 100, Era: era(1), Config: config(4, "/b/"),
		Servers: []*schema.MeshServer{reported("2", 5, 70, true), tombstone("3", 80), reported("4", 1, 90, false)}}, now)
	c := s.Merge(jaypitch.MeshUpdate{Revision: 50, Era: era(2), Full: true, EraSeenAt: eraSeenAt, Config: config(3, "/a/"),
		Servers: []*schema.MeshServer{reported("1", 1, 10, false), reported("2", 1, 20, false), reported("3", 1, 30, false)}}, now)
	if !c.Restored || s.Position() != (jaypitch.Position{Era: era(2), Revision: 50}) {
		t.Fatalf("position %v after a restore", s.Position())
	}
	return s
}

// TestRestoreUndoesNothing guards against a restore of the store that brings back what had been replaced, drained or removed.
func TestRestoreUndoesNothing(t *testing.T) {
	t.Run("the version, the draining server and the removed one stay as they were", func(t *testing.T) {
		is := is.New(t)
		s := restoredReplica(t)
		is.Equal(s.Table().Version, int64(4))
		assertInUse(t, s, "1", "4")
	})
	t.Run("a server that the copy lacks is removed if it doesn't write its entry again", func(t *testing.T) {
		s := restoredReplica(t)
		s.Expire(now.Add(relistTime))
		assertInUse(t, s, "1")
	})
	t.Run("a server that the copy lacks stays in use if it does", func(t *testing.T) {
		s := restoredReplica(t)
		s.Merge(jaypitch.MeshUpdate{Revision: 52, Era: era(2), Servers: []*schema.MeshServer{reported("4", 2, 52, false)}}, now)
		s.Expire(now.Add(relistTime))
		assertInUse(t, s, "1", "4")
	})
	t.Run("a lower revision of the new era replaces a higher one of before", func(t *testing.T) {
		is := is.New(t)
		s := restoredReplica(t)
		c := s.Merge(jaypitch.MeshUpdate{Revision: 53, Era: era(2), Config: config(5, "/c/"),
			Servers: []*schema.MeshServer{reported("1", 2, 51, true), reported("2", 7, 52, false), reported("3", 7, 53, false)}}, now)
		is.True(c.Config)
		assertInUse(t, s, "2", "3", "4")
	})
	t.Run("an entry of the copy applies if the store still has it after the servers that are gone expired", func(t *testing.T) {
		s := restoredReplica(t)
		s.Expire(now.Add(copyExpiry))
		assertInUse(t, s, "1", "2", "3")
	})
	t.Run("an entry of the copy that the store removes stays removed", func(t *testing.T) {
		s := restoredReplica(t)
		s.Merge(jaypitch.MeshUpdate{Revision: 52, Era: era(2), Servers: []*schema.MeshServer{tombstone("2", 51), tombstone("3", 52)}}, now)
		s.Expire(now.Add(copyExpiry))
		assertInUse(t, s, "1")
	})
}

// TestLateNoticeOfRestore guards against times after a restore that count from when this sidecar noticed it: what the store's copy lacks is removed by
// then, and what it still has is there.
func TestLateNoticeOfRestore(t *testing.T) {
	t.Run("a server that the copy lacks is in use only as long after the restore as others are", func(t *testing.T) {
		s := replicaRestoredAt(t, now.Add(-relistTime+time.Second))
		assertInUse(t, s, "1", "4")
		is.New(t).Equal(s.NextExpiry(), now.Add(time.Second))
		s.Expire(now.Add(time.Second))
		assertInUse(t, s, "1")
	})
	t.Run("it isn't in use if that time is over", func(t *testing.T) {
		assertInUse(t, replicaRestoredAt(t, now.Add(-relistTime)), "1")
	})
	t.Run("an entry of the copy applies when it does elsewhere", func(t *testing.T) {
		s := replicaRestoredAt(t, now.Add(-copyExpiry+time.Second))
		s.Expire(now.Add(time.Second))
		assertInUse(t, s, "1", "2", "3")
	})
	t.Run("an evacuation that the copy lacks ends when it does elsewhere", func(t *testing.T) {
		is := is.New(t)
		s := NewReplica()
		s.Merge(full(1, 90, evacuate(80)), now)
		u := full(2, 50)
		u.EraSeenAt = now.Add(-evacuationHold + time.Second)
		s.Merge(u, now)
		is.True(s.Table().Evacuated("z"))
		s.Expire(now.Add(time.Second))
		is.True(!s.Table().Evacuated("z"))
	})
}

// TestRestoreReachesPeers guards against sidecars that take a higher revision of an earlier era for newer.
func TestRestoreReachesPeers(t *testing.T) {
	before := func() *Replica {
		s := NewReplica()
		s.Merge(jaypitch.MeshUpdate{Revision: 100, Era: era(1), Full: true, Config: config(4, "/b/"), Servers: []*schema.MeshServer{reported("1", 1, 10, false)}}, now)
		return s
	}
	follow := func(t *testing.T, s, from *Replica) Change {
		t.Helper()
		u, e := s.UpdateFrom(from.ChangesSince(s.Position(), s.Table().Version))
		is.New(t).True(e == nil)
		return s.Merge(u, now)
	}
	t.Run("a peer of the era before gets everything", func(t *testing.T) {
		is := is.New(t)
		reader, other := restoredReplica(t), before()
		reader.Merge(jaypitch.MeshUpdate{Revision: 54, Era: era(2), Config: config(5, "/c/")}, now)
		is.True(reader.Position().Compare(other.Position()) > 0)
		is.True(follow(t, other, reader).Restored)
		is.Equal(other.Position(), reader.Position())
		is.Equal(other.Table().Version, int64(5))
	})
	t.Run("a peer of the era before undoes nothing", func(t *testing.T) {
		is := is.New(t)
		s := restoredReplica(t)
		follow(t, s, before())
		is.Equal(s.Position(), jaypitch.Position{Era: era(2), Revision: 50})
		assertInUse(t, s, "1", "4")
	})
	t.Run("a late response of the store from the era before undoes nothing", func(t *testing.T) {
		is := is.New(t)
		s := restoredReplica(t)
		c := s.Merge(jaypitch.MeshUpdate{Revision: 100, Era: era(1), Full: true, Servers: []*schema.MeshServer{reported("1", 1, 10, false)}}, now)
		is.Equal(len(c.Servers), 0)
		is.Equal(s.Revision(), int64(50))
	})
	t.Run("a peer of an older build counts as of this era only until a restore", func(t *testing.T) {
		is := is.New(t)
		older := jaypitch.Position{Revision: 100}
		is.True(before().Comparable(older))
		is.True(!restoredReplica(t).Comparable(older))
		is.True(restoredReplica(t).ChangesSince(older, 4).GetWhole())
	})
	t.Run("content of older builds gives way to the store's", func(t *testing.T) {
		is := is.New(t)
		s := NewReplica()
		s.Merge(jaypitch.MeshUpdate{Revision: 100, Full: true, Servers: []*schema.MeshServer{reported("1", 1, 10, false)}}, now)
		is.True(s.Merge(jaypitch.MeshUpdate{Revision: 50, Era: era(2), Full: true}, now).Restored)
		is.Equal(s.Position(), jaypitch.Position{Era: era(2), Revision: 50})
	})
	t.Run("a second restore", func(t *testing.T) {
		is := is.New(t)
		s := restoredReplica(t)
		is.True(s.Merge(jaypitch.MeshUpdate{Revision: 20, Era: era(3), Full: true, Servers: []*schema.MeshServer{reported("1", 1, 10, false)}}, now).Restored)
		is.Equal(s.Position(), jaypitch.Position{Era: era(3), Revision: 20})
		assertInUse(t, s, "1", "4")
	})
}

// TestConcurrentDifferencesAreRefused guards against a sidecar that polls several others at once and refuses all responses but the first, since
// they hold differences from the version of its requests.
func TestConcurrentDifferencesAreRefused(t *testing.T) {
	is := is.New(t)
	first := jaypitch.MeshUpdate{Revision: 3, Full: true, Config: config(3, "/a/"), Servers: []*schema.MeshServer{server("a", "1.1.1.1:1", 2)}}
	s, near, far := NewReplica(), NewReplica(), NewReplica()
	for _, r := range []*Replica{s, near, far} {
		r.Merge(first, now)
	}
	near.Merge(jaypitch.MeshUpdate{Revision: 4, Config: config(4, "/b/")}, now)
	far.Merge(jaypitch.MeshUpdate{Revision: 6, Config: config(6, "/c/"), Servers: []*schema.MeshServer{tombstone("a", 5)}}, now)
	position, version := s.Position(), s.Table().Version
	for _, peer := range []*Replica{near, far, near} {
		u, e := s.UpdateFrom(peer.ChangesSince(position, version))
		is.True(e == nil)
		s.Merge(u, now)
	}
	is.Equal(s.Table().Version, int64(6))
	is.True(s.Table().Match("h", "/c/x") != nil)
	is.True(s.Table().Match("h", "/a/x") == nil)
	assertInUse(t, s)
}

// TestExpiredCopyComesBack guards against a server whose entry was only in the store's copy, and is used again after the store has removed it.
func TestExpiredCopyComesBack(t *testing.T) {
	for name, u := range map[string]jaypitch.MeshUpdate{
		"a full update without the entry": {Revision: 60, Era: era(2), Full: true, Servers: []*schema.MeshServer{reported("1", 1, 10, false)}},
		"a second restore":                {Revision: 40, Era: era(3), Full: true, Servers: []*schema.MeshServer{reported("1", 1, 10, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			s := restoredReplica(t)
			s.Merge(u, now)
			s.Expire(now.Add(copyExpiry))
			assertInUse(t, s, "1")
		})
	}
}

// TestColdTimeRebuildsTable guards against a table that is built again with each report of each server which has started, where nothing depends on
// its cold time, and against a cold time that goes unnoticed where something does.
func TestColdTimeRebuildsTable(t *testing.T) {
	for name, rate := range map[string]float64{"no limit": 0, "a limit": 12} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewReplica()
			s.Merge(jaypitch.MeshUpdate{Revision: 1, Config: &schema.MeshConfig{Version: 1, Services: []string{"x"}, ServiceLimits: []*schema.MeshServiceLimits{{Service: "x", ColdUs: 3e6, ColdRate: rate}}},
				Servers: []*schema.MeshServer{{Id: "i-1", Service: "x", Address: "10.0.0.1:1", Slots: 1, ColdUs: 3e6, Revision: 1}}}, time.Now())
			before := s.Table()
			s.Merge(jaypitch.MeshUpdate{Revision: 2, Servers: []*schema.MeshServer{{Id: "i-1", Service: "x", Address: "10.0.0.1:1", Slots: 1, ColdUs: 2e6, Revision: 2}}}, time.Now())
			is.Equal(s.Table() != before, rate > 0)
		})
	}
}
