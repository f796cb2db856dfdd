package commands_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

var (
	helpPattern     = regexp.MustCompile(`(?m)^# HELP (galenaslip_\w+) `)
	documentPattern = regexp.MustCompile("(?m)^\\| `(galenaslip_\\w+)` ")
)

// checkMetrics guards against a metric that operators cannot look up, and against
// a documented metric that no process has.
func (s *site) checkMetrics(t *testing.T) {
	t.Helper()
	page, err := os.ReadFile("../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	want := names(documentPattern, string(page))
	// The relay's part of the page is checked in package relay.
	want = slices.DeleteFunc(want, func(name string) bool { return strings.HasPrefix(name, "galenaslip_relay_") })
	got := append(s.metrics(t, s.entries[0]), s.metrics(t, s.controlAddress[0])...)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("metrics: got\n%s\nwant those of docs/metrics.md\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func (s *site) metrics(t *testing.T, address string) []string {
	t.Helper()
	_, body, err := fasthttp.Get(nil, "http://"+address+"/metrics")
	if err != nil {
		t.Fatal(err)
	}
	return names(helpPattern, string(body))
}

func names(pattern *regexp.Regexp, text string) []string {
	found := []string{}
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}
