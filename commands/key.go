package commands

import (
	"fmt"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

func newKey() *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Print a new idempotency key (UUID version 7)",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			key, err := uuid.NewV7()
			if err != nil {
				return fail(ExitFailed, errors.Wrap(err, "cannot make a key"))
			}
			fmt.Fprintln(c.OutOrStdout(), key)
			return nil
		},
	}
}
