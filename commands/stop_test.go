package commands_test

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/caller"
	"github.com/galenaslip/galenaslip/standin"
)

// Guards against running requests that are cut because the order to stop is repeated, or a reload comes between: a
// platform may send SIGTERM again, and stops may overlap.
func TestRepeatedStopCutsNoRequest(t *testing.T) {
	const prompt = "a clause [tokens=400]"
	s := newSite(t, 1)
	answered := make(chan caller.Reply, 1)
	go func() {
		got, err := caller.New().ChatStreamed(query(t, s.entries[0], prompt, true))
		if err != nil {
			t.Errorf("streamed answer: %v", err)
		}
		answered <- got
	}()
	eventually(t, "the request runs", func() bool { return runningRequests(s.entries[0]) == 1 })
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		sendSignal(t, s.entryProcesses[0], signal)
		systemClock.Sleep(t.Context(), pollInterval)
	}
	if got, want := (<-answered).Text, strings.Join(standin.AnswerTokens("m-small", prompt), ""); got != want {
		t.Errorf("streamed answer: got %d bytes, want %d", len(got), len(want))
	}
	if got, want := s.entryProcesses[0].awaitExitCode(t), 0; got != want {
		t.Errorf("exit code: got %d, want %d", got, want)
	}
}

// runningRequests returns the number of requests that servers run for an entry.
func runningRequests(entry string) int {
	_, body, err := fasthttp.Get(nil, "http://"+entry+"/debug/state")
	var state struct{ Pools []struct{ Running int } }
	if err != nil || json.Unmarshal(body, &state) != nil {
		return 0
	}
	running := 0
	for _, p := range state.Pools {
		running += p.Running
	}
	return running
}
