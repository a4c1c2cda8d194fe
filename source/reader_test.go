package source

import (
	"context"
	"io"
	"net/http"
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

const settingsText = "[team]\nname = fairs\n"

// TestLongHead guards against a head of the platform's response that is kept however long it is.
func TestLongHead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 2*maxHeadBytes))
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	_, err := NewClient(strings.TrimPrefix(server.URL, "http://"), Teams, time.Now).List(context.Background())
	is.New(t).True(err != nil)
}

// TestClientContract checks the contract of jaypitch.Source with the client and the stand-in platform over HTTP.
func TestClientContract(t *testing.T) {
	p := standin.NewPlatform(1 << 20)
	server := httptest.NewServer(p)
	defer server.Close()
	c := NewClient(strings.TrimPrefix(server.URL, "http://"), Teams, time.Now)
	ctx := context.Background()
	soon := func() time.Time { return time.Now().Add(time.Millisecond) }

	t.Run("list returns keys and revisions without texts", func(t *testing.T) {
		is := is.New(t)
		p.Put("teams", "teams/fairs", []byte(settingsText))
		l, err := c.List(ctx)
		is.NoErr(err)
		is.Equal(len(l.Documents), 1)
		is.Equal(l.Documents[0].Revision, int64(1))
		is.Equal(len(l.Documents[0].Text), 0)
	})
	t.Run("get returns the text", func(t *testing.T) {
		is := is.New(t)
		d, err := c.Get(ctx, "teams/fairs")
		is.NoErr(err)
		is.Equal(d, jaypitch.NewDocument("teams/fairs", 1, []byte(settingsText)))
	})
	t.Run("watch without a change returns at its deadline", func(t *testing.T) {
		is := is.New(t)
		w, err := c.Watch(ctx, 1, soon())
		is.NoErr(err)
		is.Equal(w.Revision, int64(1))
		is.Equal(len(w.Documents), 0)
	})
	t.Run("watch returns tombstones", func(t *testing.T) {
		is := is.New(t)
		p.Delete("teams", "teams/fairs")
		w, err := c.Watch(ctx, 1, soon())
		is.NoErr(err)
		is.Equal(w.Documents, []jaypitch.Document{jaypitch.NewTombstone("teams/fairs", 2)})
	})
	t.Run("watch after compaction sets Compacted", func(t *testing.T) {
		is := is.New(t)
		p.Compact()
		w, err := c.Watch(ctx, 1, soon())
		is.NoErr(err)
		is.True(w.Compacted)
	})
	t.Run("unavailable source returns an error", func(t *testing.T) {
		is := is.New(t)
		p.SetFault(standin.Fault{Down: true})
		_, err := c.List(ctx)
		is.True(err != nil)
	})
}

// fakeSource is an in-memory source on the test's virtual clock.
type fakeSource struct {
	mu        sync.Mutex
	values    map[string]jaypitch.Document
	revision  int64
	compacted bool
	err       error
	requests  []time.Time
}

func (s *fakeSource) put(d jaypitch.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	d.Revision = s.revision
	s.values[d.Key] = d
}

func (s *fakeSource) update(f func(s *fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeSource) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// changesAfter counts a request and returns the documents that are newer than a revision.
func (s *fakeSource) changesAfter(after int64) (jaypitch.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, time.Now())
	c := jaypitch.Changes{Revision: s.revision, Compacted: s.compacted && after > 0}
	for _, d := range s.values {
		if d.Revision > after {
			c.Documents = append(c.Documents, d)
		}
	}
	return c, s.err
}

func (s *fakeSource) Watch(ctx context.Context, after int64, deadline time.Time) (jaypitch.Changes, error) {
	c, err := s.changesAfter(after)
	if err == nil && len(c.Documents) == 0 && c.Revision >= after && !c.Compacted {
		_ = jaypitch.Sleep(ctx, min(time.Second, time.Until(deadline)))
		if ctx.Err() != nil {
			return c, ctx.Err()
		}
		c, err = s.changesAfter(after)
		s.update(func(s *fakeSource) { s.requests = s.requests[:len(s.requests)-1] }) // a watch that waits counts as one request
	}
	return c, err
}

func (s *fakeSource) List(context.Context) (jaypitch.Changes, error) {
	c, err := s.changesAfter(0)
	for i := range c.Documents {
		c.Documents[i].Text = nil
	}
	return c, err
}

func (s *fakeSource) Get(_ context.Context, key string) (jaypitch.Document, error) {
	_, err := s.changesAfter(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], err
}

// withReader runs a test with a running reader on a virtual clock, 5 s after its start.
func withReader(t *testing.T, assignment Assignment, test func(t *testing.T, s *fakeSource, replica *settings.Replica, r *Reader)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{values: map[string]jaypitch.Document{}}
		s.put(jaypitch.NewDocument("teams/fairs", 0, []byte(settingsText)))
		replica := settings.NewReplica(time.Now)
		r := NewReader(s, jaypitch.TeamPrefix, replica, func() Assignment { return assignment }, time.Now, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		time.Sleep(5 * time.Second)
		test(t, s, replica, r)
	})
}

// replicaState returns the document's revision in the replica and whether it is deleted.
func replicaState(replica *settings.Replica) (int64, bool) {
	e, _ := replica.Entry("teams/fairs")
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
		{"change", func(s *fakeSource) { s.put(jaypitch.NewDocument("teams/fairs", 0, []byte(settingsText+";\n"))) }, 2, false, nil},
		{"deletion", func(s *fakeSource) { s.put(jaypitch.NewTombstone("teams/fairs", 0)) }, 2, true, nil},
		{"deletion in compacted history", func(s *fakeSource) {
			s.update(func(s *fakeSource) { s.values, s.revision, s.compacted = map[string]jaypitch.Document{}, 9, true })
		}, 9, true, nil},
		{"source returns older revisions", func(s *fakeSource) {
			s.put(jaypitch.NewDocument("teams/fairs", 0, []byte(settingsText+";\n")))
			time.Sleep(5 * time.Second)
			s.update(func(s *fakeSource) {
				s.values, s.revision = map[string]jaypitch.Document{"teams/fairs": jaypitch.NewDocument("teams/fairs", 1, []byte(settingsText))}, 1
			})
		}, 2, false, func(is *is.I, st Status) {
			is.True(st.Behind)
			is.True(strings.Contains(st.Error, "311 source_behind"))
		}},
		{"source unavailable", func(s *fakeSource) { s.update(func(s *fakeSource) { s.err = &StatusError{503} }) }, 1, false, func(is *is.I, st Status) {
			is.True(st.Failing)
		}},
		{"source available again", func(s *fakeSource) {
			s.update(func(s *fakeSource) { s.err = &StatusError{503} })
			time.Sleep(time.Minute)
			s.update(func(s *fakeSource) { s.err = nil })
			s.put(jaypitch.NewDocument("teams/fairs", 0, []byte(settingsText+";\n")))
		}, 2, false, func(is *is.I, st Status) { is.True(!st.Failing) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withReader(t, reads, func(t *testing.T, s *fakeSource, replica *settings.Replica, r *Reader) {
				is := is.New(t)
				c.act(s)
				time.Sleep(maxBackoff + 2*time.Second)
				revision, deleted := replicaState(replica)
				is.Equal(revision, c.revision)
				is.Equal(deleted, c.deleted)
				if c.check != nil {
					c.check(is, r.Status())
				}
			})
		})
	}
}

func TestReaderRateLimit(t *testing.T) {
	t.Run("node that is not assigned sends no request", func(t *testing.T) {
		withReader(t, Assignment{RequestsPerSecond: 20}, func(t *testing.T, s *fakeSource, _ *settings.Replica, _ *Reader) {
			is.New(t).Equal(s.requestCount(), 0)
		})
	})
	t.Run("continuous changes stay within the rate limit", func(t *testing.T) {
		withReader(t, Assignment{Reads: true, RequestsPerSecond: 2}, func(t *testing.T, s *fakeSource, _ *settings.Replica, _ *Reader) {
			before := s.requestCount()
			for range 1000 {
				s.put(jaypitch.NewDocument("teams/fairs", 0, []byte(settingsText)))
				time.Sleep(100 * time.Millisecond)
			}
			is.New(t).True(s.requestCount()-before <= 100+3) // one request per second for 100 s, and the burst
		})
	})
	t.Run("unavailable source is retried with increasing delays", func(t *testing.T) {
		withReader(t, Assignment{Reads: true, RequestsPerSecond: 100}, func(t *testing.T, s *fakeSource, _ *settings.Replica, _ *Reader) {
			s.update(func(s *fakeSource) { s.err = &StatusError{503} })
			time.Sleep(time.Minute)
			before := s.requestCount()
			time.Sleep(10 * time.Minute)
			is.New(t).True(s.requestCount()-before < 300)
		})
	})
}
