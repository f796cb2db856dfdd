package commands

import (
	"context"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/setting"
)

// defaultControlAddresses are the addresses of the control processes in the example
// settings.
var defaultControlAddresses = []string{"127.0.0.1:8181", "127.0.0.1:8182", "127.0.0.1:8183"}

// addControlFlags adds the flags that every command with calls to the control group
// needs.
func addControlFlags(c *cobra.Command) {
	c.PersistentFlags().StringSlice("control", defaultControlAddresses, "addresses of the control processes")
	c.PersistentFlags().String("token-file", "", "file with the operator's bearer token; its mode must be 0600")
}

// withClient calls f with a client of the control group. The flags give the
// addresses and the token.
func withClient(c *cobra.Command, f func(*control.Client) error) error {
	addresses, err := c.Flags().GetStringSlice("control")
	if err != nil {
		return errors.Wrap(err, "cannot read --control")
	}
	for _, a := range addresses {
		if err := setting.CheckAddress(a); err != nil {
			return failf(ExitUsage, "control %s", err)
		}
	}
	token, err := readTokenFlag(c)
	if err != nil {
		return err
	}
	client, release, err := control.NewClient(control.ClientOptions{Addresses: addresses, Token: token, Clock: clock.New()})
	if err != nil {
		return fail(ExitUsage, err)
	}
	defer release()
	return f(client)
}

// replyError returns nil if the control group answered the call. Otherwise it returns an
// error whose exit code says whether the call did not run or its outcome is unknown.
func replyError(r control.Reply) error {
	switch r.Kind {
	case outcome.Answered:
		return nil
	case outcome.NotRun:
		return failf(ExitNotRun, "not run: %s", replyMessage(r))
	default:
		return failf(ExitUnknown, "outcome unknown: %s", replyMessage(r))
	}
}

// replyMessage returns the message of a reply, or its reason if there is none.
func replyMessage(r control.Reply) string {
	if r.Message != "" {
		return r.Message
	}
	return string(r.Reason)
}

// newListCommand returns a command that prints a table. The function read gets the
// table from the control group.
func newListCommand(use, short string, read func(context.Context, *control.Client) (table, control.Reply)) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return withClient(c, func(client *control.Client) error {
				t, reply := read(c.Context(), client)
				if err := replyError(reply); err != nil {
					return err
				}
				return t.print(c)
			})
		},
	}
	addOutputFlag(c)
	return c
}

// configurationTable returns a function that reads the configuration and makes a
// table of it with toTable.
func configurationTable(toTable func(configuration.Configuration) table) func(context.Context, *control.Client) (table, control.Reply) {
	return func(ctx context.Context, client *control.Client) (table, control.Reply) {
		current, reply := client.Configuration(ctx)
		return toTable(current), reply
	}
}
