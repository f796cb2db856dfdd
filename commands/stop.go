package commands

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

func newStop() *cobra.Command {
	c := &cobra.Command{
		Use:   "stop",
		Short: "Announce, list and cancel planned stops of entries and backend servers",
	}
	addControlFlags(c)
	c.AddCommand(newStopAnnounce(), newStopList(), newStopCancel())
	return c
}

func newStopAnnounce() *cobra.Command {
	c := &cobra.Command{
		Use:   "announce entry|server NAME",
		Short: "Announce the planned stop of an entry or a backend server",
		Long: `Announce the planned stop of an entry or a backend server. It gets no new work;
what runs may finish. An entry ends with exit code 0 when it has finished.`,
		Example: "  galenaslip stop announce server engine-7 --grace-ms 600000",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			kind := configuration.StopKind(args[0])
			if !kind.Valid() {
				return failf(ExitUsage, "kind %q is unknown: want %q or %q", args[0], configuration.StopEntry, configuration.StopServer)
			}
			grace, err := c.Flags().GetInt64("grace-ms")
			if err != nil {
				return errors.Wrap(err, "cannot read --grace-ms")
			}
			return applyChange(c, func(configuration.Configuration) (configuration.Change, error) {
				return configuration.AnnounceStop{Kind: kind, Name: args[1], Grace: clock.Millis(grace)}, nil
			})
		},
	}
	c.Flags().Int64("grace-ms", 0, "time for running work to finish, in milliseconds; 0 means no limit")
	addChangeFlags(c)
	return c
}

func newStopList() *cobra.Command {
	return newListCommand("list", "List the planned stops in force", configurationTable(stopTable))
}

// stopView is a planned stop as the commands print it.
type stopView struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	GraceMS int64  `json:"grace_ms"`
}

func newStopView(s configuration.Stop, _ int) stopView {
	return stopView{ID: s.ID(), Kind: string(s.Kind()), Name: s.Name(), GraceMS: int64(s.Grace())}
}

func stopTable(current configuration.Configuration) table {
	views := lo.Map(current.Stops(), newStopView)
	rows := lo.Map(views, func(v stopView, _ int) []string {
		return []string{v.ID, v.Kind, v.Name, strconv.FormatInt(v.GraceMS, 10)}
	})
	return table{header: []string{"id", "kind", "name", "grace_ms"}, rows: rows, value: views}
}

func describeStop(s configuration.Stop) string {
	return fmt.Sprintf("%s of %s %s", s.ID(), s.Kind(), s.Name())
}

func newStopCancel() *cobra.Command {
	c := &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a planned stop",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return applyChange(c, func(configuration.Configuration) (configuration.Change, error) {
				return configuration.CancelStop{ID: args[0]}, nil
			})
		},
	}
	addChangeFlags(c)
	return c
}
