// Package settings parses settings and host lists. It holds the replica of a node, which is the accepted documents, merged by the
// greatest valid revision, and the routing table built from them. It has no clock and no socket: times are passed in.
package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/ini"
	"github.com/jaypitch/jaypitch/schema"
)

// ParseNode parses the settings file of a node. The settings are usable only if there are no problems.
func ParseNode(file string, text []byte) (*schema.NodeSettings, ini.Problems) {
	n := &schema.NodeSettings{}
	problems := ini.Decode(file, text, n)
	problems = append(problems, checkAddresses(file, n)...)
	return n, problems
}

// ParseTeam parses the settings of a team. The section [team] has to name the given team; an empty team allows any name.
func ParseTeam(file, team string, text []byte) (*schema.TeamSettings, ini.Problems) {
	t := &schema.TeamSettings{}
	problems := ini.Decode(file, text, t)
	if team != "" && t.GetTeam().GetName() != "" && t.GetTeam().GetName() != team {
		problems = append(problems, ini.Problem{Code: jaypitch.CodeOtherTeam, File: file, Section: "team", Key: "name",
			Reason: fmt.Sprintf("the team name is %q; allowed is %q", t.GetTeam().GetName(), team)})
	}
	problems = append(problems, checkRanks(file, t)...)
	problems = append(problems, checkCustomers(file, t)...)
	return t, problems
}

// parse parses a document as the kind that its key has. Previous is the parsed form of the accepted revision, or nil; a host list
// reuses its unchanged sections.
func parse(d jaypitch.Document, previous any) (any, ini.Problems) {
	if jaypitch.DataCentreOfKey(d.Key) == "" {
		t, problems := ParseTeam(d.Key, jaypitch.TeamOfKey(d.Key), d.Text)
		return t, problems
	}
	accepted, _ := previous.(*HostDocument)
	h, problems := parseHosts(d.Key, d.Text, accepted)
	return h, problems
}

// checkAddresses reports sections that share an address.
func checkAddresses(file string, n *schema.NodeSettings) ini.Problems {
	var problems ini.Problems
	seen := map[string]string{}
	check := func(section, address string) {
		if other, ok := seen[address]; ok && address != "" {
			problems = append(problems, ini.Problem{Code: jaypitch.CodeDuplicate, File: file, Section: section, Key: "address",
				Reason: fmt.Sprintf("address %s is already used by section %q", address, other)})
		}
		seen[address] = section
	}
	check("caller", n.GetCaller().GetAddress())
	check("peer", n.GetPeer().GetAddress())
	check("operator", n.GetOperator().GetAddress())
	check("platform", n.GetPlatform().GetAddress())
	check("backend", n.GetBackend().GetAddress())
	return problems
}

// checkRanks reports ranks that share an order, and floors that add up to more than 100 percent.
func checkRanks(file string, t *schema.TeamSettings) ini.Problems {
	var sum int64
	orders := map[int64]string{}
	var problems ini.Problems
	for _, r := range t.GetRank() {
		sum += r.GetFloorPercent()
		if other, ok := orders[r.GetOrder()]; ok && r.GetOrder() != 0 {
			problems = append(problems, ini.Problem{Code: jaypitch.CodeDuplicate, File: file, Section: "rank " + r.GetName(), Key: "order",
				Reason: fmt.Sprintf("order %d is already used by rank %q", r.GetOrder(), other)})
		}
		orders[r.GetOrder()] = r.GetName()
	}
	if sum > 100 {
		problems = append(problems, ini.Problem{Code: jaypitch.CodeFloorSum, File: file, Section: "rank", Key: "floor_percent",
			Reason: fmt.Sprintf("the floors add up to %d percent; at most 100 is allowed", sum)})
	}
	return problems
}

// checkCustomers reports routes that name a customer that has no section.
func checkCustomers(file string, t *schema.TeamSettings) ini.Problems {
	known := map[string]bool{"*": true}
	for _, c := range t.GetCustomer() {
		known[c.GetName()] = true
	}
	var problems ini.Problems
	for _, r := range t.GetRoute() {
		for _, c := range r.GetCustomers() {
			if !known[c] {
				problems = append(problems, ini.Problem{Code: jaypitch.CodeNotAllowed, File: file, Section: "route " + r.GetName(), Key: "customers",
					Reason: fmt.Sprintf("customer %q has no section [customer %s]", c, c)})
			}
		}
	}
	return problems
}

// maxColdBound limits the settings about cold servers.
const maxColdBound = 1e6

// ParseSidecar parses the settings file of a sidecar. The settings are usable only if there are no problems.
func ParseSidecar(file string, text []byte) (*schema.SidecarSettings, ini.Problems) {
	s := &schema.SidecarSettings{}
	problems := ini.Decode(file, text, s)
	if r, err := strconv.ParseFloat(s.GetBounds().GetRetryRatio(), 64); err != nil || r < 0 || r > 1 {
		problems = append(problems, ini.Problem{Code: jaypitch.CodeOutOfRange, File: file, Section: "bounds", Key: "retry_ratio",
			Reason: fmt.Sprintf("%q is not a number from 0 to 1", s.GetBounds().GetRetryRatio())})
	}
	for key, text := range map[string]string{"overage": s.GetCold().GetOverage(), "slack": s.GetCold().GetSlack()} {
		least := map[string]float64{"overage": 1}[key]
		if n, err := strconv.ParseFloat(text, 64); err != nil || !(n >= least && n <= maxColdBound) {
			problems = append(problems, ini.Problem{Code: jaypitch.CodeOutOfRange, File: file, Section: "cold", Key: key,
				Reason: fmt.Sprintf("%q is not a number from %g to %g", text, least, maxColdBound)})
		}
	}
	for _, pair := range s.GetSidecar().GetRegions() {
		if dataCentre, region, ok := strings.Cut(pair, ":"); !ok || dataCentre == "" || region == "" || strings.Contains(region, ":") {
			problems = append(problems, ini.Problem{Code: jaypitch.CodeWrongType, File: file, Section: "sidecar", Key: "regions",
				Reason: fmt.Sprintf("%q is not a data centre and its region, separated by a colon", pair)})
		}
	}
	return s, problems
}
