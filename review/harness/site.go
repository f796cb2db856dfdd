package main

import (
	"bytes"
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
	"syscall"
	"time"
)

const (
	controlPort = 8229
	frontPort   = 8227
	readyPort   = 8220
	peerPort    = 7340
	statePort   = 7341
	memberCount = 3
	// heartbeatInterval is heartbeatMs of the settings.
	heartbeatInterval = 1200 * time.Millisecond
)

// process is one process of the program under review.
type process struct {
	name, role, settings string
	command              *exec.Cmd
	ended                chan struct{}
}

// site is a small deployment on loopback addresses: three members and some relays.
type site struct {
	folder  string // temporary
	program string
	block   string // first three numbers of all addresses
	record  *record
	members []*process
	relays  []*process
	stopped chan struct{}
}

// record is the file of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func newSite(program, recordPath string) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, program: program, record: &record{file: file, started: time.Now()}, stopped: make(chan struct{})}
	for n := os.Getpid(); ; n++ {
		s.block = fmt.Sprintf("127.%d.%d", 64+n>>8&63, n&255)
		l, err := net.Listen("tcp", s.host(1)+fmt.Sprintf(":%d", controlPort))
		if err == nil {
			return s, l.Close()
		}
	}
}

func (s *site) host(n int) string   { return fmt.Sprintf("%s.%d", s.block, n) }
func (s *site) member(n int) string { return fmt.Sprintf("%s:%d", s.host(1+n), controlPort) }
func (s *site) relay(n int) string  { return fmt.Sprintf("%s:%d", s.host(20+n), frontPort) }
func (s *site) readyURL(n int) string {
	return fmt.Sprintf("http://%s:%d/-/ready", s.host(20+n), readyPort)
}
func (s *site) stateURL(n int) string {
	return fmt.Sprintf("http://%s:%d/debug/state", s.host(20+n), statePort)
}
func (s *site) serverAt(n int) string { return fmt.Sprintf("%s:8080", s.host(40+n)) }
func (s *site) dataDir(n int) string  { return filepath.Join(s.folder, fmt.Sprintf("data-%d", n)) }
func (s *site) control() (urls []string) {
	for n := range memberCount {
		urls = append(urls, "http://"+s.member(n))
	}
	return urls
}

func (s *site) seeds() string {
	var list []string
	for n := range memberCount {
		list = append(list, fmt.Sprintf("%q", s.member(n)))
	}
	return "[" + strings.Join(list, ",") + "]"
}

// bounds are those of the sheets in SYSTEM.md, in the project's names (deploy/*.yaml).
const bounds = "heartbeat_ms: 1200\nstop_s: 8\nrevoke_ms: 5000\napply_ms: 2000\ndrain_ms: 2000\nack_ms: 4000\n"

func (s *site) startMember(n int, found bool) error {
	a := s.host(1 + n)
	text := fmt.Sprintf("role: member\nname: \"core-%d\"\navailability_zone: \"z\"\naddress: %q\nlisten: %q\npeer_port: %d\nseeds: %s\ndata_folder: %q\nfound: %t\nmemory_mb: 280\n%s",
		n, a, s.member(n), peerPort, s.seeds(), s.dataDir(n), found, bounds)
	p, err := s.start(fmt.Sprintf("core-%d", n), "member", text)
	s.members = append(s.members, p)
	return err
}

func (s *site) startRelay(n int) error {
	a := s.host(20 + n)
	text := fmt.Sprintf("role: relay\nname: \"front-%d\"\navailability_zone: \"z\"\naddress: %q\nlisten: %q\nready_listen: \"%s:%d\"\npeer_port: %d\nstate_listen: \"%s:%d\"\nseeds: %s\nmemory_mb: 414\n%sretry_ratio: 0.2\nretry_window_s: 10\nretry_slack: 52\n",
		n, a, s.relay(n), a, readyPort, peerPort, a, statePort, s.seeds(), bounds)
	p, err := s.start(fmt.Sprintf("front-%d", n), "relay", text)
	s.relays = append(s.relays, p)
	return err
}

func (s *site) start(name, role, text string) (*process, error) {
	p := &process{name: name, role: role, settings: filepath.Join(s.folder, name+".yaml")}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return p, err
	}
	return p, s.launch(p)
}

// launch starts the process. Its log goes to a file of the temporary folder.
func (s *site) launch(p *process) error {
	log, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(s.program, "serve", p.role, "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	s.record.printf("start %s", p.name)
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal, and waits for the end of the process if it is SIGKILL.
func (s *site) signal(p *process, sig syscall.Signal) {
	s.record.printf("send %v to %s", sig, p.name)
	_ = p.command.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		<-p.ended
	}
}

// close ends all processes that the site has started.
func (s *site) close() {
	close(s.stopped)
	for _, p := range append(s.members, s.relays...) {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Kill()
			<-p.ended
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}

// post sends a call to a control address and returns the status, 0 without an answer.
func post(url, body string, timeout time.Duration) (int, string) {
	return do(http.MethodPost, url, body, timeout)
}

func do(method, url, body string, timeout time.Duration) (int, string) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	q, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(data)
}

// putManifest sends a manifest until it is acknowledged, as the operator does.
func (s *site) putManifest(manifest map[string]any, within time.Duration) error {
	data, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	end := time.Now().Add(within)
	for turn := 0; time.Now().Before(end); turn++ {
		status, text := post(s.control()[turn%memberCount]+"/-/Config.Put", string(data), time.Second)
		if status == http.StatusOK {
			s.record.printf("manifest %v acknowledged", manifest["version"])
			return nil
		}
		if status/100 == 4 {
			return fmt.Errorf("manifest refused: %d %s", status, text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("manifest %v was not acknowledged", manifest["version"])
}

// eventually waits until a condition holds.
func eventually(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// awaitReady waits until all relays are ready.
func (s *site) awaitReady(within time.Duration) error {
	for n := range s.relays {
		ok := eventually(within, func() bool {
			status, _ := do(http.MethodGet, s.readyURL(n), "", time.Second)
			return status == http.StatusOK
		})
		if !ok {
			return fmt.Errorf("relay %d is not ready", n)
		}
	}
	return nil
}

// awaitServers waits until each relay knows the given servers.
func (s *site) awaitServers(within time.Duration, ids ...string) error {
	for n := range s.relays {
		ok := eventually(within, func() bool {
			_, text := do(http.MethodGet, s.stateURL(n), "", time.Second)
			for _, id := range ids {
				if !strings.Contains(text, `"`+id+`"`) {
					return false
				}
			}
			return true
		})
		if !ok {
			return fmt.Errorf("relay %d does not know the servers %v", n, ids)
		}
	}
	return nil
}

// startAll starts the members and relays and sends the first manifest.
func (s *site) startAll(relays int, manifest map[string]any) error {
	for n := range memberCount {
		if err := s.startMember(n, true); err != nil {
			return err
		}
	}
	for n := range relays {
		if err := s.startRelay(n); err != nil {
			return err
		}
	}
	if err := s.putManifest(manifest, 20*time.Second); err != nil {
		return err
	}
	return s.awaitReady(10 * time.Second)
}
