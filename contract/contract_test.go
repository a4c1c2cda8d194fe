// Package contract holds both adapters of a platform to one table of promises.
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

// feed is what the table asks of an adapter and of its stand-in.
type feed interface {
	put(name string) int64
	remove(name string) int64
	compact()
	down(down bool)
	// read returns the names of all entries; watch those that changed after a revision, and those that are gone.
	read(ctx context.Context) (names []string, revision int64, err error)
	watch(ctx context.Context, after int64, deadline time.Time) (names, gone []string, revision int64, err error)
}

// own is the product's own source, with subtrees of teams as entries.
type own struct {
	platform *standin.Platform
	client   *source.Client
}

// users is the users' platform, with servers as entries.
type users struct {
	store  *standin.Store
	client *platform.Client
}

var errCompacted = errors.New("compacted")

func (o *own) put(name string) int64 {
	return o.platform.Put("teams", "teams/"+name, []byte("[team]\nname = "+name+"\n"))
}

func (o *own) remove(name string) int64 { return o.platform.Delete("teams", "teams/"+name) }

func (o *own) compact() { o.platform.Compact() }

func (o *own) down(down bool) { o.platform.SetFault(standin.Fault{Down: down}) }

func (o *own) read(ctx context.Context) ([]string, int64, error) {
	c, err := o.client.List(ctx)
	names, _ := split(c.Documents)
	return names, c.Revision, err
}

func (o *own) watch(ctx context.Context, after int64, deadline time.Time) ([]string, []string, int64, error) {
	c, err := o.client.Watch(ctx, after, deadline)
	if c.Compacted {
		return nil, nil, 0, errCompacted
	}
	names, gone := split(c.Documents)
	return names, gone, c.Revision, err
}

func split(documents []jaypitch.Document) (names, gone []string) {
	for _, d := range documents {
		if d.Deleted {
			gone = append(gone, jaypitch.TeamOfKey(d.Key))
		} else {
			names = append(names, jaypitch.TeamOfKey(d.Key))
		}
	}
	return names, gone
}

func (u *users) put(name string) int64 {
	return u.store.PutServer(name, "10.0.0.1:80", "x", "ready", 4)
}

func (u *users) remove(name string) int64 { return u.store.RemoveServer(name) }

func (u *users) compact() { u.store.Compact() }

func (u *users) down(down bool) {
	f := standin.StoreFault{}
	if down {
		f.Status = 503
	}
	u.store.SetFault(f)
}

func (u *users) read(ctx context.Context) ([]string, int64, error) {
	m, err := u.client.Read(ctx)
	names, _ := servers(m)
	return names, m.Revision, err
}

func (u *users) watch(ctx context.Context, after int64, deadline time.Time) ([]string, []string, int64, error) {
	m, err := u.client.Watch(ctx, after, deadline)
	if errors.Is(err, jaypitch.ErrCompacted) {
		return nil, nil, 0, errCompacted
	}
	names, gone := servers(m)
	return names, gone, m.Revision, err
}

func servers(m jaypitch.MeshUpdate) (names, gone []string) {
	for _, v := range m.Servers {
		if v.GetGone() {
			gone = append(gone, v.GetId())
		} else {
			names = append(names, v.GetId())
		}
	}
	return names, gone
}

// feeds makes both adapters, each with its stand-in.
func feeds(t *testing.T) map[string]feed {
	t.Helper()
	p, s := standin.NewPlatform(1<<20), standin.NewStore(1<<20, 2)
	hp, hs := httptest.NewServer(p), httptest.NewServer(s)
	t.Cleanup(hp.Close)
	t.Cleanup(hs.Close)
	return map[string]feed{
		"own":   &own{p, source.NewClient(strings.TrimPrefix(hp.URL, "http://"), source.Teams, time.Now)},
		"users": &users{s, platform.NewClient(strings.TrimPrefix(hs.URL, "http://"), time.Now, func(*jaypitch.Error) {})},
	}
}

func TestBothAdapters(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name string
		run  func(is *is.I, f feed)
	}{
		{"a read tells all entries, whatever the page", func(is *is.I, f feed) {
			f.put("a")
			f.put("b")
			last := f.put("c")
			names, revision, err := f.read(ctx)
			is.NoErr(err)
			slices.Sort(names)
			is.Equal(names, []string{"a", "b", "c"})
			is.Equal(revision, last)
		}},
		{"a watch tells what changed after a revision, and what is gone", func(is *is.I, f feed) {
			f.put("a")
			from := f.put("b")
			f.put("c")
			last := f.remove("a")
			names, gone, revision, err := f.watch(ctx, from, time.Now().Add(time.Minute))
			is.NoErr(err)
			is.Equal(names, []string{"c"})
			is.Equal(gone, []string{"a"})
			is.Equal(revision, last)
		}},
		{"a watch without news ends at its deadline with the same revision", func(is *is.I, f feed) {
			from := f.put("a")
			names, gone, revision, err := f.watch(ctx, from, time.Now())
			is.NoErr(err)
			is.Equal(len(names)+len(gone), 0)
			is.Equal(revision, from)
		}},
		{"a watch from before the history says so", func(is *is.I, f feed) {
			from := f.put("a")
			f.put("b")
			f.compact()
			_, _, _, err := f.watch(ctx, from, time.Now())
			is.Equal(err, errCompacted)
		}},
		{"a platform that is down is a failure, never an empty answer", func(is *is.I, f feed) {
			from := f.put("a")
			f.down(true)
			_, _, err := f.read(ctx)
			is.True(err != nil)
			_, _, _, err = f.watch(ctx, from, time.Now())
			is.True(err != nil && !errors.Is(err, errCompacted))
			f.down(false)
			names, _, err := f.read(ctx)
			is.NoErr(err)
			is.Equal(names, []string{"a"})
		}},
	} {
		for name, f := range feeds(t) {
			t.Run(name+": "+c.name, func(t *testing.T) { c.run(is.New(t), f) })
		}
	}
}
