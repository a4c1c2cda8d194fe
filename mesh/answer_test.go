package mesh

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// TestAnswer guards against entries of other writers that hide a server at its address, and against an answer that outlasts the server.
func TestAnswer(t *testing.T) {
	entry := func(id, service string, revision int64, draining bool) *schema.MeshServer {
		return &schema.MeshServer{Id: id, Service: service, Address: "a:1", Slots: 4, Revision: revision, Draining: draining}
	}
	update := func(vs ...*schema.MeshServer) func(*Replica) {
		return func(s *Replica) { s.Merge(jaypitch.MeshUpdate{Servers: vs}, now) }
	}
	answer := func(expected, server string) func(*Replica) {
		return func(s *Replica) { s.RecordAnswer(Answer{Address: "a:1", Expected: expected, Server: server}, now) }
	}
	own, odd := entry("own", "x", 1, false), entry("odd", "x", 5, false)
	for name, c := range map[string]struct {
		events   []func(*Replica)
		inUse    []string
		answered int
	}{
		"the newest entry counts without an answer":                {nil, []string{"odd"}, 0},
		"the server that a refusal names counts":                   {[]func(*Replica){answer("odd", "own")}, []string{"own"}, 1},
		"the server that executed a request counts":                {[]func(*Replica){answer("own", "own")}, []string{"own"}, 1},
		"another answer replaces the one before":                   {[]func(*Replica){answer("odd", "own"), answer("own", "odd")}, []string{"odd"}, 1},
		"a heartbeat of the odd entry changes nothing":             {[]func(*Replica){answer("odd", "own"), update(entry("odd", "x", 6, false))}, []string{"own"}, 1},
		"a new entry ends the answer":                              {[]func(*Replica){answer("odd", "own"), update(entry("next", "x", 7, false))}, []string{"next"}, 0},
		"a change of the odd entry ends the answer":                {[]func(*Replica){answer("odd", "own"), update(entry("odd", "x", 7, true))}, []string{"own"}, 0},
		"the removal of the server ends the answer":                {[]func(*Replica){answer("odd", "own"), update(tombstone("own", 7))}, []string{"odd"}, 0},
		"a refusal that names no listed server ends the answer":    {[]func(*Replica){answer("odd", "own"), answer("own", "unlisted")}, []string{"odd"}, 0},
		"a refusal of another server that names none changes none": {[]func(*Replica){answer("odd", "own"), answer("odd", "")}, []string{"own"}, 1},
		"an unlisted server isn't recorded":                        {[]func(*Replica){answer("odd", "unlisted")}, []string{"odd"}, 0},
		"a draining entry hides no server":                         {[]func(*Replica){update(entry("odd", "x", 6, true))}, []string{"own"}, 0},
		"an entry of another service hides no server":              {[]func(*Replica){update(entry("odd", "y", 6, false))}, []string{"own"}, 0},
		"the answer of a draining server leaves none in use":       {[]func(*Replica){update(entry("own", "x", 6, true)), answer("odd", "own")}, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewReplica()
			update(own, odd)(s)
			for _, e := range c.events {
				e(s)
			}
			assertInUse(t, s, c.inUse...)
			_, answered := s.Table().Contested()
			is.Equal(answered, c.answered)
		})
	}
	t.Run("an address with one entry has no answer", func(t *testing.T) {
		is := is.New(t)
		s := NewReplica()
		update(own)(s)
		is.True(!s.RecordAnswer(Answer{Address: "a:1", Expected: "own", Server: "own"}, now))
		is.Equal(s.Table().Answering("a:1"), "")
	})
}
