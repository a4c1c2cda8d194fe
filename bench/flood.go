package main

import (
	_ "embed"
	"fmt"
	"regexp"
	"time"

	"github.com/jaypitch/jaypitch/scenario"
)

// deployment is one of the brief's, with a kind of call for each rank, most urgent first.
type deployment struct {
	name     string
	team     string
	text     string
	place    func(f *scenario.Fleet)
	kinds    []scenario.RequestKind
	entrance string
	// slots is the number of slots of the flooded service.
	slots int
}

// phase is a span of one flood.
type phase struct {
	name   string
	factor float64
	rank   int
}

const (
	workMS    = 200
	phaseTime = 4 * time.Second
	// usualShare is the part of what the fleet takes that each rank asks for outside floods.
	usualShare = 0.2
)

var (
	//go:embed fairs.ini
	fairs string
	//go:embed vans.ini
	vans string

	// onlyDeployment is an expression that picks deployments by name.
	onlyDeployment string

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

// benchFlood floods both deployments with the least and with the most urgent work, through the nodes and, as a
// baseline, straight at the backend servers in turn, which shed what they have no slot for.
func benchFlood(b scenario.Binaries) error {
	pick, err := regexp.Compile(onlyDeployment)
	if err != nil {
		return fmt.Errorf("flag -deployment: %w", err)
	}
	for _, d := range deployments {
		if !pick.MatchString(d.name) {
			continue
		}
		err := inFleet(b, scenario.NodeOptions{}, func(f *scenario.Fleet) error {
			d.place(f)
			if err := startFleet(f, d.team, []byte(d.text)); err != nil {
				return err
			}
			if err := d.flood(f, "", callersOf(f, d.entrance)); err != nil {
				return err
			}
			var servers []string
			for _, h := range f.Hosts {
				if h.Service != d.entrance {
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

// flood runs all phases and prints what each rank got.
func (d *deployment) flood(f *scenario.Fleet, prefix string, addresses []string) error {
	capacity := float64(d.slots) * 1000 / workMS
	for _, p := range phases {
		before, err := ranOf(f)
		if err != nil {
			return err
		}
		sent, whole := int64(0), int64(0)
		runners, ends := d.start(p, capacity, prefix, addresses)
		time.Sleep(phaseTime)
		for i, end := range ends {
			end()
			r := runners[i].result
			sent += r.Sent
			whole += r.Succeeded
			k := runners[i].load.Kind.Name
			line(fmt.Sprintf("%s%s_%s_%s_goodput_percent", prefix, d.name, p.name, d.kinds[i].Name), percent(r.Succeeded, r.Sent), "%")
			line(fmt.Sprintf("%s%s_%s_%s_target_met_percent", prefix, d.name, p.name, d.kinds[i].Name), percent(r.InTarget, r.Sent), "%")
			if r.Invalid > 0 {
				return fmt.Errorf("%s in phase %s: %d answers cut", k, p.name, r.Invalid)
			}
		}
		after, err := ranOf(f)
		if err != nil {
			return err
		}
		line(fmt.Sprintf("%s%s_%s_ran_per_whole", prefix, d.name, p.name), float64(after-before)/float64(max(1, whole)), "calls")
	}
	return nil
}

// start begins a load for each rank; the flooding rank asks for a multiple of what the fleet takes.
func (d *deployment) start(p phase, capacity float64, prefix string, addresses []string) ([]*runner, []func()) {
	var runners []*runner
	var ends []func()
	for i, k := range d.kinds {
		rate := usualShare * capacity
		if p.factor > 0 && i == p.rank {
			rate = p.factor * capacity
		}
		k.Name = fmt.Sprintf("%s%s_%s_%s", prefix, d.name, p.name, k.Name)
		if prefix != "" {
			k.Path = fmt.Sprintf("/x?ms=%d", workMS)
		}
		r, end := startRunner(k, rate, addresses)
		runners = append(runners, r)
		ends = append(ends, end)
	}
	return runners, ends
}

func ranOf(f *scenario.Fleet) (int64, error) {
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

func percent(part, whole int64) float64 {
	return 100 * float64(part) / float64(max(1, whole))
}
