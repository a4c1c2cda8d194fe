package main

import (
	"fmt"
	"time"

	"github.com/jaypitch/jaypitch/operator"
	"github.com/jaypitch/jaypitch/scenario"
)

const (
	liveHosts  = 12
	scaleLimit = 90 * time.Second
	settleTime = 8 * time.Second
	scaleTime  = 30 * time.Second
	// hostListChangeInterval yields 0.15 changes of a host list per second.
	hostListChangeInterval = 6500 * time.Millisecond
)

// benchScale measures nodes that store the documents of the target fleet: 12 nodes run in a data centre of their own, and the
// host lists of 11 further data centres name 22,000 hosts that do not run.
func benchScale(b scenario.Binaries) error {
	return withFleet(b, scenario.NodeOptions{SharedBackend: true}, func(f *scenario.Fleet) error {
		for i := range liveHosts {
			f.Add(fmt.Sprintf("live_%d", i), "dc_live", "service_1", 13, 120)
		}
		for _, d := range fleetDocuments(1) {
			if err := f.Publish(d.Key, d.Text); err != nil {
				return err
			}
		}
		if err := startFleet(f, "team_7", teamText(7, 1)); err != nil {
			return err
		}
		if err := f.AwaitAll(scaleLimit, "all hosts", func(s *operator.Status) bool { return s.Hosts == fleetHosts+liveHosts }); err != nil {
			return err
		}
		time.Sleep(settleTime)
		return measureScale(f)
	})
}

// measureScale publishes changes of a team's document and of a host list at the rates of the target fleet, and measures CPU,
// memory and control traffic of the nodes and requests to the source.
func measureScale(f *scenario.Fleet) error {
	before, err := nodeUsages(f)
	if err != nil {
		return err
	}
	from, err := sampleFleet(f)
	if err != nil {
		return err
	}
	started := time.Now()
	nextTeam, nextHost := started, started
	for i := 2; time.Since(started) < scaleTime; i++ {
		if !time.Now().Before(nextTeam) {
			nextTeam = nextTeam.Add(changeInterval)
			if err := f.PublishTeam("team_7", teamText(7, i)); err != nil {
				return err
			}
		}
		if !time.Now().Before(nextHost) {
			nextHost = nextHost.Add(hostListChangeInterval)
			if err := f.Publish("hosts/dc_03", hostListText(3, i, "127.9")); err != nil {
				return err
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	after, err := nodeUsages(f)
	if err != nil {
		return err
	}
	to, err := sampleFleet(f)
	if err != nil {
		return err
	}
	seconds := time.Since(started).Seconds()
	var cpu, rss float64
	for i := range after {
		cpu = max(cpu, (after[i].CPU-before[i].CPU).Seconds()/seconds*100)
		rss = max(rss, after[i].RSSMB)
	}
	printFigure("node_cpu_percent", cpu, "%")
	printFigure("node_rss_mb", rss, "MB")
	printFigure("target_control_sent_bytes_per_node_second", float64(to.sentBytes-from.sentBytes)/seconds/liveHosts, "B/s")
	printFigure("target_control_received_bytes_per_node_second", float64(to.receivedBytes-from.receivedBytes)/seconds/liveHosts, "B/s")
	printFigure("target_source_calls_per_second", float64(to.sourceRequests-from.sourceRequests)/seconds, "1/s")
	return nil
}

// nodeUsages returns CPU time and memory of each node process, in the order of the hosts.
func nodeUsages(f *scenario.Fleet) ([]scenario.Usage, error) {
	var out []scenario.Usage
	for _, h := range f.Hosts {
		u, err := h.Node().Usage()
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}
