package commands_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/commands"
)

// Guards against output that contains lines of other requests or processes, is in the
// wrong order, or ends at a damaged line or at one that is too long.
func TestExplain(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	firstLog := write("one.log", `{"ts":"2026-12-04T10:00:00.100Z","msg":"server_changed","process":"e1","server":"i-1"}
{"ts":"2026-12-04T10:00:00.300Z","msg":"request_refused","process":"e1","request":"a1","reason":"no_server"}
{"ts":"2026-12-04T10:00:00.2
`+strings.Repeat("x", 3<<20)+`
{"ts":"2026-12-04T10:00:00.200Z","msg":"attempt_failed","process":"e1","request":"a1","server":"i-1"}
{"ts":"2026-12-04T10:00:00.250Z","msg":"request_answered","process":"e1","request":"b2"}
`)
	secondLog := write("two.log", `{"ts":"2026-12-04T10:00:00.150Z","msg":"leader_lost","process":"e2"}
`)
	var out, errOut bytes.Buffer
	if code := commands.Execute([]string{"explain", "a1", firstLog, secondLog}, &out, &errOut); code != 0 {
		t.Fatalf("got code %d: %s", code, errOut.String())
	}
	var got []string
	for line := range strings.Lines(out.String()) {
		for _, name := range []string{"server_changed", "attempt_failed", "request_refused", "request_answered", "leader_lost", "2 damaged"} {
			if strings.Contains(line, name) {
				got = append(got, name)
			}
		}
	}
	if got, want := strings.Join(got, " "), "server_changed attempt_failed request_refused 2 damaged"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if code := commands.Execute([]string{"explain", "none", firstLog}, &out, &errOut); code == 0 {
		t.Error("unknown request: got code 0, want a failure")
	}
}
