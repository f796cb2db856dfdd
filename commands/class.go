package commands

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

func newClass() *cobra.Command {
	c := &cobra.Command{
		Use:   "class",
		Short: "List and change the classes of requests",
	}
	addControlFlags(c)
	c.AddCommand(newClassList(), newClassSet(), newClassDelete())
	return c
}

func newClassList() *cobra.Command {
	return newListCommand("list", "List the classes with their targets and tiers", configurationTable(classTable))
}

// classView is a class as the commands print it.
type classView struct {
	Name     string `json:"name"`
	Tier     int    `json:"tier"`
	TargetMS int64  `json:"target_ms"`
	Measure  string `json:"measure"`
}

func newClassView(c class.Class, _ int) classView {
	return classView{Name: c.Name(), Tier: int(c.Tier()), TargetMS: int64(c.Target()), Measure: string(c.Measure())}
}

func classTable(current configuration.Configuration) table {
	views := lo.Map(current.Classes(), newClassView)
	rows := lo.Map(views, func(v classView, _ int) []string {
		return []string{v.Name, strconv.Itoa(v.Tier), strconv.FormatInt(v.TargetMS, 10), v.Measure}
	})
	return table{header: []string{"class", "tier", "target_ms", "measure"}, rows: rows, value: views}
}

func describeClass(c class.Class) string {
	return fmt.Sprintf("%s (tier %d, target_ms %d, measure %s)", c.Name(), c.Tier(), c.Target(), c.Measure())
}

func newClassSet() *cobra.Command {
	c := &cobra.Command{
		Use:   "set NAME",
		Short: "Create a class, or change its target or tier",
		Long: `Create a class, or change its target or tier. A flag that is left out keeps the
value of an existing class; a new class needs --tier and --target-ms.`,
		Example: "  galenaslip class set clause-query --tier 1 --target-ms 580 --measure first_token",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return applyChange(c, func(current configuration.Configuration) (configuration.Change, error) {
				return newSetClassChange(c, current, args[0])
			})
		},
	}
	c.Flags().Int("tier", 0, fmt.Sprintf("priority, %d (first) to %d", class.HighestTier, class.LowestTier))
	c.Flags().Int64("target-ms", 0, "latency target in milliseconds")
	c.Flags().String("measure", "", fmt.Sprintf("what the target is measured to: %q (default) or %q", class.FirstToken, class.Completion))
	addChangeFlags(c)
	return c
}

// newSetClassChange returns the change that sets a class from the flags. A flag that
// is not set keeps the value of the existing class.
func newSetClassChange(c *cobra.Command, current configuration.Configuration, name string) (configuration.Change, error) {
	tier, err := c.Flags().GetInt("tier")
	if err != nil {
		return nil, errors.Wrap(err, "cannot read --tier")
	}
	target, err := c.Flags().GetInt64("target-ms")
	if err != nil {
		return nil, errors.Wrap(err, "cannot read --target-ms")
	}
	measure, err := c.Flags().GetString("measure")
	if err != nil {
		return nil, errors.Wrap(err, "cannot read --measure")
	}
	existing, _ := current.Class(name)
	built, err := class.New(name,
		lo.CoalesceOrEmpty(class.Tier(tier), existing.Tier()),
		lo.CoalesceOrEmpty(clock.Millis(target), existing.Target()),
		lo.CoalesceOrEmpty(class.Measure(measure), existing.Measure(), class.FirstToken))
	return configuration.SetClass{Class: built}, err
}

func newClassDelete() *cobra.Command {
	c := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete a class; requests that name it are refused from then on",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return applyChange(c, func(configuration.Configuration) (configuration.Change, error) {
				return configuration.DeleteClass{Name: args[0]}, nil
			})
		},
	}
	addChangeFlags(c)
	return c
}
