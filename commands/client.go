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

// defaultControl is where the processes of the example settings listen.
var defaultControl = []string{"127.0.0.1:8181", "127.0.0.1:8182", "127.0.0.1:8183"}

// addControlFlags adds the flags of every command that talks to the control
// group.
func addControlFlags(c *cobra.Command) {
	c.PersistentFlags().StringSlice("control", defaultControl, "addresses of the control processes")
	c.PersistentFlags().String("token-file", "", "file with the operator's bearer token; its mode must be 0600")
}

// withClient runs f with a client of the control group that the flags name.
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

// replyFailure returns the failure that a reply stands for, or nil when the
// control group has answered.
func replyFailure(r control.Reply) error {
	switch r.Kind {
	case outcome.Answered:
		return nil
	case outcome.NotRun:
		return failf(ExitNotRun, "not run: %s", replyText(r))
	default:
		return failf(ExitUnknown, "outcome unknown: %s", replyText(r))
	}
}

func replyText(r control.Reply) string {
	if r.Message != "" {
		return r.Message
	}
	return string(r.Reason)
}

// newList returns a command that prints a table of what the control group
// answers.
func newList(use, short string, read func(context.Context, *control.Client) (table, control.Reply)) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return withClient(c, func(client *control.Client) error {
				t, reply := read(c.Context(), client)
				if err := replyFailure(reply); err != nil {
					return err
				}
				return t.print(c)
			})
		},
	}
	addOutputFlag(c)
	return c
}

// tableOf makes a reader of the configuration from a function that shows it.
func tableOf(show func(configuration.Configuration) table) func(context.Context, *control.Client) (table, control.Reply) {
	return func(ctx context.Context, client *control.Client) (table, control.Reply) {
		current, reply := client.Configuration(ctx)
		return show(current), reply
	}
}
