package load

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

type wireScenario struct {
	Name           string          `yaml:"name"`
	Seed           uint64          `yaml:"seed"`
	DurationMS     int64           `yaml:"duration_ms"`
	EntryAddresses []string        `yaml:"targets"`
	StandIns       []wireStandIn   `yaml:"stand_ins"`
	Workspaces     []wireWorkspace `yaml:"workspaces"`
	Classes        []wireWorkload  `yaml:"classes"`
	Faults         []wireFault     `yaml:"faults"`
}

type wireStandIn struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

type wireWorkspace struct {
	Name   string `yaml:"name"`
	Weight int    `yaml:"share"`
}

type wireWorkload struct {
	Name         string      `yaml:"name"`
	Tier         int         `yaml:"tier"`
	TargetMS     int64       `yaml:"target_ms"`
	Measure      string      `yaml:"measure"`
	Arrival      wireArrival `yaml:"arrival"`
	RefuseIfLate bool        `yaml:"refuse_if_late"`
	Model        *wireModel  `yaml:"model"`
	Call         *wireCall   `yaml:"call"`
}

type wireArrival struct {
	Process   string  `yaml:"process"`
	PerSecond float64 `yaml:"per_second"`
	StartMS   int64   `yaml:"start_ms"`
	LengthMS  int64   `yaml:"length_ms"`
	EveryMS   int64   `yaml:"every_ms"`
}

type wireModel struct {
	Name          string     `yaml:"name"`
	StreamPercent int        `yaml:"stream_percent"`
	PromptTokens  wireLength `yaml:"prompt_tokens"`
	OutputTokens  wireLength `yaml:"output_tokens"`
}

type wireLength struct {
	Median int `yaml:"median"`
	P95    int `yaml:"p95"`
	Max    int `yaml:"max"`
}

type wireCall struct {
	Service  string `yaml:"service"`
	Method   string `yaml:"method"`
	Path     string `yaml:"path"`
	SendsKey bool   `yaml:"idempotency_key"`
}

type wireFault struct {
	AtMS     int64    `yaml:"at_ms"`
	Kind     string   `yaml:"kind"`
	StandIns []string `yaml:"stand_ins"`
	Factor   float64  `yaml:"factor"`
	Percent  int      `yaml:"percent"`
}

// ReadScenario reads and validates a scenario file in YAML; see ParseScenario.
func ReadScenario(path string) (Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, errors.Wrap(err, "reading the scenario")
	}
	return ParseScenario(path, data)
}

// ParseScenario parses a scenario in YAML. Unknown keys are errors. Errors name the
// file, the line and the reason.
func ParseScenario(file string, data []byte) (Scenario, error) {
	var wire wireScenario
	if err := yaml.UnmarshalWithOptions(data, &wire, yaml.Strict()); err != nil {
		return Scenario{}, errors.Errorf("%s: %s", file, yaml.FormatError(err, false, false))
	}
	document, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Scenario{}, errors.Wrap(err, file)
	}
	v := validator{file: file, document: document}
	scenario := v.scenario(wire)
	return scenario, v.err
}

// validator records the first validation error, with the line of the field that caused
// it.
type validator struct {
	file     string
	document *ast.File
	err      error
}

// requiref records an error for the field at the YAML path unless the condition is true
// or an error was recorded before.
func (v *validator) requiref(condition bool, path, format string, arguments ...any) {
	if condition || v.err != nil {
		return
	}
	v.err = errors.Errorf("%s:%d: %s: %s", v.file, v.line(path), path, fmt.Sprintf(format, arguments...))
}

// line returns the line of the field at path. When the field is missing, it returns the
// line of the nearest enclosing field.
func (v *validator) line(path string) int {
	for path != "" {
		if query, err := yaml.PathString("$." + path); err == nil {
			if node, err := query.FilterFile(v.document); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// scenario validates the decoded YAML and converts it. The methods below do the same for
// the parts of a scenario.
func (v *validator) scenario(wire wireScenario) Scenario {
	v.requiref(class.ValidName(wire.Name), "name", "invalid name %q", wire.Name)
	v.requiref(wire.DurationMS > 0, "duration_ms", "invalid duration %d: want more than 0", wire.DurationMS)
	v.requiref(len(wire.EntryAddresses) > 0, "targets", "want at least one address")
	v.requiref(len(wire.Workspaces) > 0, "workspaces", "want at least one workspace")
	v.requiref(len(wire.Classes) > 0, "classes", "want at least one class")
	for i, address := range wire.EntryAddresses {
		v.address(fmt.Sprintf("targets[%d]", i), address)
	}
	s := Scenario{Name: wire.Name, Seed: wire.Seed, Duration: clock.Millis(wire.DurationMS), EntryAddresses: wire.EntryAddresses}
	s.StandIns = lo.Map(wire.StandIns, v.standIn)
	s.Workspaces = lo.Map(wire.Workspaces, v.workspace)
	s.Classes = lo.Map(wire.Classes, v.workload)
	v.unique("stand_ins", lo.Map(s.StandIns, func(s StandIn, _ int) string { return s.Name }))
	v.unique("workspaces", lo.Map(s.Workspaces, func(w Workspace, _ int) string { return w.Name }))
	v.unique("classes", lo.Map(s.Classes, func(w Workload, _ int) string { return w.Class.Name() }))
	s.Faults = lo.Map(wire.Faults, func(f wireFault, i int) Fault { return v.fault(f, i, s) })
	return s
}

func (v *validator) address(path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	v.requiref(err == nil && parsed.Port() > 0, path, "invalid address %q: want an IP address with a port", address)
}

func (v *validator) unique(path string, names []string) {
	duplicates := lo.FindDuplicates(names)
	v.requiref(len(duplicates) == 0, path, "names that occur twice: %q", duplicates)
}

func (v *validator) standIn(wire wireStandIn, i int) StandIn {
	path := fmt.Sprintf("stand_ins[%d]", i)
	v.requiref(class.ValidName(wire.Name), path+".name", "invalid name %q", wire.Name)
	v.address(path+".address", wire.Address)
	return StandIn(wire)
}

func (v *validator) workspace(wire wireWorkspace, i int) Workspace {
	path := fmt.Sprintf("workspaces[%d]", i)
	v.requiref(class.ValidName(wire.Name), path+".name", "invalid name %q", wire.Name)
	v.requiref(wire.Weight > 0, path+".share", "invalid share %d: want more than 0", wire.Weight)
	return Workspace(wire)
}

func (v *validator) workload(wire wireWorkload, i int) Workload {
	path := fmt.Sprintf("classes[%d]", i)
	c, err := class.New(wire.Name, class.Tier(wire.Tier), clock.Millis(wire.TargetMS), class.Measure(wire.Measure))
	v.requiref(err == nil, path, "%v", err)
	v.requiref((wire.Model == nil) != (wire.Call == nil), path, "want either model or call")
	w := Workload{Class: c, RefuseIfLate: wire.RefuseIfLate, Arrival: v.arrival(path+".arrival", wire.Arrival)}
	if wire.Model != nil {
		w.Model = v.model(path+".model", *wire.Model)
	}
	if wire.Call != nil {
		w.Call = v.call(path+".call", *wire.Call)
	}
	return w
}

func (v *validator) arrival(path string, wire wireArrival) Arrival {
	process := Process(wire.Process)
	v.requiref(process == Poisson || process == Burst, path+".process", "invalid process %q: want %q or %q", process, Poisson, Burst)
	v.requiref(wire.PerSecond > 0, path+".per_second", "invalid rate %v: want more than 0", wire.PerSecond)
	hasBurstTimes := wire.StartMS != 0 || wire.LengthMS != 0 || wire.EveryMS != 0
	v.requiref(process == Burst || !hasBurstTimes, path, "start_ms, length_ms and every_ms are for process %q only", Burst)
	v.requiref(process == Poisson || wire.LengthMS > 0, path+".length_ms", "invalid length %d: want more than 0", wire.LengthMS)
	v.requiref(wire.StartMS >= 0, path+".start_ms", "invalid start %d: want 0 or more", wire.StartMS)
	v.requiref(wire.EveryMS == 0 || wire.EveryMS > wire.LengthMS, path+".every_ms", "invalid interval %d: want more than length_ms", wire.EveryMS)
	return Arrival{
		Process: process, PerSecond: wire.PerSecond,
		Start: clock.Millis(wire.StartMS), Length: clock.Millis(wire.LengthMS), Interval: clock.Millis(wire.EveryMS),
	}
}

func (v *validator) model(path string, wire wireModel) Model {
	v.requiref(wire.Name != "", path+".name", "want a model name")
	v.percent(path+".stream_percent", wire.StreamPercent)
	v.length(path+".prompt_tokens", wire.PromptTokens)
	v.length(path+".output_tokens", wire.OutputTokens)
	return Model{
		Name: wire.Name, StreamPercent: wire.StreamPercent,
		Prompt: TokenDistribution(wire.PromptTokens), Output: TokenDistribution(wire.OutputTokens),
	}
}

func (v *validator) percent(path string, percent int) {
	v.requiref(percent >= 0 && percent <= 100, path, "invalid percentage %d: want 0 to 100", percent)
}

func (v *validator) length(path string, wire wireLength) {
	ordered := wire.Median >= 1 && wire.P95 >= wire.Median && wire.Max >= wire.P95
	v.requiref(ordered, path, "invalid lengths %+v: want 1 <= median <= p95 <= max", wire)
}

func (v *validator) call(path string, wire wireCall) Call {
	methods := []string{"GET", "HEAD", "PUT", "OPTIONS", "POST", "PATCH", "DELETE"}
	v.requiref(class.ValidName(wire.Service), path+".service", "invalid service %q", wire.Service)
	v.requiref(lo.Contains(methods, wire.Method), path+".method", "invalid method %q: want one of %q", wire.Method, methods)
	v.requiref(strings.HasPrefix(wire.Path, "/"), path+".path", "invalid path %q: want a leading slash", wire.Path)
	return Call(wire)
}

func (v *validator) fault(wire wireFault, i int, s Scenario) Fault {
	path := fmt.Sprintf("faults[%d]", i)
	kind := FaultKind(wire.Kind)
	known := lo.Contains([]FaultKind{Slow, Crash, Silent, Stall, Recover, LateReports, DropCallers}, kind)
	v.requiref(known, path+".kind", "invalid kind %q", kind)
	v.requiref(wire.AtMS >= 0 && clock.Millis(wire.AtMS) < s.Duration, path+".at_ms", "invalid time %d: want one within the duration", wire.AtMS)
	for _, name := range wire.StandIns {
		known := lo.ContainsBy(s.StandIns, func(s StandIn) bool { return s.Name == name })
		v.requiref(known, path+".stand_ins", "unknown stand-in %q", name)
	}
	v.requiref((kind == DropCallers) == (len(wire.StandIns) == 0), path+".stand_ins", "want stand-ins for each kind but %q", DropCallers)
	v.requiref((kind == DropCallers) == (wire.Percent != 0), path+".percent", "want a percentage for kind %q only", DropCallers)
	v.requiref((kind == Slow || kind == LateReports) == (wire.Factor > 1), path+".factor", "want a factor above 1 for kinds %q and %q only", Slow, LateReports)
	v.percent(path+".percent", wire.Percent)
	return Fault{At: clock.Millis(wire.AtMS), Kind: kind, StandIns: wire.StandIns, Factor: wire.Factor, Percent: wire.Percent}
}
