package main

import (
	"bytes"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch/ini"
	"github.com/jaypitch/jaypitch/settings"
)

// checkCommand validates a settings file and reports all of its problems.
func checkCommand(o *options) *cobra.Command {
	var kind string
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file of a node, a sidecar or a team, or a host list",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := readFile(args[0])
			if err != nil {
				return err
			}
			problems := checkText(kind, args[0], text)
			if o.output == outputJSON {
				if problems == nil {
					problems = ini.Problems{}
				}
				if err := printJSON(c.OutOrStdout(), problems); err != nil {
					return err
				}
				if len(problems) > 0 {
					return &exitError{exitFailed}
				}
				return nil
			}
			if len(problems) > 0 {
				return problems
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: no problems\n", args[0])
			return nil
		},
	}
	c.Flags().StringVar(&kind, "kind", "auto", "node, sidecar, team, hosts, or auto to choose by the sections of the file")
	return c
}

// checkText parses a file of a kind and returns its problems. An unknown kind is read as a team's settings.
func checkText(kind, file string, text []byte) ini.Problems {
	if kind == "auto" {
		kind = kindOf(text)
	}
	var problems ini.Problems
	switch kind {
	case "node":
		_, problems = settings.ParseNode(file, text)
	case "sidecar":
		_, problems = settings.ParseSidecar(file, text)
	case "hosts":
		_, problems = settings.ParseHosts(file, text)
	default:
		_, problems = settings.ParseTeam(file, "", text)
	}
	return problems
}

// kindOf returns the kind of a file by its sections; a file without a section of another kind is a team's settings.
func kindOf(text []byte) string {
	switch {
	case bytes.Contains(text, []byte("[node]")):
		return "node"
	case bytes.Contains(text, []byte("[sidecar]")):
		return "sidecar"
	case bytes.Contains(text, []byte("[host ")):
		return "hosts"
	}
	return "team"
}
