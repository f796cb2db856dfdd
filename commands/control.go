package commands

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/setting"
)

func newControl() *cobra.Command {
	c := &cobra.Command{
		Use:   "control",
		Short: "Repair the control group",
	}
	c.AddCommand(newControlRecover())
	return c
}

func newControlRecover() *cobra.Command {
	var settings, identity string
	var epoch uint64
	c := &cobra.Command{
		Use:   "recover",
		Short: "Make the stopped member of these settings the only voter",
		Long: `Make the stopped member of these settings the only voter of a new group. Use it
only when two of three voters are lost for good: configuration changes and claims
of at-most-once calls that only they had are gone, and a call whose claim is gone
may run again when its caller repeats it.

Read identity and epoch from the member's state dump ("galenaslip state ADDRESS")
before you stop it. Choose the member with the highest "commit". Start it again
afterwards; the other members join it by themselves when they start.`,
		Example: "  galenaslip control recover --settings control.yaml --identity control-1 --epoch 1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return recoverControl(c, settings, identity, epoch)
		},
	}
	c.Flags().StringVar(&settings, "settings", "", "settings file of the member (required)")
	c.Flags().StringVar(&identity, "identity", "", "identity of the member (required)")
	c.Flags().Uint64Var(&epoch, "epoch", 0, "membership epoch of the member (required)")
	requireFlags(c, "settings", "identity", "epoch")
	return c
}

// recoverControl makes the member with the settings file the only voter of its group.
func recoverControl(c *cobra.Command, settings, identity string, epoch uint64) error {
	s, err := setting.LoadControl(settings)
	if err != nil {
		return fail(ExitUsage, err)
	}
	logger, flush := event.NewWithOutput(c.ErrOrStderr(), s.Name, event.Info)
	defer flush()
	err = control.Recover(control.Options{
		Name: s.Name, Advertise: s.Advertise, Folder: s.DataFolder, Clock: clock.New(), Logger: logger,
	}, identity, epoch)
	if err != nil {
		return fail(ExitFailed, err)
	}
	fmt.Fprintf(c.OutOrStdout(), "%s is the only voter now; start its process, then the others\n", s.Name)
	return nil
}

// requireFlags makes a command refuse to run without the flags, which must be defined.
func requireFlags(c *cobra.Command, names ...string) {
	for _, name := range names {
		if err := c.MarkFlagRequired(name); err != nil {
			panic(errors.Wrapf(err, "flag %s", name))
		}
	}
}
