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

// controlSilence bounds an exchange with a stand-in.
const controlSilence = 5 * clock.Second

// AppliedFault is a fault with the time it was applied at and what came of it.
type AppliedFault struct {
	Fault  Fault
	At     clock.Millis
	Result string
}

// startFaults applies the faults at their times and then sends them.
func (r *runner) startFaults(ctx context.Context) <-chan []AppliedFault {
	done := make(chan []AppliedFault, 1)
	go func() {
		applied := []AppliedFault{}
		for _, f := range r.scenario.Faults {
			if !r.sleepUntil(ctx, f.At) {
				break
			}
			text := r.apply(ctx, f)
			applied = append(applied, AppliedFault{Fault: f, At: r.options.Clock.Now() - r.started, Result: text})
		}
		done <- applied
	}()
	return done
}

func (r *runner) apply(ctx context.Context, f Fault) string {
	if f.Kind == DropCallers {
		return fmt.Sprintf("%d connections dropped", r.connections.drop(f.Percent))
	}
	body, err := json.Marshal(wireStandInFault{Kind: string(f.Kind), Factor: f.Factor})
	if err != nil {
		return err.Error()
	}
	failures := ""
	for _, name := range f.StandIns {
		if _, err := r.control(ctx, name, fasthttp.MethodPost, "/stand-in/fault", body); err != nil {
			failures += fmt.Sprintf("%s: %v; ", name, err)
		}
	}
	return lo.Ternary(failures == "", "applied", failures)
}

// readStates asks each stand-in for its state. A stand-in that does not answer
// is missing from the result, and the error names it.
func (r *runner) readStates(ctx context.Context) (map[string]wireState, error) {
	states := map[string]wireState{}
	var failed error
	for _, s := range r.scenario.StandIns {
		body, err := r.control(ctx, s.Name, fasthttp.MethodGet, "/stand-in/state", nil)
		state := wireState{}
		if err == nil {
			err = errors.Wrap(json.Unmarshal(body, &state), "decoding the state")
		}
		if err != nil {
			failed = errors.Wrapf(err, "stand-in %s", s.Name)
			continue
		}
		states[s.Name] = state
	}
	return states, failed
}

func (r *runner) control(ctx context.Context, name, method, path string, body []byte) ([]byte, error) {
	standIn, _ := lo.Find(r.scenario.StandIns, func(s StandIn) bool { return s.Name == name })
	// Its own set of connections keeps it out of dropped callers.
	own := &connections{clock: r.options.Clock, open: map[*connection]struct{}{}}
	conn, err := own.dial(ctx, standIn.Address, controlSilence)
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
	content, err := readAll(bodyOf(response))
	if err == nil && response.StatusCode() >= fasthttp.StatusBadRequest {
		err = errors.Errorf("status %d: %s", response.StatusCode(), content)
	}
	return content, err
}
