package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jaypitch/jaypitch"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// failer is the common part of testing.T and rapid.T.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// team returns the settings of a team with one service, NAME_service. Each route is given as ROUTE>SERVICE.
func team(name string, revision int64, routes ...string) jaypitch.Document {
	text := fmt.Sprintf("[team]\nname = %s\n[rank urgent]\norder = 1\n[service %s_service]\ndeadline = 1s\n[customer meadow]\n", name, name)
	for _, r := range routes {
		route, service, _ := strings.Cut(r, ">")
		text += fmt.Sprintf("[route %s]\nservice = %s\nrank = urgent\ncustomers = *\n", route, service)
	}
	return jaypitch.NewDocument(jaypitch.TeamPrefix+name, revision, []byte(text))
}

// hosts returns the host list of a data centre. Each entry is given as HOST>SERVICE or HOST>SERVICE!STATE.
func hosts(dc string, revision int64, entries ...string) jaypitch.Document {
	text := ""
	for i, e := range entries {
		name, service, _ := strings.Cut(e, ">")
		service, state, ok := strings.Cut(service, "!")
		if !ok {
			state = "live"
		}
		text += fmt.Sprintf("[host %s]\nservice = %s\naddress = 127.0.%d.%d:7002\nstate = %s\n", name, service, len(dc), i+1, state)
	}
	return jaypitch.NewDocument(jaypitch.HostListPrefix+dc, revision, []byte(text))
}

func invalidTeam(name string, revision int64) jaypitch.Document {
	return jaypitch.NewDocument(jaypitch.TeamPrefix+name, revision, []byte("[team]\nname = "+name+"\n[rank urgent]\norder = soon\n"))
}

func stateOf(docs ...jaypitch.Document) *State {
	s := NewState()
	for _, d := range docs {
		s.Merge(d, epoch)
	}
	return s
}

// assertConsistent checks that every route of a table refers to a service and to live hosts of the same table.
func assertConsistent(t failer, table *Table) {
	t.Helper()
	for name, tt := range table.Teams {
		for _, r := range tt.Routes {
			if table.Services[r.Service.Name] != r.Service {
				t.Fatalf("route %s/%s refers to a service that is not in the table", name, r.Name)
			}
			if len(r.Service.Hosts) == 0 {
				t.Fatalf("route %s/%s has no host", name, r.Name)
			}
			for _, h := range r.Service.Hosts {
				if !table.Contains(h) || h.Draining {
					t.Fatalf("route %s/%s refers to host %s, which is not a live host of the table", name, r.Name, h.Name)
				}
			}
		}
	}
}

// assertEqual checks that two tables have the same content.
func assertEqual(t failer, a, b *Table) {
	t.Helper()
	if x, y := describe(a), describe(b); x != y {
		t.Fatalf("tables differ:\n%s\n---\n%s", x, y)
	}
}

func describe(t *Table) string {
	var b strings.Builder
	for _, h := range t.Hosts() {
		fmt.Fprintf(&b, "host %+v\n", *h)
	}
	for i := range 4 {
		name := fmt.Sprintf("team_%d", i)
		tt := t.Teams[name]
		if tt == nil {
			continue
		}
		fmt.Fprintf(&b, "team %s %d %s %t\n", name, tt.Revision, tt.Digest, tt.Deleted)
		for j := range 4 {
			route := fmt.Sprintf("r%d", j)
			if r := tt.Routes[route]; r != nil {
				fmt.Fprintf(&b, "route %s %s owner %s deadline %d:", route, r.Service.Name, r.Service.Team, r.DeadlineUS)
				for _, h := range r.Service.Hosts {
					fmt.Fprintf(&b, " %s@%s", h.Name, h.Address)
				}
				b.WriteString("\n")
			}
			if e := tt.Withdrawn[route]; e != nil {
				fmt.Fprintf(&b, "withdrawn %s %s\n", route, e)
			}
		}
	}
	return b.String()
}

func TestMerge(t *testing.T) {
	one, two := team("team_0", 1), team("team_0", 2, "r0>team_0_service")
	other := team("team_0", 2, "r1>team_0_service")
	greater, lesser := two, other
	if strings.Compare(string(other.Digest[:]), string(two.Digest[:])) > 0 {
		greater, lesser = other, two
	}
	cases := []struct {
		name     string
		before   []jaypitch.Document
		merge    jaypitch.Document
		outcome  Outcome
		revision int64
	}{
		{"first", nil, one, Accepted, 1},
		{"newer", []jaypitch.Document{one}, two, Accepted, 2},
		{"older", []jaypitch.Document{two}, one, Older, 2},
		{"same", []jaypitch.Document{two}, two, Same, 2},
		{"bad", []jaypitch.Document{one}, invalidTeam("team_0", 2), Refused, 1},
		{"older and invalid", []jaypitch.Document{two}, invalidTeam("team_0", 1), Older, 2},
		{"two contents, greater digest", []jaypitch.Document{lesser}, greater, Accepted, 2},
		{"two contents, lesser digest", []jaypitch.Document{greater}, lesser, Conflicting, 2},
		{"tombstone", []jaypitch.Document{two}, jaypitch.NewTombstone(two.Key, 3), Accepted, 3},
		{"older than the tombstone", []jaypitch.Document{jaypitch.NewTombstone(two.Key, 3)}, two, Older, 3},
		{"created again after the tombstone", []jaypitch.Document{jaypitch.NewTombstone(two.Key, 3)}, team("team_0", 4), Accepted, 4},
		{"another team's name", nil, jaypitch.NewDocument("teams/team_1", 5, one.Text), Refused, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := stateOf(c.before...)
			is.Equal(s.Merge(c.merge, epoch), c.outcome)
			is.Equal(s.Entry(c.merge.Key).Document.Revision, c.revision)
		})
	}
}

func TestRefusal(t *testing.T) {
	t.Run("does not block other teams and is in the version", func(t *testing.T) {
		is := is.New(t)
		s := stateOf(team("team_0", 1), invalidTeam("team_0", 2), team("team_1", 3))
		v := s.Entry("teams/team_0").Version()
		is.Equal(v.GetRevision(), int64(1))
		is.Equal(v.GetRefusedRevision(), int64(2))
		is.Equal(jaypitch.Code(v.GetRefusedCode()), jaypitch.CodeWrongType)
		is.True(strings.Contains(v.GetRefusedReason(), `section "rank urgent" key "order"`))
		is.Equal(s.Entry("teams/team_1").Document.Revision, int64(3))
	})
	t.Run("ends with the next valid revision", func(t *testing.T) {
		is := is.New(t)
		s := stateOf(team("team_0", 1), invalidTeam("team_0", 2), team("team_0", 3))
		is.True(s.Entry("teams/team_0").Refused == nil)
	})
	t.Run("is not newer when a peer announces it", func(t *testing.T) {
		is := is.New(t)
		d := invalidTeam("team_0", 2)
		s := stateOf(team("team_0", 1), d)
		v := s.Entry("teams/team_0").Version()
		v.Revision, v.Digest = 2, d.Digest[:]
		is.True(!s.IsNewer(v))
	})
}

// generateDocument generates a document of one of a few teams and data centres, so that several documents share a key.
func generateDocument(t *rapid.T) jaypitch.Document {
	revision := rapid.Int64Range(1, 12).Draw(t, "revision")
	i := rapid.IntRange(0, 3).Draw(t, "index")
	name := fmt.Sprintf("team_%d", i)
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return jaypitch.NewTombstone(jaypitch.TeamPrefix+name, revision)
	case 1:
		return invalidTeam(name, revision)
	case 2, 3, 4, 5:
		n := rapid.IntRange(0, 3).Draw(t, "routes")
		var routes []string
		for j := range n {
			routes = append(routes, fmt.Sprintf("r%d>team_%d_service", j, rapid.IntRange(0, 4).Draw(t, "service")))
		}
		return team(name, revision, routes...)
	}
	var entries []string
	for j := range rapid.IntRange(0, 4).Draw(t, "hosts") {
		state := rapid.SampledFrom([]string{"live", "leaving"}).Draw(t, "state")
		entries = append(entries, fmt.Sprintf("h%d>team_%d_service!%s", j, rapid.IntRange(0, 3).Draw(t, "host service"), state))
	}
	return hosts(fmt.Sprintf("dc%d", i), revision, entries...)
}

// TestMergeOrder checks that documents merged in another order, with duplicates, give the same digest and table.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		docs := rapid.SliceOfN(rapid.Custom(generateDocument), 1, 24).Draw(t, "documents")
		order := rapid.Permutation(append(docs, docs...)).Draw(t, "order")
		a, b := stateOf(docs...), stateOf(order...)
		if a.Digest() != b.Digest() {
			t.Fatalf("digests differ: %x and %x", a.Digest(), b.Digest())
		}
		assertEqual(t, Build(a, nil), Build(b, nil))
	})
}

// TestIncrementalBuild checks after each change that a table built on the previous one has the same content as one built without
// it, that its routes refer to its own services and hosts, and that no team returns to an earlier revision.
func TestIncrementalBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		var table *Table
		for _, d := range rapid.SliceOfN(rapid.Custom(generateDocument), 1, 24).Draw(t, "documents") {
			s.Merge(d, epoch)
			next := Build(s, table)
			assertConsistent(t, next)
			assertEqual(t, next, Build(s, nil))
			if table != nil {
				for name, tt := range table.Teams {
					if now := next.Teams[name]; now == nil || now.Revision < tt.Revision {
						t.Fatalf("team %s returned to a revision before %d", name, tt.Revision)
					}
				}
			}
			table = next
		}
	})
}

// TestIncrementalParse checks that a host list that reuses sections of the previous one has the same content as one parsed alone.
func TestIncrementalParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) string {
			lines := rapid.SliceOfN(rapid.SampledFrom([]string{"[host a]\n", "[host b]\n", "service = s\n", "address = 127.0.0.1:1\n",
				"address = 127.0.0.2:1\n", "state = leaving\n", "; note\n", "\n", "state = gone\n"}), 0, 9).Draw(t, "lines")
			return strings.Join(lines, "")
		}), 2, 4).Draw(t, "texts")
		var previous *HostDocument
		for _, text := range texts {
			shared, problems := parseHosts("f", []byte(text), previous)
			alone, want := ParseHosts("f", []byte(text))
			if (len(problems) == 0) != (len(want) == 0) {
				t.Fatalf("text %q: problems %v with a previous list, %v alone", text, problems, want)
			}
			if len(problems) > 0 {
				continue
			}
			assertEqual(t, tableOf(shared), tableOf(alone))
			previous = shared
		}
	})
}

func tableOf(d *HostDocument) *Table {
	c := newDataCentre(&Entry{Document: jaypitch.Document{Key: "hosts/dc"}}, d, nil)
	return &Table{DataCentres: map[string]*DataCentre{"dc": c}}
}

func TestReferences(t *testing.T) {
	service := hosts("dc0", 1, "h0>team_1_service")
	cases := []struct {
		name string
		docs []jaypitch.Document
		code jaypitch.Code
	}{
		{"service of another team", []jaypitch.Document{team("team_0", 1, "r0>team_1_service"), team("team_1", 1), service}, jaypitch.CodeOK},
		{"team removed", []jaypitch.Document{team("team_0", 1, "r0>team_1_service"), jaypitch.NewTombstone("teams/team_1", 2), service}, jaypitch.CodeNoService},
		{"no host", []jaypitch.Document{team("team_0", 1, "r0>team_1_service"), team("team_1", 1)}, jaypitch.CodeNoHosts},
		{"host draining", []jaypitch.Document{team("team_0", 1, "r0>team_1_service"), team("team_1", 1), hosts("dc0", 2, "h0>team_1_service!leaving")}, jaypitch.CodeNoHosts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := Build(stateOf(c.docs...), nil)
			assertConsistent(t, table)
			if c.code == jaypitch.CodeOK {
				is.True(table.Teams["team_0"].Routes["r0"] != nil)
				return
			}
			is.Equal(table.Teams["team_0"].Withdrawn["r0"].Code, c.code)
			_, e := table.Route("team_0", "r0", "meadow")
			is.Equal(e.Code, jaypitch.CodeRouteWithdrawn)
		})
	}
}

func TestPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{"[a]\nx = 1\n", "[b]\n", "\n[c]\ny = 2\n", "z", "", "\n"})
		base := strings.Join(rapid.SliceOfN(part, 0, 8).Draw(t, "base"), "")
		text := strings.Join(rapid.SliceOfN(part, 0, 8).Draw(t, "text"), "")
		got, err := Patch([]byte(base), Diff([]byte(base), []byte(text)), jaypitch.DigestOf([]byte(text)))
		if err != nil || string(got) != text {
			t.Fatalf("Patch of base %q returned %q, %v; want %q", base, got, err, text)
		}
	})
}

func TestPatchErrors(t *testing.T) {
	base, text := []byte("[a]\nx = 1\n[b]\n"), []byte("[a]\nx = 2\n[b]\n")
	pieces := Diff(base, text)
	t.Run("missing piece", func(t *testing.T) {
		_, err := Patch(base, pieces[:1], jaypitch.DigestOf(text))
		is.New(t).True(err != nil)
	})
	t.Run("wrong base", func(t *testing.T) {
		_, err := Patch([]byte("[c]\n"), pieces, jaypitch.DigestOf(text))
		is.New(t).True(err != nil)
	})
	t.Run("copy out of range", func(t *testing.T) {
		pieces[len(pieces)-1].CopyFrom = 1 << 30
		_, err := Patch(base, pieces, jaypitch.DigestOf(text))
		is.New(t).True(err != nil)
	})
}

// FuzzParse checks that a host list is accepted or refused alike with and without a previous list, and that the table of any
// accepted text is consistent. Two seeds contain multi-line markers, after which a line may look like a section header.
func FuzzParse(f *testing.F) {
	f.Add(string(team("team_0", 1, "r0>team_0_service").Text))
	f.Add(string(hosts("dc0", 1, "h0>team_0_service").Text))
	f.Add("[team]\nname = \"\"\"\n[host x]\n\"\"\"")
	f.Add("[host `]\n\\\n[")
	f.Fuzz(func(t *testing.T, text string) {
		d := jaypitch.NewDocument("hosts/dc", 1, []byte(text))
		alone := stateOf(d, jaypitch.NewDocument("teams/team_0", 1, []byte(text)))
		afterOther := stateOf(hosts("dc", 1, "h0>s"), jaypitch.NewDocument("hosts/dc", 2, []byte(text)))
		a, b := alone.Entry("hosts/dc").Document.Revision == 1, afterOther.Entry("hosts/dc").Document.Revision == 2
		if a != b {
			t.Fatalf("text %q is accepted as the first list: %t, after another list: %t", text, a, b)
		}
		assertConsistent(t, Build(alone, nil))
	})
}
