package load

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
)

// controlReadTimeout bounds the time without a byte in a call to a stand-in's control
// interface.
const controlReadTimeout = 5 * clock.Second

// AppliedFault is a fault that was applied. At is the time since the start of the run
// at which it took effect, and Result says what it changed or why it failed.
type AppliedFault struct {
	Fault  Fault
	At     clock.Millis
	Result string
}

// startFaults applies the faults at their times. The channel gets one value when all
// are applied or ctx has ended.
func (r *runner) startFaults(ctx context.Context) <-chan []AppliedFault {
	results := make(chan []AppliedFault, 1)
	go func() {
		applied := []AppliedFault{}
		for _, f := range r.scenario.Faults {
			if !r.sleepUntil(ctx, f.At) {
				break
			}
			text := r.applyFault(ctx, f)
			applied = append(applied, AppliedFault{Fault: f, At: r.options.Clock.Now() - r.startedAt, Result: text})
		}
		results <- applied
	}()
	return results
}

// applyFault applies one fault and returns a description of the result.
func (r *runner) applyFault(ctx context.Context, f Fault) string {
	if f.Kind == DropCallers {
		return fmt.Sprintf("%d connections dropped", r.connections.drop(f.Percent))
	}
	body, err := json.Marshal(wireStandInFault{Kind: string(f.Kind), Factor: f.Factor})
	if err != nil {
		return err.Error()
	}
	failureText := ""
	for _, name := range f.StandIns {
		if _, err := r.callStandIn(ctx, name, fasthttp.MethodPost, "/stand-in/fault", body); err != nil {
			failureText += fmt.Sprintf("%s: %v; ", name, err)
		}
	}
	return lo.Ternary(failureText == "", "applied", failureText)
}

// readStates returns the states of the stand-ins by name. A state that cannot be read is
// missing from the result; the error names the last stand-in for which this happened.
func (r *runner) readStates(ctx context.Context) (map[string]wireState, error) {
	states := map[string]wireState{}
	var stateErr error
	for _, s := range r.scenario.StandIns {
		body, err := r.callStandIn(ctx, s.Name, fasthttp.MethodGet, "/stand-in/state", nil)
		state := wireState{}
		if err == nil {
			err = errors.Wrap(json.Unmarshal(body, &state), "decoding the state")
		}
		if err != nil {
			stateErr = errors.Wrapf(err, "stand-in %s", s.Name)
			continue
		}
		states[s.Name] = state
	}
	return states, stateErr
}

// callStandIn makes one HTTP call to the control interface of a stand-in and returns
// the response body. A status of 400 or above is an error.
func (r *runner) callStandIn(ctx context.Context, name, method, path string, body []byte) ([]byte, error) {
	standIn, _ := lo.Find(r.scenario.StandIns, func(s StandIn) bool { return s.Name == name })
	// These connections are not in the callers' set, so that DropCallers leaves them open.
	controlConnections := &connections{clock: r.options.Clock, open: map[*connection]struct{}{}}
	conn, err := controlConnections.dial(ctx, standIn.Address, controlReadTimeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	request := &fasthttp.Request{}
	request.Header.SetMethod(method)
	request.Header.SetHost(standIn.Address)
	request.Header.SetConnectionClose()
	request.Header.SetContentType("application/json")
	request.SetRequestURI(path)
	request.SetBody(body)
	response, err := conn.exchange(request)
	if err != nil {
		return nil, err
	}
	content, err := readAll(responseBody(response))
	if err == nil && response.StatusCode() >= fasthttp.StatusBadRequest {
		err = errors.Errorf("status %d: %s", response.StatusCode(), content)
	}
	return content, err
}
