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
	// startLimit is far longer than a process needs to start, so that tests don't fail on
	// a slow machine.
	startLimit   = 60 * clock.Second
	pollInterval = 50 * clock.Millisecond
)

var systemClock = clock.New()

// TestMain removes the program that the tests have built.
func TestMain(m *testing.M) {
	code := m.Run()
	commandstest.RemoveBinary()
	os.Exit(code)
}

// process is the program running as an operating-system process.
type process struct {
	command *exec.Cmd
	log     *bytes.Buffer // may be read once ended is closed
	started chan string   // delivers the address that the process logs at its start
	ended   chan struct{} // closed when the process has ended
}

// startProcess runs the program with arguments and kills it at the end of the test.
func startProcess(t testing.TB, args ...string) *process {
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
	go p.readLog(bufio.NewScanner(stdout))
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

// readLog collects the log of the process and waits for its end.
func (p *process) readLog(lines *bufio.Scanner) {
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

// address waits until the process has started and returns its address. It may be
// called once.
func (p *process) address(t testing.TB) string {
	t.Helper()
	timeout, release := systemClock.After(startLimit)
	defer release()
	select {
	case address := <-p.started:
		return address
	case <-p.ended:
		t.Fatalf("process ended before it was ready:\n%s", p.log)
	case <-timeout:
		t.Fatal("process did not start")
	}
	return ""
}

// awaitExitCode waits for the process to end and returns its exit code.
func (p *process) awaitExitCode(t testing.TB) int {
	t.Helper()
	timeout, release := systemClock.After(startLimit)
	defer release()
	select {
	case <-p.ended:
		return p.command.ProcessState.ExitCode()
	case <-timeout:
		t.Fatal("process did not end")
		return -1
	}
}

// eventually waits until condition holds and fails the test after startLimit.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := systemClock.Now() + startLimit
	for !condition() {
		if systemClock.Now() > deadline {
			t.Fatalf("not reached: %s", description)
		}
		systemClock.Sleep(context.Background(), pollInterval)
	}
}

// site is a set of processes on loopback addresses.
type site struct {
	controlProcesses             []*process
	controlSettings              []string
	controlAddresses             []string
	entries                      []string // addresses
	entryProcesses               []*process
	engineAddress, ledgerAddress string
	engineProcess                *process
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

// newSite starts three control members, entries, a stand-in engine and a stand-in
// ledger, and waits until every entry answers.
func newSite(t testing.TB, entries int) *site {
	t.Helper()
	s := &site{}
	folder := t.TempDir()
	s.startControl(t, folder)
	s.runUntilOK(t, "class", "set", "clause-query", "--tier", "1", "--target-ms", "580")
	s.runUntilOK(t, "class", "set", "posting", "--tier", "1", "--target-ms", "2000", "--measure", "completion")
	for i := range entries {
		s.startEntry(t, folder, i)
	}
	entryList := strings.Join(s.entries, ",")
	s.engineProcess = startProcess(t, "standin", "engine", "--announce-to", entryList, "--token-time-ms", "5")
	s.engineAddress = s.engineProcess.address(t)
	s.ledgerAddress = startProcess(t, "standin", "ledger", "--announce-to", entryList).address(t)
	s.awaitServers(t)
	return s
}

func (s *site) startEntry(t testing.TB, folder string, i int) {
	t.Helper()
	name := fmt.Sprintf("entry-%d", i+1)
	path := writeSettings(t, folder, name, fmt.Sprintf(
		"role: entry\nname: %s\navailability_zone: az-%d\nlisten: %s\ncontrol: [%s]\nstop_wait_ms: 100\n",
		name, i%3+1, freeAddress(t), strings.Join(s.controlAddresses, ", ")))
	p := startProcess(t, "serve", "entry", "--settings", path)
	s.entryProcesses = append(s.entryProcesses, p)
	s.entries = append(s.entries, p.address(t))
}

func (s *site) startControl(t testing.TB, folder string) {
	t.Helper()
	members := ""
	for i := range 3 {
		s.controlAddresses = append(s.controlAddresses, freeAddress(t))
		members += fmt.Sprintf("  - {name: control-%d, address: %q, availability_zone: az-%d}\n", i+1, s.controlAddresses[i], i+1)
	}
	for i := range 3 {
		name := fmt.Sprintf("control-%d", i+1)
		path := writeSettings(t, folder, name, fmt.Sprintf(
			"role: control\nname: %s\navailability_zone: az-%d\nlisten: %s\ndata_folder: %s\nmembers:\n%s",
			name, i+1, s.controlAddresses[i], filepath.Join(folder, name), members))
		s.controlSettings = append(s.controlSettings, path)
		s.controlProcesses = append(s.controlProcesses, startProcess(t, "serve", "control", "--settings", path))
	}
	for _, p := range s.controlProcesses {
		p.address(t)
	}
}

// runControlCommand runs a command that calls the site's control group.
func (s *site) runControlCommand(args ...string) (output string, code int) {
	return s.runCommand(append(args, "--control", strings.Join(s.controlAddresses, ","))...)
}

// runCommand runs a command and returns its combined output and exit code.
func (s *site) runCommand(args ...string) (output string, code int) {
	path, err := commandstest.BinaryPath()
	if err != nil {
		return err.Error(), -1
	}
	command := exec.Command(path, args...)
	data, _ := command.CombinedOutput()
	return string(data), command.ProcessState.ExitCode()
}

// runUntilOK repeats a command until it succeeds, as the control group may be without
// a leader for some time.
func (s *site) runUntilOK(t testing.TB, args ...string) {
	t.Helper()
	eventually(t, fmt.Sprintf("command %v succeeds", args), func() bool {
		_, code := s.runControlCommand(args...)
		return code == 0
	})
}

// awaitServers waits until each entry answers a call of the ledger and a request to
// the engine.
func (s *site) awaitServers(t testing.TB) {
	t.Helper()
	c := caller.New()
	for _, address := range s.entries {
		eventually(t, "entry answers a lookup and a query", func() bool {
			lookup, err := c.Call(caller.Request{Entry: address, Class: "posting", Workspace: "w", Method: http.MethodGet, Path: "/v1/services/ledger/x"})
			if err != nil || lookup.Outcome != outcome.Answered {
				return false
			}
			query, err := c.ChatUnstreamed(query(t, address, "ready [tokens=1]", false))
			return err == nil && query.Outcome == outcome.Answered
		})
	}
}

// query returns a chat request of the class clause-query.
func query(t testing.TB, address, prompt string, streamed bool) caller.Request {
	t.Helper()
	r, err := caller.Chat(address, "clause-query", "w", "m-small", prompt, streamed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}
