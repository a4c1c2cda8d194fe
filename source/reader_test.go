package source

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/settings"
	"github.com/jaypitch/jaypitch/standin"
)

const subtree = "[team]\nname = fairs\n"

// TestClientContract states what a source has to do, on the stand-in over HTTP.
func TestClientContract(t *testing.T) {
	p := standin.NewPlatform(1 << 20)
	server := httptest.NewServer(p)
	defer server.Close()
	c := NewClient(strings.TrimPrefix(server.URL, "http://"), Teams, time.Now)
	ctx := context.Background()
	soon := func() time.Time { return time.Now().Add(time.Millisecond) }

	t.Run("a list has keys and revisions and no texts", func(t *testing.T) {
		is := is.New(t)
		p.Put("teams", "teams/fairs", []byte(subtree))
		l, err := c.List(ctx)
		is.NoErr(err)
		is.Equal(len(l.Documents), 1)
		is.Equal(l.Documents[0].Revision, int64(1))
		is.Equal(len(l.Documents[0].Text), 0)
	})
	t.Run("a value has its text", func(t *testing.T) {
		is := is.New(t)
		d, err := c.Get(ctx, "teams/fairs")
		is.NoErr(err)
		is.Equal(d, jaypitch.NewDocument("teams/fairs", 1, []byte(subtree)))
	})
	t.Run("a watch without news ends at its deadline", func(t *testing.T) {
		is := is.New(t)
		w, err := c.Watch(ctx, 1, soon())
		is.NoErr(err)
		is.Equal(w.Revision, int64(1))
		is.Equal(len(w.Documents), 0)
	})
	t.Run("a watch tells deletions", func(t *testing.T) {
		is := is.New(t)
		p.Delete("teams", "teams/fairs")
		w, err := c.Watch(ctx, 1, soon())
		is.NoErr(err)
		is.Equal(w.Documents, []jaypitch.Document{jaypitch.NewTombstone("teams/fairs", 2)})
	})
	t.Run("a watch from before the history says so", func(t *testing.T) {
		is := is.New(t)
		p.Compact()
		w, err := c.Watch(ctx, 1, soon())
		is.NoErr(err)
		is.True(w.Compacted)
	})
	t.Run("a source that is down is an error", func(t *testing.T) {
		is := is.New(t)
		p.SetFault(standin.Fault{Down: true})
		_, err := c.List(ctx)
		is.True(err != nil)
	})
}

// fakeSource is a source that answers from memory, on the test's clock.
type fakeSource struct {
	mu        sync.Mutex
	values    map[string]jaypitch.Document
	revision  int64
	compacted bool
	fail      error
	calls     []time.Time
}

func (s *fakeSource) put(d jaypitch.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	d.Revision = s.revision
	s.values[d.Key] = d
}

func (s *fakeSource) set(f func(s *fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// look counts a call and returns the documents newer than a revision.
func (s *fakeSource) look(after int64) (jaypitch.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, time.Now())
	c := jaypitch.Changes{Revision: s.revision, Compacted: s.compacted && after > 0}
	for _, d := range s.values {
		if d.Revision > after {
			c.Documents = append(c.Documents, d)
		}
	}
	return c, s.fail
}

func (s *fakeSource) Watch(ctx context.Context, after int64, deadline time.Time) (jaypitch.Changes, error) {
	c, err := s.look(after)
	if err == nil && len(c.Documents) == 0 && c.Revision >= after && !c.Compacted {
		_ = jaypitch.Sleep(ctx, min(time.Second, time.Until(deadline)))
		if ctx.Err() != nil {
			return c, ctx.Err()
		}
		c, err = s.look(after)
		s.set(func(s *fakeSource) { s.calls = s.calls[:len(s.calls)-1] }) // a waiting watch counts as one call
	}
	return c, err
}

func (s *fakeSource) List(context.Context) (jaypitch.Changes, error) {
	c, err := s.look(0)
	for i := range c.Documents {
		c.Documents[i].Text = nil
	}
	return c, err
}

func (s *fakeSource) Get(_ context.Context, key string) (jaypitch.Document, error) {
	_, err := s.look(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], err
}

// withReader runs a test on a reader with the duty to read, on a virtual clock.
func withReader(t *testing.T, duty Assignment, test func(t *testing.T, s *fakeSource, store *settings.Replica, r *Reader)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{values: map[string]jaypitch.Document{}}
		s.put(jaypitch.NewDocument("teams/fairs", 0, []byte(subtree)))
		store := settings.NewReplica(time.Now)
		r := NewReader(s, jaypitch.TeamPrefix, store, func() Assignment { return duty }, time.Now, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		time.Sleep(5 * time.Second)
		test(t, s, store, r)
	})
}

func held(store *settings.Replica) (int64, bool) {
	e, _ := store.Entry("teams/fairs")
	return e.Document.Revision, e.Document.Deleted
}

func TestReader(t *testing.T) {
	reads := Assignment{Reads: true, RequestsPerSecond: 20}
	cases := []struct {
		name     string
		act      func(s *fakeSource)
		revision int64
		deleted  bool
		check    func(is *is.I, st Status)
	}{
		{"first read", func(*fakeSource) {}, 1, false, func(is *is.I, st Status) { is.True(!st.Failing) }},
		{"change", func(s *fakeSource) { s.put(jaypitch.NewDocument("teams/fairs", 0, []byte(subtree+";\n"))) }, 2, false, nil},
		{"deletion", func(s *fakeSource) { s.put(jaypitch.NewTombstone("teams/fairs", 0)) }, 2, true, nil},
		{"deletion that the history has lost", func(s *fakeSource) {
			s.set(func(s *fakeSource) { s.values, s.revision, s.compacted = map[string]jaypitch.Document{}, 9, true })
		}, 9, true, nil},
		{"source goes back", func(s *fakeSource) {
			s.put(jaypitch.NewDocument("teams/fairs", 0, []byte(subtree+";\n")))
			time.Sleep(5 * time.Second)
			s.set(func(s *fakeSource) {
				s.values, s.revision = map[string]jaypitch.Document{"teams/fairs": jaypitch.NewDocument("teams/fairs", 1, []byte(subtree))}, 1
			})
		}, 2, false, func(is *is.I, st Status) {
			is.True(st.Behind)
			is.True(strings.Contains(st.Error, "311 source_behind"))
		}},
		{"source down", func(s *fakeSource) { s.set(func(s *fakeSource) { s.fail = &StatusError{503} }) }, 1, false, func(is *is.I, st Status) {
			is.True(st.Failing)
		}},
		{"source back", func(s *fakeSource) {
			s.set(func(s *fakeSource) { s.fail = &StatusError{503} })
			time.Sleep(time.Minute)
			s.set(func(s *fakeSource) { s.fail = nil })
			s.put(jaypitch.NewDocument("teams/fairs", 0, []byte(subtree+";\n")))
		}, 2, false, func(is *is.I, st Status) { is.True(!st.Failing) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withReader(t, reads, func(t *testing.T, s *fakeSource, store *settings.Replica, r *Reader) {
				is := is.New(t)
				c.act(s)
				time.Sleep(maxBackoff + 2*time.Second)
				revision, deleted := held(store)
				is.Equal(revision, c.revision)
				is.Equal(deleted, c.deleted)
				if c.check != nil {
					c.check(is, r.Status())
				}
			})
		})
	}
}

func TestReaderBudget(t *testing.T) {
	t.Run("a node without the duty makes no call", func(t *testing.T) {
		withReader(t, Assignment{RequestsPerSecond: 20}, func(t *testing.T, s *fakeSource, _ *settings.Replica, _ *Reader) {
			is.New(t).Equal(s.count(), 0)
		})
	})
	t.Run("changes without end don't break the budget", func(t *testing.T) {
		withReader(t, Assignment{Reads: true, RequestsPerSecond: 2}, func(t *testing.T, s *fakeSource, _ *settings.Replica, _ *Reader) {
			before := s.count()
			for range 1000 {
				s.put(jaypitch.NewDocument("teams/fairs", 0, []byte(subtree)))
				time.Sleep(100 * time.Millisecond)
			}
			is.New(t).True(s.count()-before <= 100+3) // one a second for 100 s, and the burst
		})
	})
	t.Run("a source that is down is asked less and less", func(t *testing.T) {
		withReader(t, Assignment{Reads: true, RequestsPerSecond: 100}, func(t *testing.T, s *fakeSource, _ *settings.Replica, _ *Reader) {
			s.set(func(s *fakeSource) { s.fail = &StatusError{503} })
			time.Sleep(time.Minute)
			before := s.count()
			time.Sleep(10 * time.Minute)
			is.New(t).True(s.count()-before < 300)
		})
	})
}
