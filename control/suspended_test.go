package control_test

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
)

// memberEnvVariable is the environment variable that makes the test binary run
// one control member instead of the tests. Its value is a memberProcess as
// JSON.
const memberEnvVariable = "GALENASLIP_TEST_MEMBER"

// memberProcess holds the settings of a control member in a child process.
type memberProcess struct {
	Name, Listen, Folder string
	Members              []control.Member
}

func TestMain(m *testing.M) {
	encoded := os.Getenv(memberEnvVariable)
	if encoded == "" {
		os.Exit(m.Run())
	}
	var c memberProcess
	if err := json.Unmarshal([]byte(encoded), &c); err != nil {
		panic(err)
	}
	_, _, err := control.New(control.Options{
		Name: c.Name, Listen: c.Listen, Folder: c.Folder, Members: c.Members, Clock: clock.New(), Logger: event.Discard(),
	})
	if err != nil {
		panic(err)
	}
	// The parent process keeps the other end of the pipe open. The read returns
	// when the parent ends, so that the child ends too.
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// startMemberProcess runs a control member in a child process that is killed at
// the end of the test.
func startMemberProcess(t *testing.T, c memberProcess) *os.Process {
	t.Helper()
	encoded, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), memberEnvVariable+"="+string(encoded))
	command.Stderr = os.Stderr
	if _, err := command.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command.Process
}

// Guards against a leader that grants leases or answers reads from its old
// state after its process was suspended while the other members elected a new
// leader.
func TestSuspendedLeader(t *testing.T) {
	t.Parallel()
	addresses := freeAddresses(3)
	g := &group{t: t, clock: clock.New(), memberOptions: map[string]control.Options{}}
	var members []control.Member
	for i, name := range []string{"c1", "c2", "c3"} {
		members = append(members, control.Member{Name: name, Address: addresses[i]})
		g.memberOptions[name] = control.Options{Listen: addresses[i]}
	}
	processes := map[string]*os.Process{}
	for _, m := range members {
		processes[m.Name] = startMemberProcess(t, memberProcess{Name: m.Name, Listen: m.Address, Folder: t.TempDir(), Members: members})
	}
	g.client = g.newClient(addresses)
	g.eventually("a leader", func() bool { return g.leader() != "" })
	g.change(1)
	suspended := g.leader()
	sendSignal(t, processes[suspended], syscall.SIGSTOP)
	var others []string
	for _, m := range members {
		if m.Name != suspended {
			others = append(others, m.Address)
		}
	}
	g.client = g.newClient(others)
	g.eventually("another leader", func() bool { m := g.leader(); return m != "" && m != suspended })
	if got := g.change(2); got.Revision != 2 {
		t.Fatalf("change at the new leader: got %+v", got)
	}
	answers := askSuspended(t, "http://"+g.memberOptions[suspended].Listen, func() { sendSignal(t, processes[suspended], syscall.SIGCONT) })
	for _, answer := range answers {
		if strings.Contains(answer, `"granted":true`) || strings.Contains(answer, `{"revision":1,`) {
			t.Errorf("resumed leader: got %s", answer)
		}
	}
	g.eventually("the group with every member", func() bool {
		_, reply := g.client.Configuration(t.Context())
		return reply.Kind == outcome.Answered && len(g.members()) == 3
	})
}

func sendSignal(t *testing.T, p *os.Process, s syscall.Signal) {
	t.Helper()
	if err := p.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// askSuspended sends renewals and reads to the suspended process, where they
// wait in its sockets, then calls resume to continue the process and returns
// the answers. The header keeps the process from forwarding the requests to the
// new leader.
func askSuspended(t *testing.T, url string, resume func()) []string {
	t.Helper()
	const requestsPerKind = 32
	var mu sync.Mutex
	var answers []string
	var requests sync.WaitGroup
	send := func(method, path, body string) {
		_, answer, err := exchange(t.Context(), method, url+path, "", body, "X-Galenaslip-Forwarded", "true")
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			t.Error(err)
		}
		answers = append(answers, answer)
	}
	for range requestsPerKind {
		requests.Go(func() { send(http.MethodPost, "/v1/leases/renew", `{"entry":"e1","incarnation":1}`) })
		requests.Go(func() { send(http.MethodGet, "/v1/configuration", "") })
	}
	// With this pause the requests reach the sockets while the process is
	// suspended. Without it the test could miss the fault but would not fail
	// wrongly.
	clock.New().Sleep(t.Context(), 200)
	resume()
	requests.Wait()
	return answers
}
