package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/entry"
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
