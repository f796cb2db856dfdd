package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/standin"
)

// Guards against callers that never complete a request and thereby occupy memory or a
// connection for ever.
func TestEndlessRequests(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0, func(o *entry.Options, _ *standin.EngineOptions) {
		o.Limits.BodyBytes = 64 << 10
		o.Timeouts.CallerRead = 2 * clock.Second
	})
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Galenaslip-Class: query\r\nX-Galenaslip-Workspace: w\r\n"
	tests := []struct {
		name, begin, repeat string
		want                int
	}{
		{name: "endless chunks", begin: head + "Transfer-Encoding: chunked\r\n\r\n", repeat: fmt.Sprintf("%x\r\n%s\r\n", 4096, strings.Repeat("x", 4096)), want: 413},
		{name: "endless headers", begin: head, repeat: "X-A: " + strings.Repeat("x", 1000) + "\r\n", want: 431},
		{name: "body that never comes", begin: head + "Content-Length: 100\r\n\r\n{", want: 408},
		{name: "header that never ends", begin: "POST /v1/chat", want: 408},
		{name: "declared length of gigabytes", begin: head + "Content-Length: 9999999999\r\n\r\n{", want: 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", s.entries[0].Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			go func() {
				_, err := io.WriteString(conn, tt.begin)
				for err == nil && tt.repeat != "" {
					_, err = io.WriteString(conn, tt.repeat)
				}
			}()
			got := 0
			if r, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				got = r.StatusCode
				_ = r.Body.Close()
			}
			// A caller that is still sending may get a connection reset instead of
			// the answer.
			if got != tt.want && (got != 0 || tt.repeat == "") {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// logBuffer holds the lines of a log.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(data)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// Guards against announcements of another writer that end an entry, keep it from using the
// sound servers, or fill its log and its answers with the sender's text.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	t.Parallel()
	var out logBuffer
	logger, flush := event.NewWithOutput(&out, "e", event.Warn)
	s := newSite(t, 1, 1, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Logger = logger })
	url := "http://" + s.entries[0].Address()
	odd := []string{
		``, `null`, `[]`, `{"server":7}`, `{"server":"odd","slots":1e400}`,
		`{"server":"odd","address":"10.0.0.1:0","kind":"engine","state":"serving","slots":1}`,
		`{"models":` + strings.Repeat("[", 100_000),
		`{"server":"odd","kind":"engine","state":"` + strings.Repeat("x", 100_000) + `","slots":1}`,
	}
	for _, body := range odd {
		answer, err := http.Post(url+"/v1/announcements", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if got, want := answer.StatusCode, http.StatusBadRequest; got != want || len(text) > 1000 {
			t.Errorf("%.60s: got status %d with %d bytes, want %d with at most 1000", body, got, len(text), want)
		}
	}
	if !s.allServersKnown() {
		t.Error("the sound server is not usable any more")
	}
	answer, err := http.Get(url + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	if want := fmt.Sprintf("galenaslip_entry_servers_refused_total %d\n", len(odd)); !strings.Contains(string(text), want) {
		t.Errorf("metrics lack %q", want)
	}
	flush()
	if got, want := strings.Count(out.String(), event.AnnouncementRefused.Name()), 1; got != want {
		t.Errorf("lines about refused servers: got %d, want %d", got, want)
	}
}
