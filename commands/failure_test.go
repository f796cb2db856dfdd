package commands_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/google/uuid"

	"github.com/galenaslip/galenaslip/caller"
	"github.com/galenaslip/galenaslip/outcome"
)

// controlState is the part of a control member's state dump that the tests need.
type controlState struct {
	Role     string `json:"role"`
	Identity string `json:"identity"`
	Epoch    uint64 `json:"epoch"`
	Group    struct {
		Members []struct {
			Identity string `json:"identity"`
			Name     string `json:"name"`
			Voter    bool   `json:"voter"`
			Behind   int    `json:"behind"`
		} `json:"members"`
	} `json:"group"`
}

func (s *site) controlState(t testing.TB, i int) (controlState, bool) {
	t.Helper()
	output, code := s.runCommand("state", s.controlAddresses[i])
	var state controlState
	return state, code == 0 && json.Unmarshal([]byte(output), &state) == nil
}

// leader waits until a control process leads and returns its index.
func (s *site) leader(t testing.TB) int {
	t.Helper()
	found := -1
	eventually(t, "a control process leads", func() bool {
		for i := range s.controlProcesses {
			if state, ok := s.controlState(t, i); ok && state.Role == "leader" {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

func (s *site) restartControl(t testing.TB, i int) {
	t.Helper()
	s.controlProcesses[i] = startProcess(t, "serve", "control", "--settings", s.controlSettings[i])
	s.controlProcesses[i].address(t)
}

// sendSignal sends a signal to a process. After SIGKILL it waits for its end.
func sendSignal(t testing.TB, p *process, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
	if signal == syscall.SIGKILL {
		p.awaitExitCode(t)
	}
}

func (s *site) dataFolder(i int) string {
	name := fmt.Sprintf("control-%d", i+1)
	return filepath.Join(filepath.Dir(s.controlSettings[i]), name)
}

// classTarget is a class in the output of "config show".
type classTarget struct {
	Name     string `json:"name"`
	TargetMS int    `json:"target_ms"`
}

// targets returns the latency target in ms of each class.
func (s *site) targets(t *testing.T) map[string]int {
	t.Helper()
	var configuration struct {
		Classes []classTarget `json:"classes"`
	}
	eventually(t, "the configuration is shown", func() bool {
		output, code := s.runControlCommand("config", "show")
		return code == 0 && json.Unmarshal([]byte(output), &configuration) == nil
	})
	targets := map[string]int{}
	for _, c := range configuration.Classes {
		targets[c.Name] = c.TargetMS
	}
	return targets
}

// Guards against an accepted change that is lost when the leader is killed while
// operators send changes. At the end each accepted change must be in force, and no
// change that was reported as not run.
func TestLeaderKilledDuringChanges(t *testing.T) {
	s := &site{}
	s.startControl(t, t.TempDir())
	s.runUntilOK(t, "class", "set", "first", "--tier", "1", "--target-ms", "1")
	firstLeader := s.leader(t)
	accepted, notRun := map[string]int{}, map[string]bool{}
	for i := range 40 {
		if i == 10 {
			sendSignal(t, s.controlProcesses[firstLeader], syscall.SIGKILL)
		}
		name, target := fmt.Sprintf("c%d", i), i+1
		_, code := s.runControlCommand("class", "set", name, "--tier", "2", "--target-ms", fmt.Sprint(target))
		switch code {
		case 0:
			accepted[name] = target
		case 3:
			notRun[name] = true
		}
	}
	s.restartControl(t, firstLeader)
	got := s.targets(t)
	for name, want := range accepted {
		if got[name] != want {
			t.Errorf("accepted class %s: got target %d, want %d", name, got[name], want)
		}
	}
	for name := range notRun {
		if _, ok := got[name]; ok {
			t.Errorf("class %s: got it in force, want it absent because the change was reported as not run", name)
		}
	}
	if len(accepted) < 30 {
		t.Errorf("accepted changes: got %d of 40, want 30 at least", len(accepted))
	}
}

// Guards against an entry that continues with an outdated configuration after a pause by
// SIGSTOP: it must not serve a class that was deleted during the pause.
func TestFrozenEntry(t *testing.T) {
	s := newSite(t, 1)
	sendSignal(t, s.entryProcesses[0], syscall.SIGSTOP)
	s.runUntilOK(t, "class", "delete", "clause-query")
	pausedAt := systemClock.Now()
	// The lease lasts 3 s. After 4 s it has expired even if the entry renewed it just
	// before the pause.
	eventually(t, "the lease of the paused entry has expired", func() bool { return systemClock.Now() > pausedAt+4000 })
	sendSignal(t, s.entryProcesses[0], syscall.SIGCONT)
	r, err := caller.New().ChatUnstreamed(query(t, s.entries[0], "late [tokens=2]", false))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := r.Outcome, outcome.NotRun; got != want {
		t.Errorf("query of a deleted class at the continued entry: got %s (%s), want %s", got, r.Text, want)
	}
}

// Guards against a second run of a posting whose entry was killed. The repetition at
// the other entry must get the recorded answer or an unknown outcome, and the ledger
// must not run the posting twice.
func TestEntryKilledDuringPostings(t *testing.T) {
	s := newSite(t, 2)
	c := caller.New()
	keys := make(chan string, 40)
	go func() {
		defer close(keys)
		for range cap(keys) {
			key := uuid.Must(uuid.NewV7()).String()
			_, _ = c.Call(posting(s.entries[0], key))
			keys <- key
		}
	}()
	sent := 0
	for key := range keys {
		if sent++; sent == 10 {
			sendSignal(t, s.entryProcesses[0], syscall.SIGKILL)
		}
		r, err := c.Call(posting(s.entries[1], key))
		if err != nil {
			t.Fatal(err)
		}
		runs := s.runs(t)[key]
		if runs > 1 {
			t.Errorf("posting %s: got %d runs, want 1 at most", key, runs)
		}
		if r.Outcome == outcome.NotRun && runs > 0 {
			t.Errorf("posting %s: got not_run (%s) after %d runs", key, r.Text, runs)
		}
	}
}

// Guards against a member that votes or serves with a lost or damaged log. After its
// data folder is removed, or a file damaged in the middle, it must catch up under a
// new identity, and every accepted change must still be in force.
func TestDataFolderLost(t *testing.T) {
	damages := []struct {
		name   string
		damage func(t *testing.T, folder string)
	}{
		{name: "wiped", damage: func(t *testing.T, folder string) {
			t.Helper()
			if err := os.RemoveAll(folder); err != nil {
				t.Fatal(err)
			}
		}},
		{name: "damaged in the middle", damage: damageLog},
	}
	for _, tt := range damages {
		t.Run(tt.name, func(t *testing.T) {
			s := &site{}
			s.startControl(t, t.TempDir())
			for i := range 5 {
				s.runUntilOK(t, "class", "set", fmt.Sprintf("c%d", i), "--tier", "1", "--target-ms", "7")
			}
			lost := (s.leader(t) + 1) % len(s.controlProcesses)
			name := fmt.Sprintf("control-%d", lost+1)
			lostIdentity := s.identity(t, name)
			sendSignal(t, s.controlProcesses[lost], syscall.SIGKILL)
			tt.damage(t, s.dataFolder(lost))
			s.restartControl(t, lost)
			s.awaitRejoined(t, name, lostIdentity)
			sendSignal(t, s.controlProcesses[s.leader(t)], syscall.SIGKILL)
			s.runUntilOK(t, "class", "set", "after", "--tier", "1", "--target-ms", "9")
			if got, want := len(s.targets(t)), 6; got != want {
				t.Errorf("classes: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a control group that can never accept changes again after two of
// three voters are lost. One command must make the survivor the only voter, with
// every accepted change, and the others must join it again.
func TestRecover(t *testing.T) {
	s := &site{}
	s.startControl(t, t.TempDir())
	s.runUntilOK(t, "class", "set", "before", "--tier", "1", "--target-ms", "7")
	survivor := s.leader(t)
	state, ok := s.controlState(t, survivor)
	if !ok {
		t.Fatal("the survivor does not show its state")
	}
	for i, p := range s.controlProcesses {
		sendSignal(t, p, syscall.SIGKILL)
		if i != survivor {
			if err := os.RemoveAll(s.dataFolder(i)); err != nil {
				t.Fatal(err)
			}
		}
	}
	recovery := []string{"control", "recover", "--settings", s.controlSettings[survivor], "--identity", state.Identity, "--epoch"}
	if output, code := s.runCommand(append(recovery, fmt.Sprint(state.Epoch+1))...); code == 0 {
		t.Errorf("recovery with a wrong epoch: got exit code 0 (%s), want a refusal", output)
	}
	if output, code := s.runCommand(append(recovery, fmt.Sprint(state.Epoch))...); code != 0 {
		t.Fatalf("recovery: got exit code %d (%s), want 0", code, output)
	}
	s.restartControl(t, survivor)
	s.runUntilOK(t, "class", "set", "after", "--tier", "1", "--target-ms", "9")
	for i := range s.controlProcesses {
		if i != survivor {
			s.restartControl(t, i)
		}
	}
	eventually(t, "three voters", func() bool {
		state, ok := s.controlState(t, s.leader(t))
		voters := 0
		for _, m := range state.Group.Members {
			if m.Voter {
				voters++
			}
		}
		return ok && voters == 3
	})
	if got, want := len(s.targets(t)), 2; got != want {
		t.Errorf("classes: got %d, want %d", got, want)
	}
}

// identity returns the identity of the member with the given name, as the leader
// shows it.
func (s *site) identity(t testing.TB, name string) string {
	t.Helper()
	state, ok := s.controlState(t, s.leader(t))
	for _, m := range state.Group.Members {
		if ok && m.Name == name {
			return m.Identity
		}
	}
	t.Fatalf("no member %s in %+v", name, state)
	return ""
}

// awaitRejoined waits until the member votes again under another identity, and until the
// membership change is committed. It has two steps, and the leader shows a member as a voter
// from the first one on; each command is committed after the steps before it.
func (s *site) awaitRejoined(t testing.TB, name, lostIdentity string) {
	t.Helper()
	eventually(t, name+" votes under a new identity", func() bool {
		state, ok := s.controlState(t, s.leader(t))
		if !ok {
			return false
		}
		for _, m := range state.Group.Members {
			if m.Name == name && m.Identity != lostIdentity && m.Voter && m.Behind == 0 {
				return true
			}
		}
		return false
	})
	for _, target := range []string{"8", "7"} {
		s.runUntilOK(t, "class", "set", "c0", "--tier", "1", "--target-ms", target)
	}
}

// damageLog flips one byte in the middle of the first log segment.
func damageLog(t *testing.T, folder string) {
	t.Helper()
	segments, err := filepath.Glob(filepath.Join(folder, "log", "segment-*"))
	if err != nil || len(segments) == 0 {
		t.Fatalf("segments: got %v (%v), want some", segments, err)
	}
	data, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	data[strings.Index(string(data), "c1")] ^= 0xff
	if err := os.WriteFile(segments[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
}
