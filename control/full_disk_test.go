package control_test

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage"
)

// logOpener opens fake logs in turn. A nil log stands for a disk that is full.
type logOpener struct {
	mu   sync.Mutex
	logs []control.Log
}

func (o *logOpener) open(replica.Options) (control.Log, func(), error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.logs[0]
	o.logs = o.logs[1:]
	if next == nil {
		return nil, nil, &storage.Error{Outcome: storage.Full, Path: "log", Reason: "write", Cause: syscall.ENOSPC}
	}
	return next, func() {}, nil
}

// Guards against a member that ends, or takes no part until it is started again, because its disk was
// full when it opened its log: at the start of the process, or when it took a new identity.
func TestMemberWaitsForFullDisk(t *testing.T) {
	t.Parallel()
	member := &fakeLog{status: replica.Status{Identity: "c1", Role: replica.Leader, Leader: "here", Founded: true, LeaseRemaining: clock.Second}}
	excluded := &fakeLog{status: replica.Status{Identity: "c1", Founded: true, Excluded: true}}
	tests := []struct {
		name string
		logs []control.Log
	}{
		{"at the start", []control.Log{nil, nil, member}},
		{"with a new identity", []control.Log{excluded, nil, nil, member}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, manual := clock.NewManual(0)
			opener, folder := &logOpener{logs: tt.logs}, t.TempDir()
			if err := os.Mkdir(filepath.Join(folder, "log"), 0o700); err != nil {
				t.Fatal(err)
			}
			m, release, err := control.New(control.Options{
				Name: "c1", Listen: "127.0.0.1:0", Folder: folder, Clock: c, Logger: event.Discard(), OpenLog: opener.open,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(release)
			if got, _ := request(t, http.MethodGet, "http://"+m.Address()+"/healthz", "", ""); got != http.StatusOK {
				t.Errorf("status of a member that waits: got %d, want 200", got)
			}
			status := 0
			for attempt := 0; status != http.StatusOK && attempt < 1000; attempt++ {
				manual.Advance(100)
				clock.New().Sleep(t.Context(), 1) // the member's tasks run in goroutines of their own
				status, _ = request(t, http.MethodGet, "http://"+m.Address()+"/readyz", "", "")
			}
			if status != http.StatusOK {
				t.Fatalf("readiness after the disk has space: got %d, want 200", status)
			}
			opener.mu.Lock()
			defer opener.mu.Unlock()
			if got := len(opener.logs); got != 0 {
				t.Errorf("logs that were not opened: got %d, want none", got)
			}
		})
	}
}

// Guards against a member that waits for ever, without an error at its start, for a folder that
// belongs to another member or that it may not use.
func TestMemberDoesNotWaitForWrongFolder(t *testing.T) {
	t.Parallel()
	for _, cause := range []error{
		&storage.Error{Outcome: storage.WrongOwner, Path: "log"},
		&storage.Error{Outcome: storage.Locked, Path: "log", Cause: syscall.EWOULDBLOCK},
		&storage.Error{Outcome: storage.ReadOnly, Path: "log", Cause: syscall.EACCES},
	} {
		_, _, err := control.New(control.Options{
			Name: "c1", Listen: "127.0.0.1:0", Folder: t.TempDir(), Clock: clock.New(), Logger: event.Discard(),
			OpenLog: func(replica.Options) (control.Log, func(), error) { return nil, nil, cause },
		})
		if err == nil {
			t.Errorf("%v: got no error, want one", cause)
		}
	}
}

// Guards against a member that waits for its disk in silence, so that its log does not say why it
// takes no part in elections.
func TestMemberWithoutLogReportsNoLeader(t *testing.T) {
	t.Parallel()
	c, manual := clock.NewManual(0)
	output := &lockedBuffer{}
	logger, closeLogger := event.NewWithOutput(output, "c1", event.Info)
	m, release, err := control.New(control.Options{
		Name: "c1", Listen: "127.0.0.1:0", Folder: t.TempDir(), Clock: c, Logger: logger,
		OpenLog: func(replica.Options) (control.Log, func(), error) {
			return nil, nil, &storage.Error{Outcome: storage.Full, Path: "log", Cause: syscall.ENOSPC}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	const seconds = 10
	for range 10 * seconds {
		manual.Advance(100)
		request(t, http.MethodGet, "http://"+m.Address()+"/readyz", "", "")
	}
	_, metrics := request(t, http.MethodGet, "http://"+m.Address()+"/metrics", "", "")
	if !strings.Contains(metrics, "galenaslip_control_no_leader_ms 10000\n") {
		t.Error("the metrics do not show 10 s without a leader")
	}
	release()
	closeLogger()
	lines := strings.Count(output.String(), `"msg":"no_leader"`)
	if lines < 1 || lines > seconds/3 {
		t.Errorf("got %d lines in %d s, want 1 to %d", lines, seconds, seconds/3)
	}
	if !strings.Contains(output.String(), `"cause":"disk_refuses_writes"`) {
		t.Errorf("got no cause in %s", output.String())
	}
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the buffer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
