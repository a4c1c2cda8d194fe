package main

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"github.com/jaypitch/jaypitch/settings"
)

// diffCommand compares a team's file with what is in force at a node.
func diffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Compare a team's file with the subtree in force at a node",
		Long:  "Exit status 0 means no difference, 1 a difference, 2 that the file is bad or the node doesn't answer.",
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
			held, err := ask(c.Context(), o, http.MethodGet, "/settings/"+team.GetTeam().GetName(), nil)
			if err != nil {
				return err
			}
			different, err := printDiff(c.OutOrStdout(), args[0], string(held), string(text))
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

func printDiff(w io.Writer, file, held, text string) (bool, error) {
	d := difflib.UnifiedDiff{A: difflib.SplitLines(held), B: difflib.SplitLines(text), FromFile: "in force", ToFile: file, Context: 2}
	out, err := difflib.GetUnifiedDiffString(d)
	if err != nil {
		return false, fmt.Errorf("comparing %q: %w", file, err)
	}
	_, err = io.WriteString(w, out)
	return out != "", err
}
