// Command soak runs the soak test of package soak.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/soak"
)

const (
	exitFailed = 1
	// network is that of no test, so that the command and the tests can run at once.
	network = 200
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func run() error {
	c := soak.Config{Network: network, Progress: os.Stdout}
	flag.StringVar(&c.Program, "jaypitchd", "bin/jaypitchd", "path of the sidecar program")
	flag.Uint64Var(&c.Seed, "seed", uint64(time.Now().UnixNano()), "seed of all faults and clients")
	flag.IntVar(&c.Processes, "processes", 20, "number of sidecars")
	flag.DurationVar(&c.Length, "for", time.Minute, "time in which faults are injected")
	flag.DurationVar(&c.Slack, "slack", soak.DefaultSlack, "time added to bounds on time")
	flag.Parse()
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", c.Seed))
	if err != nil {
		return err
	}
	c.Dir = dir
	fmt.Printf("seed %d, logs in %s\n", c.Seed, dir)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := soak.Run(ctx, c)
	if r == nil {
		return err
	}
	if e := r.Write(os.Stdout); e != nil {
		return e
	}
	if e := r.WritePage(); e != nil {
		return e
	}
	if err == nil && len(r.Failures) > 0 {
		err = fmt.Errorf("promises weren't kept, seed %d", c.Seed)
	}
	return err
}
