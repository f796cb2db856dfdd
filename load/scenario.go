package load

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// Scenario describes one experiment. It is immutable.
type Scenario struct {
	Name     string
	Seed     uint64
	Duration clock.Millis
	// Targets are the addresses of entries; requests go to them in turn.
	Targets    []string
	StandIns   []StandIn
	Workspaces []Workspace
	Classes    []Workload
	Faults     []Fault
}

// WithTargets returns a copy with other addresses of entries.
func (s Scenario) WithTargets(targets []string) Scenario {
	s.Targets = targets
	return s
}

// WithStandIns returns a copy with other stand-ins.
func (s Scenario) WithStandIns(standIns []StandIn) Scenario {
	s.StandIns = standIns
	return s
}

// StandIn is a stand-in engine or service that takes faults and tells its state.
type StandIn struct {
	Name, Address string
}

// Workspace is a customer's tenant with its share of the requests.
type Workspace struct {
	Name  string
	Share int
}

// Workload is the load of one class.
type Workload struct {
	Class   class.Class
	Arrival Arrival
	// RefuseIfLate asks for early refusal.
	RefuseIfLate bool
	// Model is set for model requests and Call for service calls.
	Model Model
	Call  Call
}

// IsModel reports whether the load consists of model requests.
func (w Workload) IsModel() bool { return w.Model.Name != "" }

// Process is how requests arrive.
type Process string

// The arrival processes.
const (
	Poisson Process = "poisson"
	// Burst is a Poisson process that is on for Length at Start and again each
	// Every, and off in between.
	Burst Process = "burst"
)

// Arrival is the arrival process of a class.
type Arrival struct {
	Process                 Process
	PerSecond               float64
	Start, Length, Interval clock.Millis
}

// Model describes model requests.
type Model struct {
	Name string
	// StreamPercent is the share of requests with a streamed answer.
	StreamPercent  int
	Prompt, Output TokenDistribution
}

// TokenDistribution is a log-normal distribution of token counts, cut off at Max.
type TokenDistribution struct {
	Median, P95, Max int
}

// Call describes calls of a plain service.
type Call struct {
	Service, Method, Path string
	// SendsKey says whether calls carry an Idempotency-Key.
	SendsKey bool
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	Slow    FaultKind = "slow"
	Crash   FaultKind = "crash"
	Silent  FaultKind = "silent"
	Recover FaultKind = "recover"
	// Stall silences only the connections that are open at the time.
	Stall FaultKind = "stall"
	// LateReports makes load reports older by Factor.
	LateReports FaultKind = "late_reports"
	// DropCallers closes a share of the callers' open connections.
	DropCallers FaultKind = "drop_callers"
)

// Fault is applied to stand-ins or to callers at a time after the start.
type Fault struct {
	At       clock.Millis
	Kind     FaultKind
	StandIns []string
	Factor   float64
	Percent  int
}
