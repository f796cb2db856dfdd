package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment, as the sheets of bdx-route and axmg-simula give them.
const (
	heartbeat   = 1200 * time.Millisecond
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	members     = 3
	relays      = 2 // at most
)

// site is a small deployment: three members of the control group and one relay or two, each a process of the
// project, and stand-ins for servers, clients and the operator in this process. The processes are named member-1 to
// member-3, and relay-4 and relay-5, by the last number of their addresses.
type site struct {
	folder  string
	program string
	block   string // the first three numbers of all addresses
	ports   map[string]int
	record  *record

	mu        sync.Mutex
	processes []*exec.Cmd
	byName    map[string]*exec.Cmd // the newest process of each machine
	cleanups  []func()
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) log(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

func newSite(program, recordPath string) (*site, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, program: program, ports: map[string]int{}, byName: map[string]*exec.Cmd{}, record: &record{file: file, start: time.Now()}}
	s.cleanups = append(s.cleanups, func() { _ = os.RemoveAll(folder); _ = file.Close() })
	s.block = fmt.Sprintf("127.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255)
	for _, name := range []string{"control", "peer", "front", "ready", "state"} {
		if s.ports[name], err = s.freePort(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// freePort returns a port that is free at each address of the machines.
func (s *site) freePort() (int, error) {
	for range 100 {
		first, err := net.Listen("tcp", s.block+".1:0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for n := 2; n <= members+relays && free; n++ {
			l, err := net.Listen("tcp", s.address(n, port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		_ = first.Close()
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func (s *site) address(n, port int) string { return fmt.Sprintf("%s.%d:%d", s.block, n, port) }

// control returns the address at which member n, from 1, serves servers and the operator.
func (s *site) control(n int) string { return s.address(n, s.ports["control"]) }

// front returns the address at which relay n, from 1, serves clients.
func (s *site) front(n int) string { return s.address(members+n, s.ports["front"]) }

// settings fills in what deploy/member.yaml and deploy/relay.yaml have. Only the first start of a member founds the group.
func (s *site) settings(role string, n int) string {
	seeds := make([]string, members)
	for i := range seeds {
		seeds[i] = fmt.Sprintf("%q", s.control(i+1))
	}
	text := fmt.Sprintf("role: %s\nname: %s-%d\navailability_zone: zone-%d\naddress: %s.%d\npeer_port: %d\nseeds: [%s]\n"+
		"heartbeat_ms: %d\nstop_s: 8\nrevoke_ms: 5000\napply_ms: 2000\ndrain_ms: %d\nack_ms: 4000\n",
		role, role, n, n, s.block, n, s.ports["peer"], strings.Join(seeds, ","), heartbeat.Milliseconds(), drainTime.Milliseconds())
	if role == "member" {
		return text + fmt.Sprintf("listen: %s\ndata_folder: %s\nfound: %t\nmemory_mb: 280\n",
			s.control(n), filepath.Join(s.folder, fmt.Sprintf("data-%d", n)), s.byName[fmt.Sprintf("member-%d", n)] == nil)
	}
	return text + fmt.Sprintf("listen: %s\nready_listen: %s\nstate_listen: %s\nmemory_mb: 414\nretry_ratio: 0.2\nretry_window_s: 10\nretry_slack: 54\n",
		s.address(n, s.ports["front"]), s.address(n, s.ports["ready"]), s.address(n, s.ports["state"]))
}

// startProcess starts a process with the command of the deploy file.
func (s *site) startProcess(role string, n int) (*exec.Cmd, error) {
	path := filepath.Join(s.folder, fmt.Sprintf("%s-%d.yaml", role, n))
	if err := os.WriteFile(path, []byte(s.settings(role, n)), 0o600); err != nil {
		return nil, err
	}
	output, err := os.OpenFile(filepath.Join(s.folder, fmt.Sprintf("%s-%d.log", role, n)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	c := exec.Command(s.program, "serve", role, "--settings", path)
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, c)
	s.byName[fmt.Sprintf("%s-%d", role, n)] = c
	s.mu.Unlock()
	s.record.log("process %s-%d started (pid %d)", role, n, c.Process.Pid)
	return c, nil
}

// start starts all processes and puts the manifest in force.
func (s *site) start(manifest map[string]any) error {
	for n := 1; n <= members; n++ {
		if _, err := s.startProcess("member", n); err != nil {
			return err
		}
	}
	if _, err := s.startProcess("relay", members+1); err != nil {
		return err
	}
	if !s.putManifest(manifest, 20*time.Second) {
		return fmt.Errorf("the manifest was not acknowledged")
	}
	return nil
}

// leader returns the number of the member that leads, 0 if none is known.
func (s *site) leader() int {
	for n := 1; n <= members; n++ {
		answer, err := http.Get("http://" + s.address(n, s.ports["peer"]) + "/debug/state")
		if err != nil {
			continue
		}
		var state struct{ Role string }
		_ = json.NewDecoder(answer.Body).Decode(&state)
		_ = answer.Body.Close()
		if state.Role == "leader" {
			return n
		}
	}
	return 0
}

// putManifest sends a manifest to the members in turn until one acknowledges it.
func (s *site) putManifest(manifest map[string]any, wait time.Duration) bool {
	body, _ := json.Marshal(manifest)
	for begin, n := time.Now(), 0; time.Since(begin) < wait; n++ {
		status, _ := post(s.control(n%members+1), "/-/Config.Put", body, 4*time.Second)
		s.record.log("manifest %v sent to member-%d: %d", manifest["version"], n%members+1, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// kill ends a process by SIGKILL.
func (s *site) kill(name string) {
	s.mu.Lock()
	c := s.byName[name]
	s.mu.Unlock()
	s.record.log("process %s is killed", name)
	_ = c.Process.Kill()
	_ = c.Wait()
}

// stop ends all stand-ins and processes, and removes the folder. The logs of the processes are copied to the folder KEEP
// if that is set.
func (s *site) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = exec.Command("cp", "-r", s.folder, keep).Run()
	}
	for _, f := range s.cleanups {
		f()
	}
}

func post(address, path string, body []byte, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Content-Type", "application/json")
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Do(q)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, nil
}

// service and route return parts of a manifest.
func service(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 200, "protocol": "h1", "tls": false}
}

func route(name, prefix, kind, service string, timeout time.Duration, canResume bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeout.Milliseconds(), "goalMs": 300, "priority": 0,
		"service": service, "attempts": 2, "public": false, "sticky": false, "canResume": canResume, "gapGoalMs": 800,
	}
}

const (
	host   = "clients.example"
	apiKey = "key-of-tenant-one"
)

func manifest(version int, routes []map[string]any, services ...string) map[string]any {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, service(name))
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "tenant-one", "keys": []string{apiKey}, "priority": 0}},
	}
}
