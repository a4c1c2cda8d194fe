// Command standin plays the platform's store, the backend servers and the clients of a small deployment for the cases of the second review. It
// starts the sidecars as processes of their own, on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// run plays a case. It reports whether the rule was broken.
type run func(f *fleet, trouble bool) (broken bool, err error)

var cases = map[string]run{"pipelined": runPipelined, "unread": runUnread, "storm": runStorm, "downloads": runDownloads, "unnamed": runUnnamed}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE SIDECAR RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// play runs a case with the sidecar program and writes its record.
func play(c run, sidecar, record string, trouble bool) int {
	f, err := newFleet(sidecar, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	broken, err := c(f, trouble)
	switch {
	case err != nil:
		f.record("the case could not run: %s", err)
		return exitFailed
	case broken:
		f.record("result: the rule was broken")
		return exitBroken
	}
	f.record("result: the rule held")
	return exitHeld
}
