package load

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// Scenario describes one load experiment. It is immutable.
type Scenario struct {
	Name     string
	Seed     uint64
	Duration clock.Millis
	// EntryAddresses are the addresses of the entries. Requests go to them in turn.
	EntryAddresses []string
	StandIns       []StandIn
	Workspaces     []Workspace
	Classes        []Workload
	Faults         []Fault
}

// WithEntryAddresses returns a copy of the scenario whose requests go to the entries at the
// given addresses.
func (s Scenario) WithEntryAddresses(addresses []string) Scenario {
	s.EntryAddresses = addresses
	return s
}

// WithStandIns returns a copy of the scenario with the given stand-ins in place of its
// own.
func (s Scenario) WithStandIns(standIns []StandIn) Scenario {
	s.StandIns = standIns
	return s
}

// StandIn is a stand-in engine or service. The run applies faults to it and reads its
// state.
type StandIn struct {
	Name, Address string
}

// Workspace is a customer's tenant. Share is its weight when the requests are
// distributed over the workspaces: with weights 3 and 1, the first gets three quarters.
type Workspace struct {
	Name   string
	Weight int
}

// Workload describes the requests of one class: when they arrive and what they ask for.
type Workload struct {
	Class   class.Class
	Arrival Arrival
	// RefuseIfLate asks the entry to refuse a request early when it cannot meet its
	// target.
	RefuseIfLate bool
	// Model is set for model requests, Call for service calls.
	Model Model
	Call  Call
}

// IsModel reports whether the class sends model requests.
func (w Workload) IsModel() bool { return w.Model.Name != "" }

// Process is the kind of an arrival process.
type Process string

// Arrival processes.
const (
	// Poisson is a Poisson process: independent arrivals at a constant mean rate.
	Poisson Process = "poisson"
	// Burst is a Poisson process that is active for the duration Length, starting at
	// Start and then again at each Interval. A zero Interval means one burst only.
	Burst Process = "burst"
)

// Arrival is the arrival process of a class. PerSecond is the mean rate while the
// process is active. The other fields apply to Burst only.
type Arrival struct {
	Process                 Process
	PerSecond               float64
	Start, Length, Interval clock.Millis
}

// Model describes the model requests of a class.
type Model struct {
	Name string
	// StreamPercent is the percentage of requests with a streamed answer.
	StreamPercent  int
	Prompt, Output TokenDistribution
}

// TokenDistribution is a log-normal distribution of token counts, cut off at Max.
type TokenDistribution struct {
	Median, P95, Max int
}

// Call describes the calls of a class to a plain service.
type Call struct {
	Service, Method, Path string
	// SendsKey is set when the calls carry an Idempotency-Key.
	SendsKey bool
}

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults. All except DropCallers act on stand-ins and mean the same as in the
// package standin.
const (
	Slow    FaultKind = "slow"
	Crash   FaultKind = "crash"
	Silent  FaultKind = "silent"
	Recover FaultKind = "recover"
	// Stall makes only those connections silent that are open when it is applied.
	Stall FaultKind = "stall"
	// LateReports multiplies the age of the stand-ins' load reports by Factor.
	LateReports FaultKind = "late_reports"
	// DropCallers closes a percentage of the callers' open connections.
	DropCallers FaultKind = "drop_callers"
)

// Fault is a fault of stand-ins or of the callers' connections. At is the time since
// the start of the run at which it is applied. Factor belongs to Slow and LateReports,
// Percent to DropCallers.
type Fault struct {
	At       clock.Millis
	Kind     FaultKind
	StandIns []string
	Factor   float64
	Percent  int
}
