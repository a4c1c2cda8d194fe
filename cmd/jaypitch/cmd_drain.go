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

const drainPollInterval = 200 * time.Millisecond

// drainCommand drains the backend server of a node's host and waits until no request is in progress.
func drainCommand(o *options) *cobra.Command {
	var undo bool
	c := &cobra.Command{
		Use:   "drain",
		Short: "Drain the backend server of a node's host: stop new requests and wait for those in progress",
		Long:  "The node accepts this command only from its own host. Exit status 2 means that requests were still in progress after --timeout; draining continues.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var s operator.Status
			q := url.Values{"drain": {strconv.FormatBool(!undo)}}
			if err := sendRequestJSON(c.Context(), o, http.MethodPost, "/drain", q, &s); err != nil {
				return err
			}
			deadline := time.Now().Add(o.timeout)
			for !undo && s.RequestsRunning+s.RequestsQueued > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "%d requests running, %d queued\n", s.RequestsRunning, s.RequestsQueued)
				if time.Now().After(deadline) {
					return jaypitch.Errorf(jaypitch.CodeOperator, "%d requests are still in progress after %s", s.RequestsRunning+s.RequestsQueued, o.timeout)
				}
				if err := jaypitch.Sleep(c.Context(), drainPollInterval); err != nil {
					return jaypitch.Errorf(jaypitch.CodeOperator, "interrupted with %d requests in progress; draining continues", s.RequestsRunning+s.RequestsQueued)
				}
				if err := sendRequestJSON(c.Context(), o, http.MethodGet, "/status", nil, &s); err != nil {
					return err
				}
			}
			if o.output == outputJSON {
				return printJSON(c.OutOrStdout(), s)
			}
			if undo {
				fmt.Fprintf(c.OutOrStdout(), "host %s takes new work unless it is stopping for another reason: %v\n", s.Host, s.Stopping)
				return nil
			}
			fmt.Fprintf(c.OutOrStdout(), "host %s takes no new work, and none is in progress\n", s.Host)
			return nil
		},
	}
	c.Flags().BoolVar(&undo, "undo", false, "end draining and accept new requests again")
	return c
}
