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
	// hostChangeGap makes 0.15 changes of a host list a second.
	hostChangeGap = 6500 * time.Millisecond
)

// benchScale measures nodes that hold the target fleet: a dozen live ones in a data centre of their own, with
// 22,000 more hosts listed in eleven others.
func benchScale(b scenario.Binaries) error {
	return inFleet(b, scenario.NodeOptions{SharedBackend: true}, func(f *scenario.Fleet) error {
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

// measureScale changes teams and hosts at the target's rates and looks at what the nodes use.
func measureScale(f *scenario.Fleet) error {
	before, err := usageOf(f)
	if err != nil {
		return err
	}
	from, err := sample(f)
	if err != nil {
		return err
	}
	started := time.Now()
	nextTeam, nextHost := started, started
	for i := 2; time.Since(started) < scaleTime; i++ {
		if !time.Now().Before(nextTeam) {
			nextTeam = nextTeam.Add(changeGap)
			if err := f.PublishTeam("team_7", teamText(7, i)); err != nil {
				return err
			}
		}
		if !time.Now().Before(nextHost) {
			nextHost = nextHost.Add(hostChangeGap)
			if err := f.Publish("hosts/dc_03", hostText(3, i, "127.9")); err != nil {
				return err
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	after, err := usageOf(f)
	if err != nil {
		return err
	}
	to, err := sample(f)
	if err != nil {
		return err
	}
	seconds := time.Since(started).Seconds()
	var cpu, rss float64
	for i := range after {
		cpu = max(cpu, (after[i].CPU-before[i].CPU).Seconds()/seconds*100)
		rss = max(rss, after[i].RSSMB)
	}
	line("node_cpu_percent", cpu, "%")
	line("node_rss_mb", rss, "MB")
	line("target_control_sent_bytes_per_node_second", float64(to.sent-from.sent)/seconds/liveHosts, "B/s")
	line("target_control_received_bytes_per_node_second", float64(to.received-from.received)/seconds/liveHosts, "B/s")
	line("target_source_calls_per_second", float64(to.calls-from.calls)/seconds, "1/s")
	return nil
}

func usageOf(f *scenario.Fleet) ([]scenario.Usage, error) {
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
