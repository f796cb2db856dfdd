package event_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/event"
)

var update = flag.Bool("update", false, "rewrite docs/events.md")

const cataloguePath = "../docs/events.md"

// Guards against a log event that is missing in docs/events.md, and against a
// description of an event that no longer exists.
func TestCatalogue(t *testing.T) {
	want := renderCatalogue()
	if *update {
		if err := os.WriteFile(cataloguePath, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(cataloguePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("docs/events.md differs from the code; run go test ./event -update\ngot:\n%s\nwant:\n%s", got, want)
	}
}

// renderCatalogue returns the content of docs/events.md.
func renderCatalogue() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEach log line is one JSON object with the event's number in `event` and its name in\n`msg`. Numbers never change. This page is written by `go test ./event -update`.\n\n")
	b.WriteString("| number | name | level | meaning |\n|---|---|---|---|\n")
	for _, e := range event.All() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number(), e.Name(), e.Level(), e.Meaning())
	}
	return b.String()
}
