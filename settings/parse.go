// Package settings holds what a node has accepted: the versions of every document, merged by the
// greatest valid revision, and the routing table that follows from them. It has no clock and no socket.
package settings

import (
	"fmt"
	"strconv"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/ini"
	"github.com/jaypitch/jaypitch/schema"
)

// ParseNode reads the settings file of a node.
func ParseNode(file string, text []byte) (*schema.NodeSettings, ini.Problems) {
	n := &schema.NodeSettings{}
	problems := ini.Decode(file, text, n)
	problems = append(problems, duplicateListeners(file, n)...)
	return n, problems
}

// ParseTeam reads the subtree of a team; an empty team allows any name.
func ParseTeam(file, team string, text []byte) (*schema.TeamSettings, ini.Problems) {
	t := &schema.TeamSettings{}
	problems := ini.Decode(file, text, t)
	if team != "" && t.GetTeam().GetName() != "" && t.GetTeam().GetName() != team {
		problems = append(problems, ini.Problem{Code: jaypitch.CodeOtherTeam, File: file, Section: "team", Key: "name",
			Reason: fmt.Sprintf("the name is %q; allowed is %q", t.GetTeam().GetName(), team)})
	}
	problems = append(problems, checkFloors(file, t)...)
	problems = append(problems, checkCustomers(file, t)...)
	return t, problems
}

// parse reads a document by its key; a host list shares what it can with the one accepted before.
func parse(d jaypitch.Document, before any) (any, ini.Problems) {
	if jaypitch.DataCentreOfKey(d.Key) == "" {
		t, problems := ParseTeam(d.Key, jaypitch.TeamOfKey(d.Key), d.Text)
		return t, problems
	}
	earlier, _ := before.(*HostDocument)
	h, problems := parseHosts(d.Key, d.Text, earlier)
	return h, problems
}

func duplicateListeners(file string, n *schema.NodeSettings) ini.Problems {
	var problems ini.Problems
	seen := map[string]string{}
	check := func(section, address string) {
		if other, ok := seen[address]; ok && address != "" {
			problems = append(problems, ini.Problem{Code: jaypitch.CodeDuplicate, File: file, Section: section, Key: "address",
				Reason: fmt.Sprintf("%s is the address of section %q too", address, other)})
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

func checkFloors(file string, t *schema.TeamSettings) ini.Problems {
	var sum int64
	orders := map[int64]string{}
	var problems ini.Problems
	for _, r := range t.GetRank() {
		sum += r.GetFloorPercent()
		if other, ok := orders[r.GetOrder()]; ok && r.GetOrder() != 0 {
			problems = append(problems, ini.Problem{Code: jaypitch.CodeDuplicate, File: file, Section: "rank " + r.GetName(), Key: "order",
				Reason: fmt.Sprintf("%d is the order of rank %q too", r.GetOrder(), other)})
		}
		orders[r.GetOrder()] = r.GetName()
	}
	if sum > 100 {
		problems = append(problems, ini.Problem{Code: jaypitch.CodeFloorSum, File: file, Section: "rank", Key: "floor_percent",
			Reason: fmt.Sprintf("the floors add up to %d; at most 100 is allowed", sum)})
	}
	return problems
}

// checkCustomers reports routes that name a customer without a section.
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

// ParseSidecar reads the settings file of a sidecar.
func ParseSidecar(file string, text []byte) (*schema.SidecarSettings, ini.Problems) {
	s := &schema.SidecarSettings{}
	problems := ini.Decode(file, text, s)
	if r, err := strconv.ParseFloat(s.GetBounds().GetRetryRatio(), 64); err != nil || r < 0 || r > 1 {
		problems = append(problems, ini.Problem{Code: jaypitch.CodeOutOfRange, File: file, Section: "bounds", Key: "retry_ratio",
			Reason: fmt.Sprintf("%q is not a number from 0 to 1", s.GetBounds().GetRetryRatio())})
	}
	return s, problems
}
