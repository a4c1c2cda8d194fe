// Command bench measures jaypitch on one machine and prints one line for each figure: name, value, unit.
// A baseline stands beside what it is compared with, measured in the same run.
package main

import (
	"flag"
	"fmt"
	"os"
	"regexp"

	"github.com/jaypitch/jaypitch/scenario"
)

// part is one group of measurements.
type part struct {
	name string
	run  func(b scenario.Binaries) error
}

var parts = []part{
	{"table", benchTable},
	{"spread", benchSpread},
	{"scale", benchScale},
	{"added", benchAdded},
	{"stop", benchStop},
	{"flood", benchFlood},
}

func main() {
	var b scenario.Binaries
	var only string
	flag.StringVar(&b.Jaypitch, "jaypitch", "bin/jaypitch", "jaypitch program")
	flag.StringVar(&b.Standin, "standin", "bin/standin", "stand-in program")
	flag.StringVar(&only, "only", ".", "expression that picks parts by name: table, spread, scale, added, stop, flood")
	flag.StringVar(&onlyDeployment, "deployment", ".", "expression that picks the deployments of the part flood: kesong, filo")
	flag.Parse()
	scenario.CloseOnSignal()
	pick, err := regexp.Compile(only)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	failed := false
	for _, p := range parts {
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

// line prints one figure.
func line(name string, value float64, unit string) {
	fmt.Printf("%s %.4g %s\n", name, value, unit)
}

// inFleet runs a measurement on a fleet in a directory of its own.
func inFleet(b scenario.Binaries, o scenario.NodeOptions, measure func(f *scenario.Fleet) error) error {
	dir, err := os.MkdirTemp("", "jaypitch-bench-")
	if err != nil {
		return fmt.Errorf("making a directory: %w", err)
	}
	defer os.RemoveAll(dir)
	f, err := scenario.NewFleet(dir, b, o)
	if err != nil {
		return err
	}
	defer f.Close()
	return measure(f)
}
