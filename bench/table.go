package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/scenario"
	"github.com/jaypitch/jaypitch/settings"
)

const (
	// The target fleet is a full-size fleet: these hosts, services, data centres and teams, whose documents are generated.
	fleetHosts       = 22000
	fleetServices    = 1800
	fleetDataCentres = 11
	fleetTeams       = 180
	tableRounds      = 20
)

// benchTable measures the time to apply one change to a replica with all documents of the target fleet.
func benchTable(scenario.Binaries) error {
	replica := settings.NewReplica(time.Now)
	replica.Merge(fleetDocuments(1)...)
	replica.Apply()
	var team, host time.Duration
	for i := range tableRounds {
		revision := int64(i + 2)
		team += elapsed(func() {
			replica.Merge(jaypitch.NewDocument(jaypitch.TeamPrefix+"team_7", revision, teamText(7, i+1)))
			replica.Apply()
		})
		host += elapsed(func() {
			replica.Merge(jaypitch.NewDocument(jaypitch.HostListPrefix+"dc_03", revision, hostListText(3, i+1, "127.9")))
			replica.Apply()
		})
	}
	printFigure("apply_team_us", float64(team.Microseconds())/tableRounds, "us")
	printFigure("apply_host_us", float64(host.Microseconds())/tableRounds, "us")
	return nil
}

func elapsed(f func()) time.Duration {
	started := time.Now()
	f()
	return time.Since(started)
}

// fleetDocuments returns the teams' documents and host lists of the target fleet.
func fleetDocuments(revision int64) []jaypitch.Document {
	var docs []jaypitch.Document
	for i := range fleetTeams {
		docs = append(docs, jaypitch.NewDocument(fmt.Sprintf("%steam_%d", jaypitch.TeamPrefix, i), revision, teamText(i, 0)))
	}
	for i := range fleetDataCentres {
		docs = append(docs, jaypitch.NewDocument(fmt.Sprintf("%sdc_%02d", jaypitch.HostListPrefix, i), revision, hostListText(i, 0, "127.9")))
	}
	return docs
}

// teamText is a team's document with 10 services of 3 routes each; versions differ in the deadline of one route.
func teamText(team, version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[team]\nname = team_%d\n\n[rank urgent]\norder = 1\nfloor_percent = 20\n\n[rank usual]\norder = 2\nfloor_percent = 10\n\n", team)
	for c := range 20 {
		fmt.Fprintf(&b, "[customer customer_%d]\n\n", c)
	}
	services := fleetServices / fleetTeams
	for s := range services {
		name := fmt.Sprintf("service_%d", team*services+s)
		fmt.Fprintf(&b, "[service %s]\ndeadline = 2s\n\n", name)
		for r := range 3 {
			deadline := 500
			if s == 0 && r == 0 {
				deadline += version
			}
			fmt.Fprintf(&b, "[route %s_%d]\nservice = %s\nrank = usual\nidempotent = true\ncustomers = *\ndeadline = %dms\n\n", name, r, name, deadline)
		}
	}
	return []byte(b.String())
}

// hostListText is a data centre's host list; versions differ in the state of one host. net is the first two bytes of the hosts'
// IP addresses.
func hostListText(dataCentre, version int, net string) []byte {
	var b strings.Builder
	n := fleetHosts / fleetDataCentres
	for i := range n {
		state := "live"
		if version > 0 && i == version%n {
			state = "leaving"
		}
		host := dataCentre*n + i
		fmt.Fprintf(&b, "[host host_%05d]\nservice = service_%d\naddress = %s.%d.%d:7002\nstate = %s\n\n", host, host%fleetServices, net, host/250, 1+host%250, state)
	}
	return []byte(b.String())
}
