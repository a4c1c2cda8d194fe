// Command standin runs the stand-ins of the platform and of a backend server.
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
	root := &cobra.Command{Use: "standin", Short: "Run a stand-in of what isn't ours", SilenceUsage: true}
	root.AddCommand(platformCommand(), serverCommand())
	if root.Execute() != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	var address string
	var rate int
	c := &cobra.Command{Use: "platform", Short: "Run the configuration service and the host list", RunE: func(*cobra.Command, []string) error {
		return serve(address, 1<<16, standin.NewPlatform(rate))
	}}
	c.Flags().StringVar(&address, "address", "127.0.0.1:7000", "listener")
	c.Flags().IntVar(&rate, "calls-per-second", 2000, "calls answered in a second")
	return c
}

func serverCommand() *cobra.Command {
	var address, name string
	var slots, connections int
	var s standin.ServerSettings
	c := &cobra.Command{Use: "server", Short: "Run a backend server", RunE: func(*cobra.Command, []string) error {
		return serve(address, connections, standin.NewServer(name, slots, s))
	}}
	c.Flags().StringVar(&address, "address", "127.0.0.1:7100", "listener")
	c.Flags().StringVar(&name, "name", "server", "name given with answers")
	c.Flags().IntVar(&slots, "slots", 12, "requests run at once")
	c.Flags().IntVar(&connections, "connections", 110, "connections allowed")
	c.Flags().Int64Var(&s.ServiceTimeMS, "work-ms", 5, "time of a request")
	c.Flags().Int64Var(&s.ColdMS, "cold-ms", 0, "time after the start in which requests take longer")
	c.Flags().Int64Var(&s.ColdFactor, "cold-factor", 3, "how much longer")
	return c
}

func serve(address string, connections int, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening at %q: %w", address, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	return s.Serve(netutil.LimitListener(l, connections))
}
