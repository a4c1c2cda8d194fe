// Command standin runs stand-ins for the platform and for a backend server, which aren't part of jaypitch. They are for tests and demos.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/net/netutil"

	"github.com/jaypitch/jaypitch/standin"
)

const readHeaderTimeout = 5 * time.Second

func main() {
	root := &cobra.Command{Use: "standin", Short: "Run a stand-in for the platform or for a backend server", SilenceUsage: true}
	root.AddCommand(platformCommand(), serverCommand())
	if root.Execute() != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	var address string
	var rate int
	c := &cobra.Command{Use: "platform", Short: "Run a stand-in for the platform's team settings and host lists", RunE: func(*cobra.Command, []string) error {
		return serve(address, 1<<16, standin.NewPlatform(rate))
	}}
	c.Flags().StringVar(&address, "address", "127.0.0.1:7000", "listener")
	c.Flags().IntVar(&rate, "calls-per-second", 2000, "maximum number of requests per second")
	return c
}

func serverCommand() *cobra.Command {
	var address, name string
	var slots, connections int
	var s standin.ServerSettings
	c := &cobra.Command{Use: "server", Short: "Run a stand-in for a backend server", RunE: func(*cobra.Command, []string) error {
		return serve(address, connections, standin.NewServer(name, slots, s))
	}}
	c.Flags().StringVar(&address, "address", "127.0.0.1:7100", "listener")
	c.Flags().StringVar(&name, "name", "server", "server name sent with each response")
	c.Flags().IntVar(&slots, "slots", 12, "requests processed at a time")
	c.Flags().IntVar(&connections, "connections", 110, "maximum number of open connections")
	c.Flags().Int64Var(&s.ServiceTimeMS, "work-ms", 5, "service time of a request in milliseconds")
	c.Flags().Int64Var(&s.ColdMS, "cold-ms", 0, "time in milliseconds after the start in which requests take longer")
	c.Flags().Int64Var(&s.ColdFactor, "cold-factor", 3, "factor by which they take longer")
	return c
}

func serve(address string, connections int, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening on %q: %w", address, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	return s.Serve(netutil.LimitListener(l, connections))
}
