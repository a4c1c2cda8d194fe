// Command cases runs one case of the review: "cases NAME RECORD", in the root of the repository. It exits with 1 if the rule was broken, with 0 if
// it held, and with 2 if the case couldn't run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"

	"github.com/jaypitch/jaypitch/review/standin/fleet"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. A case reports whether the rule was broken.
var cases = map[string]func(f *fleet.Fleet, trouble bool) (bool, error){
	"memory":   memory,
	"entries":  entries,
	"answers":  answers,
	"service":  service,
	"stopping": stopping,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases NAME RECORD")
		return exitNotRun
	}
	f, err := fleet.New(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer f.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	f.Logf("case %s, disruption %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		f.Logf("couldn't run: %s", err)
		fmt.Println(err)
		return exitNotRun
	case broken:
		f.Logf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	f.Logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
