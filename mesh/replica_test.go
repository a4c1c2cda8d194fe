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
		u, e := b.UpdateFrom(a.ChangesSince(b.Revision(), b.Table().Version))
		is.True(e == nil)
		b.Merge(u, now)
		is.Equal(b.Revision(), a.Revision())
		is.Equal(b.Table().Version, a.Table().Version)
	}
	syncReplicas()
	assertInUse(t, b, "a")
	a.Merge(jaypitch.MeshUpdate{Revision: 8, Config: config(7, "/b/", "/c/"), Servers: []*schema.MeshServer{tombstone("a", 8)}}, now)
	response := a.ChangesSince(b.Revision(), b.Table().Version)
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
	u, e := old.UpdateFrom(fresh.ChangesSince(old.Revision(), old.Table().Version))
	is.True(e == nil)
	old.Merge(u, now)
	is.Equal(old.Revision(), int64(22))
	assertInUse(t, old, "b")
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
		is.True(!s.ChangesSince(0, 0).GetServers()[0].GetDraining())
	})
}
