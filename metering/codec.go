package metering

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// WireWindow is the JSON form of the counts of a window. Its keys are short, because it is sent several
// times a second.
type WireWindow struct {
	Window Window            `json:"w"`
	Counts map[string]uint64 `json:"c"`
}

// WireInstance is the JSON form of InstanceCounts.
type WireInstance struct {
	Instance string       `json:"i"`
	UpTo     clock.Millis `json:"t"`
	Windows  []WireWindow `json:"n,omitempty"`
}

// WireCommand is the JSON form of Command.
type WireCommand struct {
	First    Window         `json:"first,omitempty"`
	Kept     []WireInstance `json:"kept,omitempty"`
	Decided  []WireWindow   `json:"decided,omitempty"`
	Accepted []Window       `json:"accepted,omitempty"`
}

// wireState is the JSON form of State.
type wireState struct {
	Next    Window         `json:"next"`
	Pending []WireWindow   `json:"pending,omitempty"`
	Kept    []WireInstance `json:"kept,omitempty"`
}

// ToWire returns the JSON form of a report.
func ToWire(report Report) []WireInstance {
	return lo.Map(report, func(i InstanceCounts, _ int) WireInstance {
		w := WireInstance{Instance: i.Instance, UpTo: i.UpTo}
		for _, window := range slices.Sorted(maps.Keys(i.Windows)) {
			w.Windows = append(w.Windows, WireWindow{window, i.Windows[window]})
		}
		return w
	})
}

// FromWire returns the report that has a JSON form.
func FromWire(wire []WireInstance) Report {
	return lo.Map(wire, func(w WireInstance, _ int) InstanceCounts {
		i := InstanceCounts{Instance: w.Instance, UpTo: w.UpTo, Windows: map[Window]Counts{}}
		for _, window := range w.Windows {
			windows(i.Windows).merge(window.Window, window.Counts)
		}
		return i
	})
}

// ToWireCommand returns the JSON form of a command.
func ToWireCommand(c Command) WireCommand {
	return WireCommand{First: c.First, Kept: ToWire(c.Kept), Decided: toWireDecisions(c.Decided), Accepted: c.Accepted}
}

// Command returns the command that has a JSON form.
func (w WireCommand) Command() Command {
	return Command{First: w.First, Kept: FromWire(w.Kept), Decided: fromWireDecisions(w.Decided), Accepted: w.Accepted}
}

func toWireDecisions(decisions []Decision) []WireWindow {
	return lo.Map(decisions, func(d Decision, _ int) WireWindow { return WireWindow{d.Window, d.Counts} })
}

func fromWireDecisions(wire []WireWindow) []Decision {
	return lo.Map(wire, func(w WireWindow, _ int) Decision {
		return Decision{Window: w.Window, Counts: lo.Ternary(w.Counts == nil, Counts{}, w.Counts)}
	})
}

// Encode returns the state as bytes for a snapshot, the same bytes for the same state.
func (s *State) Encode() ([]byte, error) {
	w := wireState{Next: s.next, Pending: toWireDecisions(s.pending)}
	for _, name := range slices.Sorted(maps.Keys(s.kept)) {
		w.Kept = append(w.Kept, ToWire(Report{{Instance: name, Windows: s.kept[name]}})...)
	}
	data, err := json.Marshal(w)
	return data, errors.WithStack(err)
}

// DecodeState returns the state that Encode has encoded.
func DecodeState(data []byte) (State, error) {
	var w wireState
	if err := json.Unmarshal(data, &w); err != nil {
		return State{}, errors.Wrap(err, "decoding the state of usage reports")
	}
	s := State{next: w.Next, pending: fromWireDecisions(w.Pending)}
	for _, told := range FromWire(w.Kept) {
		s.keep(told)
	}
	return s, nil
}
