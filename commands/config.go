package commands

import (
	"context"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/setting"
)

func newConfig() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Check settings files; show and compare the configuration in force",
	}
	addControlFlags(c)
	c.AddCommand(newConfigCheck(), newConfigShow(), newConfigHistory(), newConfigDiff())
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

// configurationView is the configuration as "config show" prints it.
type configurationView struct {
	Revision uint64      `json:"revision"`
	Classes  []classView `json:"classes"`
	Stops    []stopView  `json:"stops"`
}

func newConfigShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the configuration in force as JSON",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return withClient(c, func(client *control.Client) error {
				current, reply := client.Configuration(c.Context())
				if err := replyError(reply); err != nil {
					return err
				}
				return printJSON(c.OutOrStdout(), configurationView{
					Revision: current.Revision(),
					Classes:  lo.Map(current.Classes(), newClassView),
					Stops:    lo.Map(current.Stops(), newStopView),
				})
			})
		},
	}
}

// revisionView is a revision as "config history" prints it.
type revisionView struct {
	Revision uint64   `json:"revision"`
	AtMS     int64    `json:"at_ms"`
	Changes  []string `json:"changes"`
}

func newConfigHistory() *cobra.Command {
	return newListCommand("history", "List the accepted changes, oldest first",
		func(ctx context.Context, client *control.Client) (table, control.Reply) {
			records, reply := client.History(ctx)
			return historyTable(records), reply
		})
}

func historyTable(records []configuration.Record) table {
	views := lo.Map(records, func(r configuration.Record, _ int) revisionView {
		return revisionView{Revision: r.Revision, AtMS: int64(r.At), Changes: lo.Map(r.Differences, describeDifferenceItem)}
	})
	rows := lo.FlatMap(views, func(v revisionView, _ int) [][]string {
		return lo.Map(v.Changes, func(change string, _ int) []string {
			return []string{strconv.FormatUint(v.Revision, 10), strconv.FormatInt(v.AtMS, 10), change}
		})
	})
	return table{header: []string{"revision", "at_ms", "change"}, rows: rows, value: views}
}

// describeDifferenceItem is describeDifference with the signature that lo.Map needs.
func describeDifferenceItem(d configuration.Difference, _ int) string {
	return describeDifference(d)
}

func newConfigDiff() *cobra.Command {
	c := &cobra.Command{
		Use:     "diff FROM TO",
		Short:   "Print what changed between two revisions",
		Example: "  galenaslip config diff 3 7",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			from, to, err := parseRevisions(args)
			if err != nil {
				return err
			}
			return withClient(c, func(client *control.Client) error {
				differences, reply := client.Diff(c.Context(), from, to)
				if err := replyError(reply); err != nil {
					return err
				}
				return differenceTable(differences).print(c)
			})
		},
	}
	addOutputFlag(c)
	return c
}

func parseRevisions(args []string) (from, to uint64, err error) {
	if from, err = strconv.ParseUint(args[0], 10, 64); err != nil {
		return 0, 0, fail(ExitUsage, errors.Wrapf(err, "revision %q is not a number", args[0]))
	}
	if to, err = strconv.ParseUint(args[1], 10, 64); err != nil {
		return 0, 0, fail(ExitUsage, errors.Wrapf(err, "revision %q is not a number", args[1]))
	}
	return from, to, nil
}

func differenceTable(differences []configuration.Difference) table {
	lines := lo.Map(differences, describeDifferenceItem)
	rows := lo.Map(lines, func(line string, _ int) []string { return []string{line} })
	return table{header: []string{"change"}, rows: rows, value: lines}
}
