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

// memberVariable makes the test binary run one control member instead of tests.
const memberVariable = "GALENASLIP_TEST_MEMBER"

type child struct {
	Name, Listen, Folder string
	Members              []control.Member
}

func TestMain(m *testing.M) {
	encoded := os.Getenv(memberVariable)
	if encoded == "" {
		os.Exit(m.Run())
	}
	var c child
	if err := json.Unmarshal([]byte(encoded), &c); err != nil {
		panic(err)
	}
	_, _, err := control.New(control.Options{
		Name: c.Name, Listen: c.Listen, Folder: c.Folder, Members: c.Members, Clock: clock.New(), Logger: event.Discard(),
	})
	if err != nil {
		panic(err)
	}
	// The parent holds the other end; the child ends with the parent.
	_, _ = os.Stdin.Read(make([]byte, 1))
}

func startChild(t *testing.T, c child) *os.Process {
	t.Helper()
	encoded, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), memberVariable+"="+string(encoded))
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

// Guards against a leader that was frozen while the others elected another one
// and that, once thawed, grants leases or answers reads from its old state.
func TestFrozenLeader(t *testing.T) {
	t.Parallel()
	addresses := freeAddresses(3)
	g := &group{t: t, clock: clock.New(), options: map[string]control.Options{}}
	var members []control.Member
	for i, name := range []string{"c1", "c2", "c3"} {
		members = append(members, control.Member{Name: name, Address: addresses[i]})
		g.options[name] = control.Options{Listen: addresses[i]}
	}
	processes := map[string]*os.Process{}
	for _, m := range members {
		processes[m.Name] = startChild(t, child{Name: m.Name, Listen: m.Address, Folder: t.TempDir(), Members: members})
	}
	g.client = g.newClient(addresses)
	g.eventually("a leader", func() bool { return g.leader() != "" })
	g.change(1)
	frozen := g.leader()
	signal(t, processes[frozen], syscall.SIGSTOP)
	var others []string
	for _, m := range members {
		if m.Name != frozen {
			others = append(others, m.Address)
		}
	}
	g.client = g.newClient(others)
	g.eventually("another leader", func() bool { m := g.leader(); return m != "" && m != frozen })
	if got := g.change(2); got.Revision != 2 {
		t.Fatalf("change at the new leader: got %+v", got)
	}
	answers := askFrozen(t, "http://"+g.options[frozen].Listen, func() { signal(t, processes[frozen], syscall.SIGCONT) })
	for _, answer := range answers {
		if strings.Contains(answer, `"granted":true`) || strings.Contains(answer, `{"revision":1,`) {
			t.Errorf("thawed leader: got %s", answer)
		}
	}
	g.eventually("the group with every member", func() bool {
		_, reply := g.client.Configuration(t.Context())
		return reply.Kind == outcome.Answered && len(g.members()) == 3
	})
}

func signal(t *testing.T, p *os.Process, s syscall.Signal) {
	t.Helper()
	if err := p.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// askFrozen sends renewals and reads that wait in the frozen process's sockets
// and returns the answers after the thaw. The header keeps the process from
// forwarding them to the new leader.
func askFrozen(t *testing.T, url string, thaw func()) []string {
	t.Helper()
	const each = 32
	var mu sync.Mutex
	var answers []string
	var asked sync.WaitGroup
	ask := func(method, path, body string) {
		_, answer, err := exchange(t.Context(), method, url+path, "", body, "X-Galenaslip-Forwarded", "true")
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			t.Error(err)
		}
		answers = append(answers, answer)
	}
	for range each {
		asked.Go(func() { ask(http.MethodPost, "/v1/leases/renew", `{"entry":"e1","incarnation":1}`) })
		asked.Go(func() { ask(http.MethodGet, "/v1/configuration", "") })
	}
	// The requests reach the sockets while the process is frozen. The pause only
	// makes the test sharper; it decides nothing.
	clock.New().Sleep(t.Context(), 200)
	thaw()
	asked.Wait()
	return answers
}
