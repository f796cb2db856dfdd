package setting

import (
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

// The names of the duties that a member can take on; it ignores others, because the platform lists all
// that it offers.
const (
	// DutyUsage is to report the usage of workspaces.
	DutyUsage = "metering"
	// DutyServers is to order backend servers.
	DutyServers = "autoscale"
)

// Duties are the calls to the platform that one member at a time makes, see package duty.
type Duties struct {
	Names          []string
	Address        string // IP:port of the receiver
	CallsPerSecond float64
	HolderLease    clock.Millis // how long a new holder waits before its first call
	UsageWindow    clock.Millis // length of the windows of usage reports
	UsageLateness  clock.Millis // when a report is due, after the end of its window
}

// Has reports whether the members have a duty.
func (d Duties) Has(name string) bool { return slices.Contains(d.Names, name) }

type wireDuties struct {
	Duties            []string `yaml:"duties"`
	DutyAddress       string   `yaml:"duty_address"`
	DutyCallsPerS     float64  `yaml:"duty_calls_per_s"`
	DutyHolderLeaseMS int64    `yaml:"duty_lease_ms"`
	UsageWindowS      float64  `yaml:"usage_window_s"`
	UsageLateS        float64  `yaml:"usage_late_s"`
}

// defaultDuties returns the values of keys that a settings file leaves out.
func defaultDuties() wireDuties { return wireDuties{DutyCallsPerS: 10, DutyHolderLeaseMS: 3000} }

func (w wireDuties) toSettings() Duties {
	return Duties{
		Names: w.Duties, Address: w.DutyAddress, CallsPerSecond: w.DutyCallsPerS, HolderLease: clock.Millis(w.DutyHolderLeaseMS),
		UsageWindow: secondsToMillis(w.UsageWindowS), UsageLateness: secondsToMillis(w.UsageLateS),
	}
}

// Allowed values of the settings of duties.
const (
	maxDutyCallsPerS  = 1000
	minDutyCallsPerS  = 0.1
	maxUsageWindowS   = 86_400
	minUsageWindowS   = 1
	maxDutyLeaseMS    = 600_000
	maxUsageLatenessS = 86_400
)

func (d document) checkDuties(w wireDuties) error {
	if len(w.Duties) == 0 {
		return nil
	}
	if err := CheckAddress(w.DutyAddress); err != nil {
		return d.errorAt("$.duty_address", "duties are listed, but duty_address %s", err)
	}
	if w.DutyCallsPerS < minDutyCallsPerS || w.DutyCallsPerS > maxDutyCallsPerS {
		return d.errorAt("$.duty_calls_per_s", "duty_calls_per_s %g is out of range: want %g to %d", w.DutyCallsPerS, minDutyCallsPerS, maxDutyCallsPerS)
	}
	if err := d.checkRanges([]numberRange{{"duty_lease_ms", w.DutyHolderLeaseMS, 0, maxDutyLeaseMS}}); err != nil {
		return err
	}
	if !w.toSettings().Has(DutyUsage) {
		return nil
	}
	if err := d.checkUsageWindow(w.UsageWindowS); err != nil {
		return err
	}
	if w.UsageLateS <= 0 || w.UsageLateS > maxUsageLatenessS {
		return d.errorAt("$.usage_late_s", "usage_late_s %g is out of range: want more than 0 and at most %d", w.UsageLateS, maxUsageLatenessS)
	}
	if s := w.toSettings(); s.UsageLateness <= s.HolderLease {
		return d.errorAt("$.usage_late_s", "usage_late_s %g is not longer than duty_lease_ms %d: no report could be in time after a change of leader", w.UsageLateS, w.DutyHolderLeaseMS)
	}
	return nil
}

// checkUsageWindow requires windows of whole milliseconds.
func (d document) checkUsageWindow(seconds float64) error {
	if !(seconds >= minUsageWindowS && seconds <= maxUsageWindowS) || float64(secondsToMillis(seconds)) != seconds*float64(clock.Second) {
		return d.errorAt("$.usage_window_s", "usage_window_s %g is out of range: want whole milliseconds, %d to %d s", seconds, minUsageWindowS, maxUsageWindowS)
	}
	return nil
}
