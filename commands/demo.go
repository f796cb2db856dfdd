package commands

import (
	"github.com/spf13/cobra"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/demo"
	"github.com/galenaslip/galenaslip/event"
)

func newDemo() *cobra.Command {
	var verbose bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole site in this process and send each kind of work",
		Long: `Run three control members, four entries, stand-in engines and a ledger in this
process, send each kind of work and print the outcomes by class. It takes a few
seconds and needs no settings. The exit code is 1 if a promise was broken.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			logger, flush := event.Discard(), func() {}
			if verbose {
				logger, flush = event.NewWithOutput(c.ErrOrStderr(), "demo", event.Info)
			}
			defer flush()
			return fail(ExitFailed, demo.Run(c.Context(), demo.Options{Clock: clock.New(), Logger: logger, Output: c.OutOrStdout()}))
		},
	}
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "write the log to standard error")
	return c
}
