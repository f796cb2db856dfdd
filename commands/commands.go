package commands

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Execute runs the command line and returns the process's exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := NewRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return int(ExitOK)
	}
	fmt.Fprintf(stderr, "error: %s\n", err)
	var failure *ExitError
	if errors.As(err, &failure) {
		return int(failure.code)
	}
	// All other errors come from Cobra, for unknown commands, flags and arguments.
	return int(ExitUsage)
}

// NewRootCommand returns the root command with all subcommands.
func NewRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "galenaslip",
		Short: "Route language-model traffic and plain services by service level and priority",
		Long: `galenaslip puts language models and application services behind one address.
Operators give each class of requests a latency target and a priority tier; the
router decides the rest. Start with "galenaslip demo".

` + exitCodeHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newDemo(),
		newServe(),
		newStandin(),
		newLoad(),
		newClass(),
		newStop(),
		newConfig(),
		newControl(),
		newState(),
		newQuarantine(),
		newKey(),
		newExplain(),
		newVersion(),
	)
	return root
}
