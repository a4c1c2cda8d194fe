package main

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch/settings"
)

// diffCommand compares a team's file with the team's settings that are in force at a node.
func diffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Compare a team's file with the settings in force at a node",
		Long:  "Exit status 0 means no difference, 1 a difference, 2 an invalid file or a request to the node that failed.",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := readFile(args[0])
			if err != nil {
				return err
			}
			team, problems := settings.ParseTeam(args[0], "", text)
			if len(problems) > 0 {
				return problems
			}
			inForce, err := sendRequest(c.Context(), o, http.MethodGet, "/settings/"+team.GetTeam().GetName(), nil)
			if err != nil {
				return err
			}
			different, err := printDiff(c.OutOrStdout(), args[0], string(inForce), string(text))
			if err != nil {
				return err
			}
			if different {
				return &exitError{exitNegative}
			}
			return nil
		},
	}
}

// printDiff writes a unified diff from the settings in force to the file, and reports whether there is a difference.
func printDiff(w io.Writer, file, inForce, text string) (bool, error) {
	d := difflib.UnifiedDiff{A: difflib.SplitLines(inForce), B: difflib.SplitLines(text), FromFile: "in force", ToFile: file, Context: 2}
	out, err := difflib.GetUnifiedDiffString(d)
	if err != nil {
		return false, fmt.Errorf("comparing %q: %w", file, err)
	}
	_, err = io.WriteString(w, out)
	return out != "", err
}
