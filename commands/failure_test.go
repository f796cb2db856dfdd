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
	output, code := s.runPlain("state", s.controlAddress[i])
	var state controlState
	return state, code == 0 && json.Unmarshal([]byte(output), &state) == nil
}

// leader returns the index of the control process that leads.
func (s *site) leader(t testing.TB) int {
	t.Helper()
	found := -1
	eventually(t, "a control process leads", func() bool {
		for i := range s.controls {
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
	s.controls[i] = start(t, "serve", "control", "--settings", s.controlFiles[i])
	s.controls[i].address(t)
}

func kill(t testing.TB, p *process, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
	if signal == syscall.SIGKILL {
		p.exitCode(t)
	}
}

func (s *site) dataFolder(i int) string {
	name := fmt.Sprintf("control-%d", i+1)
	return filepath.Join(filepath.Dir(s.controlFiles[i]), name)
}

type shownClass struct {
	Name     string `json:"name"`
	TargetMS int    `json:"target_ms"`
}

func (s *site) targets(t *testing.T) map[string]int {
	t.Helper()
	var shown struct {
		Classes []shownClass `json:"classes"`
	}
	eventually(t, "the configuration is shown", func() bool {
		output, code := s.run("config", "show")
		return code == 0 && json.Unmarshal([]byte(output), &shown) == nil
	})
	targets := map[string]int{}
	for _, c := range shown.Classes {
		targets[c.Name] = c.TargetMS
	}
	return targets
}

// Guards against an accepted change that is lost when the leader is killed while
// operators write: each accepted target must be there at the end, and a change
// reported as not run must not.
func TestLeaderKilledDuringChanges(t *testing.T) {
	s := &site{}
	s.startControl(t, t.TempDir())
	s.runOK(t, "class", "set", "first", "--tier", "1", "--target-ms", "1")
	killed := s.leader(t)
	accepted, refused := map[string]int{}, map[string]bool{}
	for i := range 40 {
		if i == 10 {
			kill(t, s.controls[killed], syscall.SIGKILL)
		}
		name, target := fmt.Sprintf("c%d", i), i+1
		_, code := s.run("class", "set", name, "--tier", "2", "--target-ms", fmt.Sprint(target))
		switch code {
		case 0:
			accepted[name] = target
		case 3:
			refused[name] = true
		}
	}
	s.restartControl(t, killed)
	got := s.targets(t)
	for name, want := range accepted {
		if got[name] != want {
			t.Errorf("accepted class %s: got target %d, want %d", name, got[name], want)
		}
	}
	for name := range refused {
		if _, ok := got[name]; ok {
			t.Errorf("class %s: got it in force, want it absent because the change was reported as not run", name)
		}
	}
	if len(accepted) < 30 {
		t.Errorf("accepted changes: got %d of 40, want 30 at least", len(accepted))
	}
}

// Guards against a frozen entry that goes on with an old configuration when it
// thaws: a class that was deleted meanwhile must not be served.
func TestFrozenEntry(t *testing.T) {
	s := newSite(t, 1)
	kill(t, s.entryProcess[0], syscall.SIGSTOP)
	s.runOK(t, "class", "delete", "clause-query")
	frozen := wall.Now()
	// The lease is 3 s; an entry that renewed just before the freeze holds it no
	// longer after this.
	eventually(t, "the lease of the frozen entry has expired", func() bool { return wall.Now() > frozen+4000 })
	kill(t, s.entryProcess[0], syscall.SIGCONT)
	r, err := caller.New().Whole(query(t, s.entries[0], "late [tokens=2]", false))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := r.Outcome, outcome.NotRun; got != want {
		t.Errorf("query of a deleted class at the thawed entry: got %s (%s), want %s", got, r.Text, want)
	}
}

// Guards against a second run of a posting whose entry was killed: the repetition
// at the other entry gets the recorded answer or an unknown outcome, and the
// ledger never counts two.
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
	seen := 0
	for key := range keys {
		if seen++; seen == 10 {
			kill(t, s.entryProcess[0], syscall.SIGKILL)
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

// Guards against a member that votes or serves from a damaged or lost log: after a
// wiped folder, and after damage in the middle of a file, the member catches up
// and every accepted change is still there.
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
				s.runOK(t, "class", "set", fmt.Sprintf("c%d", i), "--tier", "1", "--target-ms", "7")
			}
			lost := (s.leader(t) + 1) % len(s.controls)
			name := fmt.Sprintf("control-%d", lost+1)
			former := s.identity(t, name)
			kill(t, s.controls[lost], syscall.SIGKILL)
			tt.damage(t, s.dataFolder(lost))
			s.restartControl(t, lost)
			s.awaitReplaced(t, name, former)
			kill(t, s.controls[s.leader(t)], syscall.SIGKILL)
			s.runOK(t, "class", "set", "after", "--tier", "1", "--target-ms", "9")
			if got, want := len(s.targets(t)), 6; got != want {
				t.Errorf("classes: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a site that stays without changes for ever after two of three
// voters are lost: the survivor is recovered by one command, keeps every accepted
// change, and the others join it again.
func TestRecover(t *testing.T) {
	s := &site{}
	s.startControl(t, t.TempDir())
	s.runOK(t, "class", "set", "before", "--tier", "1", "--target-ms", "7")
	survivor := s.leader(t)
	state, ok := s.controlState(t, survivor)
	if !ok {
		t.Fatal("the survivor does not show its state")
	}
	for i, p := range s.controls {
		kill(t, p, syscall.SIGKILL)
		if i != survivor {
			if err := os.RemoveAll(s.dataFolder(i)); err != nil {
				t.Fatal(err)
			}
		}
	}
	recovery := []string{"control", "recover", "--settings", s.controlFiles[survivor], "--identity", state.Identity, "--epoch"}
	if output, code := s.runPlain(append(recovery, fmt.Sprint(state.Epoch+1))...); code == 0 {
		t.Errorf("recovery with a wrong epoch: got exit code 0 (%s), want a refusal", output)
	}
	if output, code := s.runPlain(append(recovery, fmt.Sprint(state.Epoch))...); code != 0 {
		t.Fatalf("recovery: got exit code %d (%s), want 0", code, output)
	}
	s.restartControl(t, survivor)
	s.runOK(t, "class", "set", "after", "--tier", "1", "--target-ms", "9")
	for i := range s.controls {
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

// identity returns the identity of the member with the given name.
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

// awaitReplaced waits until the member votes again under a new identity.
func (s *site) awaitReplaced(t testing.TB, name, former string) {
	t.Helper()
	eventually(t, name+" votes under a new identity", func() bool {
		state, ok := s.controlState(t, s.leader(t))
		if !ok {
			return false
		}
		for _, m := range state.Group.Members {
			if m.Name == name && m.Identity != former && m.Voter && m.Behind == 0 {
				return true
			}
		}
		return false
	})
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
