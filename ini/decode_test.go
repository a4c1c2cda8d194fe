package ini

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

const goodTeam = "[team]\nname = fairs\n[rank urgent]\norder = 1\n[service entry]\n[customer meadow]\n[route filing]\nservice = entry\nrank = urgent\ncustomers = meadow, *\ndeadline = 250ms\n"

func TestDecode(t *testing.T) {
	is := is.New(t)
	m := &schema.TeamSettings{}
	is.Equal(len(Decode("f", []byte(goodTeam), m)), 0)
	is.True(proto.Equal(m, &schema.TeamSettings{Team: &schema.TeamSection{Name: "fairs"},
		Rank:     []*schema.RankSection{{Name: "urgent", Order: 1, FloorPercent: 5, Worth: 1, TargetUs: 250000, ObjectivePermille: 990, Queue: 64}},
		Service:  []*schema.ServiceSection{{Name: "entry", DeadlineUs: 2000000}},
		Customer: []*schema.CustomerSection{{Name: "meadow"}},
		Route:    []*schema.RouteSection{{Name: "filing", Service: "entry", Rank: "urgent", Customers: []string{"meadow", "*"}, DeadlineUs: 250000}}}))
}

// TestProblems makes one error in a valid text per case and checks the code, section and key of the problem.
func TestProblems(t *testing.T) {
	cases := []struct {
		name, old, new string
		code           jaypitch.Code
		section, key   string
	}{
		{"not INI", "[team]", "[team", jaypitch.CodeSyntax, "", ""},
		{"unknown section", "[customer meadow]", "[client meadow]", jaypitch.CodeUnknownSection, "client meadow", ""},
		{"section without a name", "[customer meadow]", "[customer]", jaypitch.CodeUnknownSection, "customer", ""},
		{"name of a singular section", "[team]", "[team fairs]", jaypitch.CodeUnknownSection, "team fairs", ""},
		{"key before any section", "[team]", "x = 1\n[team]", jaypitch.CodeUnknownSection, "DEFAULT", ""},
		{"unknown key", "order = 1", "order = 1\nweight = 2", jaypitch.CodeUnknownKey, "rank urgent", "weight"},
		{"name as a key", "order = 1", "order = 1\nname = x", jaypitch.CodeUnknownKey, "rank urgent", "name"},
		{"not a number", "order = 1", "order = one", jaypitch.CodeWrongType, "rank urgent", "order"},
		{"not a duration", "250ms", "250", jaypitch.CodeWrongType, "route filing", "deadline"},
		{"not a boolean", "rank = urgent", "rank = urgent\nidempotent = yes", jaypitch.CodeWrongType, "route filing", "idempotent"},
		{"number out of range", "order = 1", "order = 17", jaypitch.CodeOutOfRange, "rank urgent", "order"},
		{"duration out of range", "250ms", "1us", jaypitch.CodeOutOfRange, "route filing", "deadline"},
		{"required key absent", "order = 1", "", jaypitch.CodeMissingKey, "rank urgent", "order"},
		{"required key empty", "order = 1", "order =", jaypitch.CodeMissingKey, "rank urgent", "order"},
		{"required section absent", "[team]\nname = fairs", "", jaypitch.CodeMissingKey, "team", "name"},
		{"duplicate key", "order = 1", "order = 1\norder = 1", jaypitch.CodeDuplicate, "rank urgent", "order"},
		{"duplicate section", "[customer meadow]", "[customer meadow]\n[customer meadow]", jaypitch.CodeDuplicate, "customer meadow", ""},
		{"duplicate element", "meadow, *", "meadow, meadow", jaypitch.CodeDuplicate, "route filing", "customers"},
		{"invalid section name", "[customer meadow]", "[customer Meadow]", jaypitch.CodeBadName, "customer Meadow", ""},
		{"invalid name as a value", "service = entry", "service = en try", jaypitch.CodeBadName, "route filing", "service"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(goodTeam, c.old, c.new, 1)
			is.True(text != goodTeam)
			problems := Decode("f.ini", []byte(text), &schema.TeamSettings{})
			is.True(len(problems) > 0)
			p := problems[0]
			is.Equal(p.Code, c.code)
			is.Equal(p.Section, c.section)
			is.Equal(p.Key, c.key)
			is.True(strings.Contains(p.String(), `file "f.ini"`))
			is.True(!strings.Contains(p.String(), "\n"))
		})
	}
	t.Run("all problems at once", func(t *testing.T) {
		problems := Decode("f", []byte("[team]\nname = A\n[rank x]\norder = 99\nfloor_percent = -1\n[what]\n"), &schema.TeamSettings{})
		is.New(t).Equal(len(problems), 4)
	})
	t.Run("too large", func(t *testing.T) {
		problems := Decode("f", make([]byte, jaypitch.MaxDocumentBytes+1), &schema.TeamSettings{})
		is.New(t).Equal(problems[0].Code, jaypitch.CodeTooLarge)
	})
	t.Run("addresses", func(t *testing.T) {
		for _, a := range []string{"localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000"} {
			problems := Decode("f", []byte("[host h]\nservice = s\naddress = "+a+"\n"), &schema.HostSettings{})
			is.New(t).Equal(problems[0].Code, jaypitch.CodeBadAddress)
		}
	})
	t.Run("not one of the allowed values", func(t *testing.T) {
		problems := Decode("f", []byte("[host h]\nservice = s\naddress = 127.0.0.1:1\nstate = gone\n"), &schema.HostSettings{})
		is.New(t).Equal(problems[0].Code, jaypitch.CodeNotAllowed)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(goodTeam)
	f.Add("[node]\nhost = \"\"\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		m := &schema.TeamSettings{}
		problems := Decode("f", []byte(text), m)
		for _, p := range problems {
			if p.Code.Info().Execution != "" || p.Reason == "" {
				t.Fatalf("problem %+v of %q", p, text)
			}
		}
		if len(problems) == 0 && m.GetTeam().GetName() == "" {
			t.Fatalf("%q is accepted without a team name", text)
		}
	})
}
