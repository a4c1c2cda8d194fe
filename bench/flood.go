package main

import (
	_ "embed"
	"fmt"
	"regexp"
	"time"

	"github.com/jaypitch/jaypitch/scenario"
)

// deployment is an example deployment with one kind of request for each rank, the most urgent first.
type deployment struct {
	name     string
	team     string
	text     string
	addHosts func(f *scenario.Fleet)
	kinds    []scenario.RequestKind
	// clientService is the service whose nodes accept the requests of the clients.
	clientService string
	// slots is the total number of slots of the flooded service.
	slots int
}

// phase is a period of a flood. Requests of one rank are sent at factor times the capacity; with factor 0 no rank floods.
type phase struct {
	name   string
	factor float64
	// rank is the index of the flooding rank in deployment.kinds.
	rank int
}

const (
	serviceTimeMS = 200
	phaseTime     = 4 * time.Second
	// baseLoadShare is the rate of a rank that does not flood, as a share of the capacity.
	baseLoadShare = 0.2
)

var (
	//go:embed fairs.ini
	fairs string
	//go:embed vans.ini
	vans string

	// deploymentPattern is a regular expression that selects deployments by name.
	deploymentPattern string

	deployments = []deployment{
		{"kesong", "fairs", fairs, scenario.KesongPerya, []scenario.RequestKind{
			{Name: "urgent", Path: "/fairs/judge_entry/x?ms=200", Customer: "meadow", Target: 400 * time.Millisecond, Body: "judge"},
			{Name: "filing", Path: "/fairs/file_entry/x?ms=200", Customer: "meadow", Target: 600 * time.Millisecond, Body: "entry"},
			{Name: "browse", Path: "/fairs/lot_sheet/x?ms=200", Customer: "meadow", Target: 900 * time.Millisecond},
		}, "ledger", 8 * 13},
		{"filo", "vans", vans, scenario.FiloSolidario, []scenario.RequestKind{
			{Name: "urgent", Path: "/vans/close_job/x?ms=200", Customer: "centro", Target: 400 * time.Millisecond, Body: "job"},
			{Name: "booking", Path: "/vans/book_visit/x?ms=200", Customer: "centro", Target: 600 * time.Millisecond, Body: "visit"},
			{Name: "asking", Path: "/vans/next_van/x?ms=200", Customer: "centro", Target: 900 * time.Millisecond},
		}, "billing", 7 * 12},
	}
	phases = []phase{
		{"before", 0, 0},
		{"low_1.5x", 1.5, 2}, {"low_3x", 3, 2}, {"low_10x", 10, 2},
		{"high_1.5x", 1.5, 0}, {"high_3x", 3, 0}, {"high_10x", 10, 0},
		{"after", 0, 0},
	}
)

// benchFlood overloads each deployment with requests of the least and then of the most urgent rank. The requests go through the
// nodes and, as a baseline, directly to the backend servers in round-robin order, which shed requests that find no free slot.
func benchFlood(b scenario.Binaries) error {
	pick, err := regexp.Compile(deploymentPattern)
	if err != nil {
		return fmt.Errorf("parsing flag -deployment: %w", err)
	}
	for _, d := range deployments {
		if !pick.MatchString(d.name) {
			continue
		}
		err := withFleet(b, scenario.NodeOptions{}, func(f *scenario.Fleet) error {
			d.addHosts(f)
			if err := startFleet(f, d.team, []byte(d.text)); err != nil {
				return err
			}
			if err := d.flood(f, "", callerAddresses(f, d.clientService)); err != nil {
				return err
			}
			var servers []string
			for _, h := range f.Hosts {
				if h.Service != d.clientService {
					servers = append(servers, h.Backend)
				}
			}
			return d.flood(f, "baseline_round_robin_", servers)
		})
		if err != nil {
			return fmt.Errorf("%s: %w", d.name, err)
		}
	}
	return nil
}

// flood runs all phases and prints the figures of each rank: the shares of requests that succeeded and that met the latency target.
func (d *deployment) flood(f *scenario.Fleet, prefix string, addresses []string) error {
	capacity := float64(d.slots) * 1000 / serviceTimeMS
	for _, p := range phases {
		before, err := executedRequests(f)
		if err != nil {
			return err
		}
		sent, complete := int64(0), int64(0)
		loads, stops := d.startLoads(p, capacity, prefix, addresses)
		time.Sleep(phaseTime)
		for i, stop := range stops {
			stop()
			r := loads[i].result
			sent += r.Sent
			complete += r.Succeeded
			k := loads[i].generator.Kind.Name
			printFigure(fmt.Sprintf("%s%s_%s_%s_goodput_percent", prefix, d.name, p.name, d.kinds[i].Name), percent(r.Succeeded, r.Sent), "%")
			printFigure(fmt.Sprintf("%s%s_%s_%s_target_met_percent", prefix, d.name, p.name, d.kinds[i].Name), percent(r.InTarget, r.Sent), "%")
			if r.Invalid > 0 {
				return fmt.Errorf("%s in phase %s: %d responses were missing, incomplete or mismatched", k, p.name, r.Invalid)
			}
		}
		after, err := executedRequests(f)
		if err != nil {
			return err
		}
		printFigure(fmt.Sprintf("%s%s_%s_ran_per_whole", prefix, d.name, p.name), float64(after-before)/float64(max(1, complete)), "calls")
	}
	return nil
}

// startLoads starts a load for each rank; the flooding rank sends at a multiple of the capacity, in requests per second.
func (d *deployment) startLoads(p phase, capacity float64, prefix string, addresses []string) ([]*backgroundLoad, []func()) {
	var loads []*backgroundLoad
	var stops []func()
	for i, k := range d.kinds {
		rate := baseLoadShare * capacity
		if p.factor > 0 && i == p.rank {
			rate = p.factor * capacity
		}
		k.Name = fmt.Sprintf("%s%s_%s_%s", prefix, d.name, p.name, k.Name)
		if prefix != "" {
			k.Path = fmt.Sprintf("/x?ms=%d", serviceTimeMS)
		}
		r, stop := startLoad(k, rate, addresses)
		loads = append(loads, r)
		stops = append(stops, stop)
	}
	return loads, stops
}

// executedRequests returns how many requests all backend servers have executed.
func executedRequests(f *scenario.Fleet) (int64, error) {
	var n int64
	for _, h := range f.Hosts {
		c, err := h.ServerCounts()
		if err != nil {
			return 0, err
		}
		n += c.Executed
	}
	return n, nil
}

func percent(part, total int64) float64 {
	return 100 * float64(part) / float64(max(1, total))
}
