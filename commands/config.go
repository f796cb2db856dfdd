package commands

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/galenaslip/galenaslip/setting"
)

func newConfig() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Check settings files; show and compare the configuration in force",
	}
	c.AddCommand(newConfigCheck())
	return c
}

func newConfigCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check settings files without starting anything",
		Example: "  galenaslip config check examples/entry.yaml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			for _, f := range files {
				role, err := setting.Check(f)
				if err != nil {
					return fail(ExitUsage, err)
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: valid settings of role %s\n", f, role)
			}
			return nil
		},
	}
}
