package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/spf13/cobra"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/platform"
	"github.com/galenaslip/galenaslip/setting"
)

func newServe() *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run one process of the router",
	}
	c.AddCommand(
		newServeRole("entry", "Run an entry: the data path between callers and backend servers", serveEntry),
		newServeRole("control", "Run a control process: one member of the replicated state", serveControl),
		newServeRole("relay", "Run a relay: the data path for HTTP routes on the users' infrastructure", serveRelay),
		newServeRole("member", "Run a member of the control group on the users' infrastructure", serveMember),
	)
	return c
}

func newServeRole(role, short string, run func(*cobra.Command, string, hangupSignals) error) *cobra.Command {
	c := &cobra.Command{
		Use:   role,
		Short: short,
		Long: short + `.

The process runs until it gets SIGTERM or SIGINT, or until an operator announces
its planned stop. It then finishes its work and ends with exit code 0. Further
SIGTERM signals do not end it sooner; a second SIGINT does.`,
		Example: "  galenaslip serve " + role + " --settings /etc/galenaslip/" + role + ".yaml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			path, err := c.Flags().GetString("settings")
			if err != nil {
				return errors.Wrap(err, "cannot read --settings")
			}
			h, release := notifyHangups()
			defer release()
			return run(c, path, h)
		},
	}
	c.Flags().String("settings", "", "settings file (required)")
	requireFlags(c, "settings")
	return c
}

// hangupSignals delivers the SIGHUP signals that the process gets.
type hangupSignals <-chan os.Signal

// notifyHangups starts to catch SIGHUP, and returns the signals and a function that
// ends this. A process calls it before anything else: without a handler SIGHUP ends
// the process, and the users' infrastructure may send it at any time.
func notifyHangups() (hangupSignals, func()) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received, func() { signal.Stop(received) }
}

// process is a process of the router or a stand-in that a command runs.
type process interface {
	Stop(ctx context.Context) error
}

// reloader is a process that reads its settings again on SIGHUP.
type reloader interface {
	Reload()
}

func serveEntry(c *cobra.Command, path string, h hangupSignals) error {
	settings, err := setting.LoadEntry(path)
	if err != nil {
		return fail(ExitUsage, err)
	}
	return serve(c, h, settings.Process, "the entry", (*entry.Entry).Stopped, func(i do.Injector) {
		do.ProvideValue(i, settings)
		do.Provide(i, provideControlClient)
		do.Provide(i, provideEntry)
	})
}

func serveControl(c *cobra.Command, path string, h hangupSignals) error {
	settings, err := setting.LoadControl(path)
	if err != nil {
		return fail(ExitUsage, err)
	}
	return serve(c, h, settings.Process, "the control process", neverStopsItself[*control.Control], func(i do.Injector) {
		do.ProvideValue(i, settings)
		do.Provide(i, provideControl)
	})
}

func serveRelay(c *cobra.Command, path string, h hangupSignals) error {
	settings, err := setting.LoadRelay(path)
	if err != nil {
		return fail(ExitUsage, err)
	}
	return serve(c, h, processSettings(settings.Node), "the relay", neverStopsItself[*platform.RelayProcess], func(i do.Injector) {
		do.Provide(i, func(i do.Injector) (*platform.RelayProcess, error) {
			e, _, err := platform.NewRelayProcess(path, settings, do.MustInvoke[clock.Clock](i), do.MustInvoke[event.Logger](i))
			return e, err
		})
	})
}

func serveMember(c *cobra.Command, path string, h hangupSignals) error {
	settings, err := setting.LoadGroupMember(path)
	if err != nil {
		return fail(ExitUsage, err)
	}
	return serve(c, h, processSettings(settings.Node), "the member", neverStopsItself[*platform.Member], func(i do.Injector) {
		do.Provide(i, func(i do.Injector) (*platform.Member, error) {
			m, _, err := platform.NewMember(path, settings, do.MustInvoke[clock.Clock](i), do.MustInvoke[event.Logger](i))
			return m, err
		})
	})
}

// neverStopsItself is the stopped function of processes that end only at a signal. It
// returns a nil channel, which is never closed.
func neverStopsItself[P process](P) <-chan struct{} { return nil }

// processSettings returns the settings of relays and members that serve needs.
func processSettings(n setting.Node) setting.Process {
	return setting.Process{Name: n.Name, LogLevel: n.LogLevel}
}

// serve starts the process that register provides and runs it until a signal arrives
// or stopped is closed. The name is for error messages.
func serve[P process](
	c *cobra.Command, h hangupSignals, settings setting.Process, name string, stopped func(P) <-chan struct{}, register func(do.Injector),
) error {
	injector, release, err := newInjector(settings)
	if err != nil {
		return err
	}
	defer release()
	register(injector)
	p, err := do.Invoke[P](injector)
	if err != nil {
		return fail(ExitFailed, errors.Wrap(err, "cannot start "+name))
	}
	return runProcess(c.Context(), p, stopped(p), h)
}

// newInjector returns a dependency-injection container with the clock and the logger
// of the process, and a function that shuts it down.
func newInjector(p setting.Process) (*do.RootScope, func(), error) {
	level, err := event.ParseLevel(p.LogLevel)
	if err != nil {
		return nil, nil, fail(ExitUsage, err)
	}
	logger, flush := event.New(p.Name, level)
	injector := do.New()
	do.ProvideValue(injector, clock.New())
	do.ProvideValue(injector, logger)
	release := func() {
		_ = injector.Shutdown()
		flush()
	}
	return injector, release, nil
}

// runProcess waits for a signal, or until the process itself has stopped as planned,
// and then calls Stop. Further SIGTERM signals have no effect, because a platform may repeat
// its order; a second interrupt ends the process immediately.
func runProcess(ctx context.Context, p process, stopped <-chan struct{}, h hangupSignals) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	if waitForStop(ctx, signals, stopped, h, p) == os.Interrupt {
		signal.Reset(os.Interrupt)
	}
	if err := p.Stop(ctx); err != nil {
		return fail(ExitFailed, errors.Wrap(err, "graceful stop failed"))
	}
	return nil
}

// waitForStop returns at a signal, with this signal, or when ctx ends or stopped is closed. Meanwhile it
// reloads the settings at each SIGHUP.
func waitForStop(ctx context.Context, signals <-chan os.Signal, stopped <-chan struct{}, h hangupSignals, p process) os.Signal {
	for {
		select {
		case s := <-signals:
			return s
		case <-ctx.Done():
			return nil
		case <-stopped:
			return nil
		case <-h:
			if r, ok := p.(reloader); ok {
				r.Reload()
			}
		}
	}
}
