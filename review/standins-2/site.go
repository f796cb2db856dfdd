package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment axmg-simula, as its sheet gives them.
const (
	heartbeatInterval = 1200 * time.Millisecond
	graceTime         = 8 * time.Second
	contactTime       = 3 * time.Second
	drainTime         = 2 * time.Second
	memberCount       = 3
)

// errCannotRun marks failures of the case itself, not of the programs under test.
var errCannotRun = errors.New("the case cannot run")

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// line writes one line with the time since the start of the case.
func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// process is a program of the project that the case has started.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
	log     string // path of its output
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// awaitExit waits for the end of the process, for a time at most.
func (p *process) awaitExit(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// site is a small deployment: members, relays, backend servers.
type site struct {
	rec    *record
	folder string
	hosts  func(i int) string

	controlPort, peerPort, statePort, frontPort, readyPort int

	mu        sync.Mutex
	processes []*process
	members   []*process
	cleanup   []func()
}

// Hosts of a site: members from 1, relays from 11, backend servers from 21.
const (
	firstMember = 1
	firstRelay  = 11
	firstServer = 21
)

// newSite chooses loopback addresses and ports that are free on all of them.
func newSite(rec *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &site{rec: rec, folder: folder, hosts: func(i int) string {
		return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, i)
	}}
	var ports []int
	for range 5 {
		port, err := s.freePort()
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	s.controlPort, s.peerPort, s.statePort, s.frontPort, s.readyPort = ports[0], ports[1], ports[2], ports[3], ports[4]
	return s, nil
}

// freePort returns a port that is free on the addresses of all hosts.
func (s *site) freePort() (int, error) {
	for range 50 {
		first, err := net.Listen("tcp", s.hosts(1)+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		first.Close()
		free := true
		for i := 1; i < 40 && free; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.hosts(i), port))
			if err != nil {
				free = false
				continue
			}
			l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("%w: no free port", errCannotRun)
}

// close ends all processes that the site has started.
func (s *site) close() {
	for i := range s.cleanup {
		s.cleanup[len(s.cleanup)-1-i]()
	}
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		if p.running() {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

func (s *site) seeds() string {
	var list []string
	for i := range memberCount {
		list = append(list, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.hosts(firstMember+i), s.controlPort)))
	}
	return "[" + strings.Join(list, ",") + "]"
}

// commonSettings returns the settings that members and relays have in common, as the templates of
// the deploy file fill them in.
func (s *site) commonSettings(name, address string) string {
	return fmt.Sprintf(`name: %q
availability_zone: "z1"
address: %q
peer_port: %d
seeds: %s
memory_mb: 284
heartbeat_ms: 1200
stop_s: 8
revoke_ms: 5000
apply_ms: 2000
drain_ms: 2000
ack_ms: 4000
`, name, address, s.peerPort, s.seeds())
}

// startMember starts a member of the control group.
func (s *site) startMember(i int, found bool) (*process, error) {
	name, address := fmt.Sprintf("core-%d", i+1), s.hosts(firstMember+i)
	settings := "role: member\n" + s.commonSettings(name, address) + fmt.Sprintf("listen: \"%s:%d\"\ndata_folder: %q\nfound: %v\n",
		address, s.controlPort, filepath.Join(s.folder, name+".data"), found)
	return s.start(name, "member", settings)
}

// startRelay starts a relay.
func (s *site) startRelay(i int) (*process, error) {
	name, address := fmt.Sprintf("front-%d", i+1), s.hosts(firstRelay+i)
	settings := "role: relay\n" + s.commonSettings(name, address) + fmt.Sprintf(
		"listen: \"%s:%d\"\nready_listen: \"%s:%d\"\nstate_listen: \"%s:%d\"\nretry_ratio: 0.2\nretry_window_s: 10\nretry_slack: 52\n",
		address, s.frontPort, address, s.readyPort, address, s.statePort)
	return s.start(name, "relay", settings)
}

// start runs a program with the command of the deploy file and a settings file of its own.
func (s *site) start(name, role, settings string) (*process, error) {
	path := filepath.Join(s.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	output, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	p := &process{name: name, exited: make(chan struct{}), log: output.Name()}
	p.command = exec.Command(program(), "serve", role, "--settings", path)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("%w: %v", errCannotRun, err)
	}
	go func() { _ = p.command.Wait(); close(p.exited) }()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	s.rec.line("platform: started %s (process %d): serve %s", name, p.command.Process.Pid, role)
	return p, nil
}

// program is the path of the project's program.
func program() string {
	if path := os.Getenv("GALENASLIP"); path != "" {
		return path
	}
	return "target/galenaslip"
}

// signal sends a signal to a process of the site.
func (s *site) signal(p *process, signal syscall.Signal) error {
	s.rec.line("platform: %s to %s", signalName(signal), p.name)
	return p.command.Process.Signal(signal)
}

func signalName(signal syscall.Signal) string {
	return map[syscall.Signal]string{syscall.SIGTERM: "SIGTERM", syscall.SIGKILL: "SIGKILL", syscall.SIGHUP: "SIGHUP",
		syscall.SIGSTOP: "SIGSTOP", syscall.SIGCONT: "SIGCONT"}[signal]
}

// startGroup starts the members and puts the first manifest in force.
func (s *site) startGroup(manifest map[string]any) error {
	for i := range memberCount {
		p, err := s.startMember(i, true)
		if err != nil {
			return err
		}
		s.members = append(s.members, p)
	}
	return s.putManifest(manifest, 30*time.Second)
}

func (s *site) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.hosts(firstMember+i%memberCount), s.controlPort)
}

func (s *site) frontAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.hosts(firstRelay+i), s.frontPort)
}

var callClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call to a control address and returns status and body; 0 without an answer.
func call(method, address, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := callClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// putManifest sends a manifest to the members in turn until one acknowledges it.
func (s *site) putManifest(manifest map[string]any, limit time.Duration) error {
	body, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		status, answer := call("POST", s.controlAddress(i), "/-/Config.Put", body)
		if status == 200 {
			s.rec.line("operator: manifest %v acknowledged", manifest["version"])
			return nil
		}
		if status == 400 {
			return fmt.Errorf("%w: manifest refused: %s", errCannotRun, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: manifest %v was not acknowledged", errCannotRun, manifest["version"])
}

// awaitReady waits until a relay is ready.
func (s *site) awaitReady(i int) error {
	address := fmt.Sprintf("%s:%d", s.hosts(firstRelay+i), s.readyPort)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := call("GET", address, "/-/ready", nil); status == 200 {
			return nil
		}
	}
	return fmt.Errorf("%w: front-%d is not ready", errCannotRun, i+1)
}

// Names of the routes, services, keys and hosts of the manifest.
const (
	routeHost    = "desk.example"
	orderPath    = "/orders/"
	readPath     = "/reads/"
	reviewPath   = "/reviews/" // streams that may be resumed
	queryPath    = "/queries/" // streams that may not
	appService   = "desk-app"
	modelService = "model-pool"
	apiKey       = "k-first-0001"
	tenantName   = "tenant-1"
)

// baseManifest is the first manifest: routes of all kinds, like those of the sheets.
func baseManifest(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, goal, attempts int) map[string]any {
		return map[string]any{"name": name, "host": routeHost, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "goalMs": goal,
			"priority": 1, "service": service, "attempts": attempts, "public": false, "sticky": false, "canResume": false, "gapGoalMs": 800}
	}
	review := route("review", reviewPath, "streaming", modelService, 15000, 2000, 2)
	review["canResume"], review["sticky"] = true, true
	query := route("query", queryPath, "streaming", modelService, 12000, 300, 1)
	query["sticky"] = true
	return map[string]any{
		"version": version,
		"routes": []any{
			route("order", orderPath, "mutating", appService, 4000, 300, 1),
			route("read", readPath, "idempotent", appService, 4000, 300, 2),
			review,
			query,
		},
		"services": []any{
			map[string]any{"name": appService, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": modelService, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacity": 628662, "kvTokenBytes": 163840, "linkMbps": 180000.0, "moves": true,
					"backups": true, "stride": 5, "most": 12, "pinMs": 4000, "holdMs": 2000, "handleS": 5, "models": []any{map[string]any{"name": "m"}}}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "keys": []any{apiKey}, "priority": 1}},
	}
}
