package commands

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/outcome"
)

// addChangeFlags adds the flags that every command with a configuration change
// needs.
func addChangeFlags(c *cobra.Command) {
	c.Flags().String("key", "", "idempotency key; repeat a change whose outcome is unknown with the key that was printed")
	c.Flags().Uint64("base-revision", 0, "revision that the change was decided on; default: the current one")
}

// changeBuilder returns a change for the current configuration.
type changeBuilder func(current configuration.Configuration) (configuration.Change, error)

// applyChange reads the configuration and sends one change of it. The control group
// answers a repeated change with the same key as the first time, so repeating a
// command with an unknown outcome is safe.
func applyChange(c *cobra.Command, build changeBuilder) error {
	return withClient(c, func(client *control.Client) error {
		current, reply := client.Configuration(c.Context())
		if err := replyError(reply); err != nil {
			return errors.Wrap(err, "cannot read the configuration; nothing was changed")
		}
		change, err := build(current)
		if err != nil {
			return fail(ExitUsage, err)
		}
		return sendChange(c, client, current.Revision(), change)
	})
}

func sendChange(c *cobra.Command, client *control.Client, revision uint64, change configuration.Change) error {
	key, err := c.Flags().GetString("key")
	if err != nil {
		return errors.Wrap(err, "cannot read --key")
	}
	if key == "" {
		key = control.NewIdempotencyKey()
	}
	base, err := c.Flags().GetUint64("base-revision")
	if err != nil {
		return errors.Wrap(err, "cannot read --base-revision")
	}
	if base == 0 {
		base = revision
	}
	return printChangeReply(c, key, client.Change(c.Context(), base, change, key))
}

// printChangeReply prints the revision of an accepted change, or returns an error.
func printChangeReply(c *cobra.Command, key string, reply control.ChangeReply) error {
	if reply.Kind == outcome.Unknown {
		return failf(ExitUnknown, "outcome unknown: %s; repeat the command with --key %s", replyMessage(reply.Reply), key)
	}
	if err := replyError(reply.Reply); err != nil {
		return err
	}
	switch reply.Answer.Kind {
	case configuration.Accepted:
		fmt.Fprintf(c.OutOrStdout(), "accepted as revision %d\n", reply.Answer.Revision)
		return nil
	case configuration.Conflict:
		return failf(ExitConflict, "another change was accepted first; the current revision is %d:\n%s\nlook at it, then repeat the command",
			reply.Answer.Revision, describeDifferences(reply.Answer.Differences))
	default:
		return failf(ExitUsage, "refused: %s", reply.Answer.Reason)
	}
}

func describeDifferences(differences []configuration.Difference) string {
	lines := make([]string, 0, len(differences))
	for _, d := range differences {
		lines = append(lines, "  "+describeDifference(d))
	}
	return strings.Join(lines, "\n")
}

// describeDifference returns one line that says what was added, removed or changed.
func describeDifference(d configuration.Difference) string {
	switch {
	case d.OldClass != nil && d.NewClass != nil:
		return fmt.Sprintf("changed class %s to %s", describeClass(*d.OldClass), describeClass(*d.NewClass))
	case d.NewClass != nil:
		return "added class " + describeClass(*d.NewClass)
	case d.OldClass != nil:
		return "deleted class " + describeClass(*d.OldClass)
	case d.NewStop != nil:
		return "announced stop " + describeStop(*d.NewStop)
	case d.OldStop != nil:
		return "cancelled stop " + describeStop(*d.OldStop)
	}
	return "no difference"
}
