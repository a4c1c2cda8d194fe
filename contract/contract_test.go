// Package contract runs one table of tests on both adapters of the platform's store: package source and package platform.
package contract

import (
	"context"
	"errors"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/source"
	"github.com/jaypitch/jaypitch/standin"
)

// adapter is a client of the platform's store together with the stand-in that it reads.
type adapter interface {
	put(name string) int64
	remove(name string) int64
	compact()
	down(down bool)
	// read returns the names of all entries and the store's revision. watch returns those that changed and those that were deleted
	// after a revision, or errCompacted.
	read(ctx context.Context) (names []string, revision int64, err error)
	watch(ctx context.Context, after int64, deadline time.Time) (names, deleted []string, revision int64, err error)
}

// nodeAdapter is the source of the node family. Its entries are the settings of teams.
type nodeAdapter struct {
	platform *standin.Platform
	client   *source.Client
}

// meshAdapter is the store of the sidecar family. Its entries are servers.
type meshAdapter struct {
	store  *standin.Store
	client *platform.Client
}

var errCompacted = errors.New("compacted")

func (n *nodeAdapter) put(name string) int64 {
	return n.platform.Put("teams", "teams/"+name, []byte("[team]\nname = "+name+"\n"))
}

func (n *nodeAdapter) remove(name string) int64 { return n.platform.Delete("teams", "teams/"+name) }

func (n *nodeAdapter) compact() { n.platform.Compact() }

func (n *nodeAdapter) down(down bool) { n.platform.SetFault(standin.Fault{Down: down}) }

func (n *nodeAdapter) read(ctx context.Context) ([]string, int64, error) {
	c, err := n.client.List(ctx)
	names, _ := namesOf(c.Documents)
	return names, c.Revision, err
}

func (n *nodeAdapter) watch(ctx context.Context, after int64, deadline time.Time) ([]string, []string, int64, error) {
	c, err := n.client.Watch(ctx, after, deadline)
	if c.Compacted {
		return nil, nil, 0, errCompacted
	}
	names, deleted := namesOf(c.Documents)
	return names, deleted, c.Revision, err
}

func namesOf(documents []jaypitch.Document) (names, deleted []string) {
	for _, d := range documents {
		if d.Deleted {
			deleted = append(deleted, jaypitch.TeamOfKey(d.Key))
		} else {
			names = append(names, jaypitch.TeamOfKey(d.Key))
		}
	}
	return names, deleted
}

func (m *meshAdapter) put(name string) int64 {
	return m.store.PutServer(name, "10.0.0.1:80", "x", "ready", 4)
}

func (m *meshAdapter) remove(name string) int64 { return m.store.RemoveServer(name) }

func (m *meshAdapter) compact() { m.store.Compact() }

func (m *meshAdapter) down(down bool) {
	f := standin.StoreFault{}
	if down {
		f.Status = 503
	}
	m.store.SetFault(f)
}

func (m *meshAdapter) read(ctx context.Context) ([]string, int64, error) {
	u, err := m.client.Read(ctx, func(jaypitch.MeshUpdate) bool { return true })
	names, _ := serverIDs(u)
	return names, u.Revision, err
}

func (m *meshAdapter) watch(ctx context.Context, after int64, deadline time.Time) ([]string, []string, int64, error) {
	u, err := m.client.Watch(ctx, after, deadline)
	if errors.Is(err, jaypitch.ErrCompacted) {
		return nil, nil, 0, errCompacted
	}
	names, deleted := serverIDs(u)
	return names, deleted, u.Revision, err
}

func serverIDs(u jaypitch.MeshUpdate) (names, deleted []string) {
	for _, v := range u.Servers {
		if v.GetGone() {
			deleted = append(deleted, v.GetId())
		} else {
			names = append(names, v.GetId())
		}
	}
	return names, deleted
}

// newAdapters returns both adapters, each with a stand-in of its own.
func newAdapters(t *testing.T) map[string]adapter {
	t.Helper()
	p, s := standin.NewPlatform(1<<20), standin.NewStore(1<<20, 2)
	platformServer, storeServer := httptest.NewServer(p), httptest.NewServer(s)
	t.Cleanup(platformServer.Close)
	t.Cleanup(storeServer.Close)
	return map[string]adapter{
		"node": &nodeAdapter{p, source.NewClient(strings.TrimPrefix(platformServer.URL, "http://"), source.Teams, time.Now)},
		"mesh": &meshAdapter{s, platform.NewClient(strings.TrimPrefix(storeServer.URL, "http://"), time.Now, func(*jaypitch.Error) {})},
	}
}

// TestBothAdapters guards against adapters that differ in what they return for lists, watches, compaction and failures.
func TestBothAdapters(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name string
		run  func(is *is.I, a adapter)
	}{
		{"a read returns all entries, also of several pages", func(is *is.I, a adapter) {
			a.put("a")
			a.put("b")
			last := a.put("c")
			names, revision, err := a.read(ctx)
			is.NoErr(err)
			slices.Sort(names)
			is.Equal(names, []string{"a", "b", "c"})
			is.Equal(revision, last)
		}},
		{"a watch returns the entries that changed or were deleted after a revision", func(is *is.I, a adapter) {
			a.put("a")
			from := a.put("b")
			a.put("c")
			last := a.remove("a")
			names, deleted, revision, err := a.watch(ctx, from, time.Now().Add(time.Minute))
			is.NoErr(err)
			is.Equal(names, []string{"c"})
			is.Equal(deleted, []string{"a"})
			is.Equal(revision, last)
		}},
		{"a watch without changes ends at its deadline with the same revision", func(is *is.I, a adapter) {
			from := a.put("a")
			names, deleted, revision, err := a.watch(ctx, from, time.Now())
			is.NoErr(err)
			is.Equal(len(names)+len(deleted), 0)
			is.Equal(revision, from)
		}},
		{"a watch after a compacted revision fails with errCompacted", func(is *is.I, a adapter) {
			from := a.put("a")
			a.put("b")
			a.compact()
			_, _, _, err := a.watch(ctx, from, time.Now())
			is.Equal(err, errCompacted)
		}},
		{"a platform that is down causes an error, never an empty response", func(is *is.I, a adapter) {
			from := a.put("a")
			a.down(true)
			_, _, err := a.read(ctx)
			is.True(err != nil)
			_, _, _, err = a.watch(ctx, from, time.Now())
			is.True(err != nil && !errors.Is(err, errCompacted))
			a.down(false)
			names, _, err := a.read(ctx)
			is.NoErr(err)
			is.Equal(names, []string{"a"})
		}},
	} {
		for name, a := range newAdapters(t) {
			t.Run(name+": "+c.name, func(t *testing.T) { c.run(is.New(t), a) })
		}
	}
}
