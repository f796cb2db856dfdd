// Package commands holds the command line of galenaslip.
package commands

import (
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the command line.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailed means that the command was understood and failed.
	ExitFailed = 1
)

// Execute runs the command line and returns the process's exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		return ExitFailed
	}
	return ExitOK
}

func newRoot() *cobra.Command {
	return &cobra.Command{
		Use:          "galenaslip",
		Short:        "Route language-model traffic and plain services by service level and priority",
		SilenceUsage: true,
	}
}
