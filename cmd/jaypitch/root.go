package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/ini"
)

// options holds the flags that the client commands share.
type options struct {
	node    string
	output  string
	timeout time.Duration
}

// exitError makes execute return an exit status without printing a message.
type exitError struct {
	status int
}

// Exit statuses, defaults of flags and values of --output.
const (
	exitOK = 0
	// exitNegative reports a negative result: evidence that the subject is present, or a difference between files.
	exitNegative = 1
	// exitFailed reports invalid input, a failed request to a node, or evidence that proves neither presence nor absence.
	exitFailed = 2

	defaultNode    = "127.0.0.1:7003"
	defaultTimeout = 3 * time.Second
	outputTable    = "table"
	outputJSON     = "json"
)

// Error returns the exit status as text.
func (e *exitError) Error() string {
	return fmt.Sprintf("exit status %d", e.status)
}

// execute runs one command line and returns its exit status.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	var exit *exitError
	var problems ini.Problems
	var coded *jaypitch.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.status
	case errors.As(err, &problems), errors.As(err, &coded):
		fmt.Fprintln(stderr, err)
	default:
		fmt.Fprintln(stderr, jaypitch.Errorf(jaypitch.CodeUsage, "%s", err))
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "jaypitch",
		Short:         "Distribute settings to every proxy of a mesh and prove which are in force",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	f := root.PersistentFlags()
	f.StringVar(&o.node, "node", defaultNode, "address of the node's operator listener")
	f.StringVar(&o.output, "output", outputTable, "output format, table or json")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit for the response of the node")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if o.output != outputTable && o.output != outputJSON {
			return jaypitch.Errorf(jaypitch.CodeUsage, "flag --output is %q; allowed are %s and %s", o.output, outputTable, outputJSON)
		}
		return nil
	}
	root.AddCommand(nodeCommand(), checkCommand(o), statusCommand(o), evidenceCommand(o), routesCommand(o),
		drainCommand(o), diffCommand(o), watchCommand(o), burnCommand(o), explainCommand(o), timelineCommand(), whereCommand(o))
	return root
}
