package commands_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/galenaslip/galenaslip/caller"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/commands/commandstest"
	"github.com/galenaslip/galenaslip/outcome"
)

const (
	// startLimit is far above what a start takes, so that a busy machine does not
	// change the verdict.
	startLimit = 60 * clock.Second
	pollPause  = 50 * clock.Millisecond
)

var wall = clock.New()

// TestMain removes the program that tests have built.
func TestMain(m *testing.M) {
	code := m.Run()
	commandstest.RemoveBinary()
	os.Exit(code)
}

// process is one running process of the program.
type process struct {
	command *exec.Cmd
	log     *bytes.Buffer
	started chan string // the address of the start event
	ended   chan struct{}
}

func start(t testing.TB, args ...string) *process {
	t.Helper()
	path, err := commandstest.BinaryPath()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{command: exec.Command(path, args...), log: &bytes.Buffer{}, started: make(chan string, 1), ended: make(chan struct{})}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go p.read(bufio.NewScanner(stdout))
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("log of %v:\n%s", args, p.log)
		}
	})
	return p
}

func (p *process) read(lines *bufio.Scanner) {
	defer close(p.ended)
	for lines.Scan() {
		p.log.Write(append(lines.Bytes(), '\n'))
		var line struct{ Msg, Address string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "process_started" {
			p.started <- line.Address
		}
	}
	_ = p.command.Wait()
}

func (p *process) address(t testing.TB) string {
	t.Helper()
	late, release := wall.After(startLimit)
	defer release()
	select {
	case address := <-p.started:
		return address
	case <-p.ended:
		t.Fatalf("process ended before it was ready:\n%s", p.log)
	case <-late:
		t.Fatal("process did not start")
	}
	return ""
}

// exitCode waits for the process to end.
func (p *process) exitCode(t testing.TB) int {
	t.Helper()
	late, release := wall.After(startLimit)
	defer release()
	select {
	case <-p.ended:
		return p.command.ProcessState.ExitCode()
	case <-late:
		t.Fatal("process did not end")
		return -1
	}
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := wall.Now() + startLimit
	for !condition() {
		if wall.Now() > deadline {
			t.Fatalf("not reached: %s", what)
		}
		wall.Sleep(context.Background(), pollPause)
	}
}

// site is a set of processes on loopback.
type site struct {
	controls       []*process
	controlFiles   []string
	controlAddress []string
	entries        []string
	entryProcess   []*process
	engine, ledger string
	engineProcess  *process
}

func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func writeSettings(t testing.TB, folder, name, content string) string {
	t.Helper()
	path := filepath.Join(folder, name+".yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newSite(t testing.TB, entries int) *site {
	t.Helper()
	s := &site{}
	folder := t.TempDir()
	s.startControl(t, folder)
	s.runOK(t, "class", "set", "clause-query", "--tier", "1", "--target-ms", "580")
	s.runOK(t, "class", "set", "posting", "--tier", "1", "--target-ms", "2000", "--measure", "completion")
	for i := range entries {
		s.startEntry(t, folder, i)
	}
	announce := strings.Join(s.entries, ",")
	s.engineProcess = start(t, "standin", "engine", "--announce-to", announce, "--token-time-ms", "5")
	s.engine = s.engineProcess.address(t)
	s.ledger = start(t, "standin", "ledger", "--announce-to", announce).address(t)
	s.awaitServers(t)
	return s
}

func (s *site) startEntry(t testing.TB, folder string, i int) {
	t.Helper()
	name := fmt.Sprintf("entry-%d", i+1)
	path := writeSettings(t, folder, name, fmt.Sprintf(
		"role: entry\nname: %s\navailability_zone: az-%d\nlisten: %s\ncontrol: [%s]\nstop_wait_ms: 100\n",
		name, i%3+1, freeAddress(t), strings.Join(s.controlAddress, ", ")))
	p := start(t, "serve", "entry", "--settings", path)
	s.entryProcess = append(s.entryProcess, p)
	s.entries = append(s.entries, p.address(t))
}

func (s *site) startControl(t testing.TB, folder string) {
	t.Helper()
	members := ""
	for i := range 3 {
		s.controlAddress = append(s.controlAddress, freeAddress(t))
		members += fmt.Sprintf("  - {name: control-%d, address: %q, availability_zone: az-%d}\n", i+1, s.controlAddress[i], i+1)
	}
	for i := range 3 {
		name := fmt.Sprintf("control-%d", i+1)
		path := writeSettings(t, folder, name, fmt.Sprintf(
			"role: control\nname: %s\navailability_zone: az-%d\nlisten: %s\ndata_folder: %s\nmembers:\n%s",
			name, i+1, s.controlAddress[i], filepath.Join(folder, name), members))
		s.controlFiles = append(s.controlFiles, path)
		s.controls = append(s.controls, start(t, "serve", "control", "--settings", path))
	}
	for _, p := range s.controls {
		p.address(t)
	}
}

// run runs an operator's command against the site.
func (s *site) run(args ...string) (output string, code int) {
	return s.runPlain(append(args, "--control", strings.Join(s.controlAddress, ","))...)
}

// runPlain runs a command that takes no --control.
func (s *site) runPlain(args ...string) (output string, code int) {
	path, err := commandstest.BinaryPath()
	if err != nil {
		return err.Error(), -1
	}
	command := exec.Command(path, args...)
	data, _ := command.CombinedOutput()
	return string(data), command.ProcessState.ExitCode()
}

// runOK repeats a command while the control group is not available.
func (s *site) runOK(t testing.TB, args ...string) {
	t.Helper()
	eventually(t, fmt.Sprintf("command %v succeeds", args), func() bool {
		_, code := s.run(args...)
		return code == 0
	})
}

func (s *site) awaitServers(t testing.TB) {
	t.Helper()
	c := caller.New()
	for _, address := range s.entries {
		eventually(t, "entry answers a lookup and a query", func() bool {
			lookup, err := c.Call(caller.Request{Entry: address, Class: "posting", Workspace: "w", Method: http.MethodGet, Path: "/v1/services/ledger/x"})
			if err != nil || lookup.Outcome != outcome.Answered {
				return false
			}
			query, err := c.Whole(query(t, address, "ready [tokens=1]", false))
			return err == nil && query.Outcome == outcome.Answered
		})
	}
}

func query(t testing.TB, address, prompt string, streamed bool) caller.Request {
	t.Helper()
	r, err := caller.Chat(address, "clause-query", "w", "m-small", prompt, streamed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}
