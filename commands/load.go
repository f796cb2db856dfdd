package commands

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/load"
	"github.com/galenaslip/galenaslip/site"
	"github.com/galenaslip/galenaslip/usage"
)

type loadFlags struct {
	policies     []string
	rounds       int
	reportFolder string
	slotLeases   bool
	pids         []int
}

func newLoad() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load SCENARIO",
		Short: "Run an experiment and report attainment, goodput and wasted work",
		Long: `Send the requests of a scenario to entries and report what their callers saw. By
default the entries and stand-ins that the scenario names must be running. With
--policy the command runs the whole site itself, once for each policy, and
repeats that --rounds times, so that policies are compared in one run.

The exit code is 1 if a request was lost, answered wrongly, run twice or
misreported.`,
		Example: "  galenaslip load scenarios/site-a-burst.yaml --policy naive,real --report-folder /tmp/report",
		Args:    cobra.ExactArgs(1),
		RunE:    func(c *cobra.Command, args []string) error { return f.run(c, args[0]) },
	}
	c.Flags().StringSliceVar(&f.policies, "policy", nil, `run the site in this process with these policies: "real", "naive"`)
	c.Flags().IntVar(&f.rounds, "rounds", 1, "repetitions, with --policy")
	c.Flags().BoolVar(&f.slotLeases, "slot-leases", true, "let one entry for each server hand out its slots, with --policy")
	c.Flags().IntSliceVar(&f.pids, "pid", nil, "processes whose processor time, bytes and memory are reported")
	c.Flags().StringVar(&f.reportFolder, "report-folder", "", "folder for the reports as JSON and HTML")
	return c
}

func (f loadFlags) run(c *cobra.Command, path string) error {
	scenario, err := load.ReadScenario(path)
	if err != nil {
		return fail(ExitUsage, err)
	}
	if len(f.policies) == 0 {
		return f.runScenario(c, scenario, scenario.Name)
	}
	var lastFailure error
	for round := range f.rounds {
		for _, policy := range f.policies {
			name := fmt.Sprintf("%s-%s-%d", scenario.Name, policy, round+1)
			if err := f.runSite(c, scenario, entry.Policy(policy), name); err != nil {
				lastFailure = err
			}
		}
	}
	return lastFailure
}

// runSite starts a site with the policy in this process and runs the scenario at it.
func (f loadFlags) runSite(c *cobra.Command, s load.Scenario, policy entry.Policy, name string) error {
	if policy != entry.PolicyStandard && policy != entry.PolicyNaive {
		return failf(ExitUsage, "policy %q is unknown: want %q or %q", policy, entry.PolicyStandard, entry.PolicyNaive)
	}
	options := load.SiteOptions(s, policy, clock.New(), event.Discard())
	options.Entry.SlotLeases = f.slotLeases
	_, release, err := site.New(c.Context(), options)
	if err != nil {
		return fail(ExitFailed, err)
	}
	defer release()
	return f.runScenario(c, s, name)
}

// runScenario sends the requests of a scenario, prints the report and writes the
// report files. It returns an error if a request was lost, answered wrongly, run twice or
// misreported.
func (f loadFlags) runScenario(c *cobra.Command, s load.Scenario, name string) error {
	systemClock := clock.New()
	before, err := readUsage(f.pids, systemClock)
	if err != nil {
		return err
	}
	report, err := load.Run(c.Context(), load.Options{Scenario: s, Clock: systemClock, ExpectedAnswer: load.ExpectedStandInText})
	if err != nil {
		return fail(ExitFailed, err)
	}
	after, err := readUsage(f.pids, systemClock)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "== %s\n", name)
	if err := report.WriteTable(c.OutOrStdout()); err != nil {
		return err
	}
	printUsage(c.OutOrStdout(), f.pids, before, after)
	if f.reportFolder != "" {
		if err := f.writeReports(report, name); err != nil {
			return fail(ExitFailed, err)
		}
	}
	if len(report.Breaches) > 0 {
		return failf(ExitFailed, "%s: %d broken promises", name, len(report.Breaches))
	}
	return nil
}

// readUsage returns the resource usage of each process until now.
func readUsage(pids []int, c clock.Clock) ([]usage.Usage, error) {
	list := make([]usage.Usage, 0, len(pids))
	for _, pid := range pids {
		u, err := usage.Read(pid, c.Now())
		if err != nil {
			return nil, fail(ExitUsage, errors.Wrapf(err, "process %d", pid))
		}
		list = append(list, u)
	}
	return list, nil
}

// printUsage prints the processor time, bytes and memory that each process used
// between two readings.
func printUsage(w io.Writer, pids []int, before, after []usage.Usage) {
	for i, pid := range pids {
		rate := after[i].RateSince(before[i])
		fmt.Fprintf(w, "process %d: %.1f%% of a core, %.1f KB/s, %.1f MB\n",
			pid, rate.CorePercent, rate.BytesPerSecond/1000, float64(rate.ResidentBytes)/1e6)
	}
}

func (f loadFlags) writeReports(report load.Report, name string) error {
	if err := os.MkdirAll(f.reportFolder, 0o755); err != nil {
		return errors.Wrap(err, "cannot create the report folder")
	}
	if err := writeReport(filepath.Join(f.reportFolder, name+".json"), report.WriteJSON); err != nil {
		return err
	}
	return writeReport(filepath.Join(f.reportFolder, name+".html"), report.WriteHTML)
}

func writeReport(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "cannot create the report")
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "cannot write the report")
}
