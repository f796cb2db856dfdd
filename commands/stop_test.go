package commands_test

import (
	"strings"
	"syscall"
	"testing"

	"github.com/galenaslip/galenaslip/caller"
	"github.com/galenaslip/galenaslip/clock"
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
	c := clock.New()
	c.Sleep(t.Context(), 300*clock.Millisecond) // the answer has begun
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		sendSignal(t, s.entryProcesses[0], signal)
		c.Sleep(t.Context(), 100*clock.Millisecond)
	}
	if got, want := (<-answered).Text, strings.Join(standin.AnswerTokens("m-small", prompt), ""); got != want {
		t.Errorf("streamed answer: got %d bytes, want %d", len(got), len(want))
	}
	if got, want := s.entryProcesses[0].awaitExitCode(t), 0; got != want {
		t.Errorf("exit code: got %d, want %d", got, want)
	}
}
