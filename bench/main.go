// Command bench measures jaypitch on one machine and prints one line for each figure: name, value, unit.
// A baseline is measured in the same run as the figure that it is compared with.
package main

import (
	"flag"
	"fmt"
	"os"
	"regexp"

	"github.com/jaypitch/jaypitch/scenario"
)

// benchmark is a group of measurements that flag -only selects by name.
type benchmark struct {
	name string
	run  func(b scenario.Binaries) error
}

var benchmarks = []benchmark{
	{"table", benchTable},
	{"spread", benchSpread},
	{"scale", benchScale},
	{"added", benchOverhead},
	{"stop", benchStop},
	{"flood", benchFlood},
}

func main() {
	var b scenario.Binaries
	var benchmarkPattern string
	flag.StringVar(&b.Jaypitch, "jaypitch", "bin/jaypitch", "path of the jaypitch program")
	flag.StringVar(&b.Standin, "standin", "bin/standin", "path of the standin program, which simulates the platform and the backend servers")
	flag.StringVar(&benchmarkPattern, "only", ".", "regular expression that selects benchmarks by name: table, spread, scale, added, stop, flood")
	flag.StringVar(&deploymentPattern, "deployment", ".", "regular expression that selects the deployments of the benchmark flood: kesong, filo")
	flag.Parse()
	scenario.CloseOnSignal()
	pick, err := regexp.Compile(benchmarkPattern)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	failed := false
	for _, p := range benchmarks {
		if !pick.MatchString(p.name) {
			continue
		}
		if err := p.run(b); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %s\n", p.name, err)
			failed = true
		}
	}
	if failed {
		os.Exit(1)
	}
}

func printFigure(name string, value float64, unit string) {
	fmt.Printf("%s %.4g %s\n", name, value, unit)
}

// withFleet runs a measurement on a new fleet. It stops the fleet and deletes its temporary directory afterwards.
func withFleet(b scenario.Binaries, o scenario.NodeOptions, measure func(f *scenario.Fleet) error) error {
	dir, err := os.MkdirTemp("", "jaypitch-bench-")
	if err != nil {
		return fmt.Errorf("creating a directory for the fleet: %w", err)
	}
	defer os.RemoveAll(dir)
	f, err := scenario.NewFleet(dir, b, o)
	if err != nil {
		return err
	}
	defer f.Close()
	return measure(f)
}
