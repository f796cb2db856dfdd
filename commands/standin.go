package commands

import (
	"context"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/setting"
	"github.com/galenaslip/galenaslip/standin"
)

func newStandin() *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in backend server for trials and tests",
	}
	c.AddCommand(newStandinEngine(), newStandinService(), newStandinFleet())
	return c
}

// standinFlags are the flags that all stand-in commands share.
type standinFlags struct {
	name, listen, zone, tokenFile string
	entries                       []string
}

func (f *standinFlags) register(flags *pflag.FlagSet, name string) {
	flags.StringVar(&f.name, "name", name, "name of the server")
	flags.StringVar(&f.listen, "listen", "127.0.0.1:0", "IP number and port; port 0 takes a free one")
	flags.StringVar(&f.zone, "availability-zone", "az-1", "availability zone")
	flags.StringSliceVar(&f.entries, "announce-to", []string{"127.0.0.1:8080"}, "addresses of entries to announce to")
	flags.StringVar(&f.tokenFile, "token-file", "", "file with the server's bearer token; its mode must be 0600")
}

func (f *standinFlags) options() (standin.Announce, error) {
	for _, a := range append([]string{f.listen}, f.entries...) {
		if err := setting.CheckAddress(a); err != nil {
			return standin.Announce{}, failf(ExitUsage, "address %s", err)
		}
	}
	token, err := setting.ReadToken(f.tokenFile)
	return standin.Announce{Entries: f.entries, Token: token, AvailabilityZone: f.zone}, fail(ExitUsage, err)
}

func newStandinEngine() *cobra.Command {
	var f standinFlags
	var o standin.EngineOptions
	var tokenTime int64
	c := &cobra.Command{
		Use:     "engine",
		Short:   "Run a stand-in model engine",
		Example: "  galenaslip standin engine --name engine-1 --models m-small --announce-to 127.0.0.1:8080",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.run(c, "the stand-in engine", func(announce standin.Announce, logger event.Logger) (standinServer, func(), error) {
				o.Name, o.Listen, o.Announce = f.name, f.listen, announce
				o.Clock, o.Logger, o.TokenTime = clock.New(), logger, clock.Millis(tokenTime)
				return standin.NewEngine(o)
			})
		},
	}
	f.register(c.Flags(), "engine-1")
	c.Flags().StringSliceVar(&o.Models, "models", []string{"m-small"}, "models that the engine serves")
	c.Flags().Int64Var(&tokenTime, "token-time-ms", 20, "time of one step with one request, in milliseconds")
	c.Flags().Float64Var(&o.PrefillRate, "prefill-rate", 0, "prompt tokens a second; 0 takes the default")
	c.Flags().Float64Var(&o.StepGrowth, "batch-growth", 0, "share of the token time that each further request adds; 0 takes the default")
	c.Flags().IntVar(&o.Slots, "slots", 16, "requests that run at the same time")
	c.Flags().BoolVar(&o.IgnoreFencing, "ignore-fencing", false, "run orders with an old fencing token")
	return c
}

// newStandinService returns the command "standin ledger", which runs a stand-in service.
func newStandinService() *cobra.Command {
	var f standinFlags
	var services []string
	var latency int64
	c := &cobra.Command{
		Use:     "ledger",
		Short:   "Run a stand-in plain service that counts how often each key ran",
		Example: "  galenaslip standin ledger --name ledger-1 --services ledger --announce-to 127.0.0.1:8080",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.run(c, "the stand-in service", func(announce standin.Announce, logger event.Logger) (standinServer, func(), error) {
				return standin.NewService(standin.ServiceOptions{
					Name: f.name, Listen: f.listen, Services: services, Announce: announce,
					Clock: clock.New(), Logger: logger, Latency: clock.Millis(latency),
				})
			})
		},
	}
	f.register(c.Flags(), "ledger-1")
	c.Flags().StringSliceVar(&services, "services", []string{"ledger"}, "services that the server offers")
	c.Flags().Int64Var(&latency, "latency-ms", 5, "time of one call, in milliseconds")
	return c
}

// newStandinFleet returns the command "standin fleet", which only announces engines and
// runs none.
func newStandinFleet() *cobra.Command {
	var f standinFlags
	var o standin.FleetOptions
	c := &cobra.Command{
		Use:     "fleet",
		Short:   "Announce many engines that do not exist, to measure an entry",
		Example: "  galenaslip standin fleet --count 260 --models 36 --announce-to 127.0.0.1:8080",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			announce, err := f.options()
			if err != nil {
				return err
			}
			o.NamePrefix, o.Announce, o.Clock = f.name+"-", announce, clock.New()
			_, release := standin.NewFleet(o)
			h, releaseHangups := notifyHangups()
			defer releaseHangups()
			return runProcess(c.Context(), cleanupProcess(release), nil, h)
		},
	}
	f.register(c.Flags(), "fleet")
	c.Flags().IntVar(&o.Count, "count", 100, "number of engines")
	c.Flags().IntVar(&o.Models, "models", 1, "number of models; each engine serves one")
	return c
}

// cleanupProcess is a clean-up function as a process: Stop calls it.
type cleanupProcess func()

// Stop implements process.
func (r cleanupProcess) Stop(context.Context) error {
	r()
	return nil
}

// standinServer is a stand-in engine or a stand-in service.
type standinServer interface {
	process
	Address() string
}

// run starts a stand-in and waits until it is stopped. The name is for error
// messages.
func (f *standinFlags) run(
	c *cobra.Command, name string, start func(standin.Announce, event.Logger) (standinServer, func(), error),
) error {
	announce, err := f.options()
	if err != nil {
		return err
	}
	logger, flush := event.New(f.name, event.Info)
	defer flush()
	s, release, err := start(announce, logger)
	if err != nil {
		return fail(ExitFailed, errors.Wrap(err, "cannot start "+name))
	}
	defer release()
	logger.Log(event.ProcessStarted, zap.String("address", s.Address()))
	h, releaseHangups := notifyHangups()
	defer releaseHangups()
	err = runProcess(c.Context(), s, nil, h)
	logger.Log(event.ProcessStopped)
	return err
}
