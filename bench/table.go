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
	fleetHosts    = 22000
	fleetServices = 1800
	fleetCentres  = 11
	fleetTeams    = 180
	tableRounds   = 20
)

// benchTable measures what one change costs a node that holds the whole target fleet.
func benchTable(scenario.Binaries) error {
	store := settings.NewReplica(time.Now)
	store.Merge(fleetDocuments(1)...)
	store.Apply()
	var team, host time.Duration
	for i := range tableRounds {
		revision := int64(i + 2)
		team += timed(func() {
			store.Merge(jaypitch.NewDocument(jaypitch.TeamPrefix+"team_7", revision, teamText(7, i+1)))
			store.Apply()
		})
		host += timed(func() {
			store.Merge(jaypitch.NewDocument(jaypitch.HostListPrefix+"dc_03", revision, hostText(3, i+1, "127.9")))
			store.Apply()
		})
	}
	line("apply_team_us", float64(team.Microseconds())/tableRounds, "us")
	line("apply_host_us", float64(host.Microseconds())/tableRounds, "us")
	return nil
}

func timed(f func()) time.Duration {
	started := time.Now()
	f()
	return time.Since(started)
}

// fleetDocuments are the subtrees and host lists of the target fleet.
func fleetDocuments(revision int64) []jaypitch.Document {
	var docs []jaypitch.Document
	for i := range fleetTeams {
		docs = append(docs, jaypitch.NewDocument(fmt.Sprintf("%steam_%d", jaypitch.TeamPrefix, i), revision, teamText(i, 0)))
	}
	for i := range fleetCentres {
		docs = append(docs, jaypitch.NewDocument(fmt.Sprintf("%sdc_%02d", jaypitch.HostListPrefix, i), revision, hostText(i, 0, "127.9")))
	}
	return docs
}

// teamText is a subtree of 10 services with 3 routes each; a version differs in one route.
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

// hostText is a data centre's host list; a version differs in the state of one host.
func hostText(centre, version int, net string) []byte {
	var b strings.Builder
	n := fleetHosts / fleetCentres
	for i := range n {
		state := "live"
		if version > 0 && i == version%n {
			state = "leaving"
		}
		host := centre*n + i
		fmt.Fprintf(&b, "[host host_%05d]\nservice = service_%d\naddress = %s.%d.%d:7002\nstate = %s\n\n", host, host%fleetServices, net, host/250, 1+host%250, state)
	}
	return []byte(b.String())
}
