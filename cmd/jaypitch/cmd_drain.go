package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/operator"
)

const drainPoll = 200 * time.Millisecond

// drainCommand stops the work for the backend server of a node's host and waits until nothing is in progress.
func drainCommand(o *options) *cobra.Command {
	var undo bool
	c := &cobra.Command{
		Use:   "drain",
		Short: "Stop new work for the backend server of a node's host, and wait for the rest",
		Long:  "Works from the host itself only. Exit status 2 means that work was still in progress after --timeout; it goes on.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var s operator.Status
			q := url.Values{"drain": {strconv.FormatBool(!undo)}}
			if err := askInto(c.Context(), o, http.MethodPost, "/drain", q, &s); err != nil {
				return err
			}
			deadline := time.Now().Add(o.timeout)
			for !undo && s.RequestsRunning+s.RequestsQueued > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "%d calls running, %d waiting\n", s.RequestsRunning, s.RequestsQueued)
				if time.Now().After(deadline) {
					return jaypitch.Errorf(jaypitch.CodeOperator, "%d calls are still in progress after %s", s.RequestsRunning+s.RequestsQueued, o.timeout)
				}
				time.Sleep(drainPoll)
				if err := askInto(c.Context(), o, http.MethodGet, "/status", nil, &s); err != nil {
					return err
				}
			}
			if o.output == outputJSON {
				return printJSON(c.OutOrStdout(), s)
			}
			if undo {
				fmt.Fprintf(c.OutOrStdout(), "host %s takes new work unless another reason holds: %v\n", s.Host, s.Stopping)
				return nil
			}
			fmt.Fprintf(c.OutOrStdout(), "host %s takes no new work, and none is in progress\n", s.Host)
			return nil
		},
	}
	c.Flags().BoolVar(&undo, "undo", false, "take up work again")
	return c
}
