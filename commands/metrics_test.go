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

// checkMetrics guards against a metric that docs/metrics.md does not list, and
// against a listed metric that no process has.
func (s *site) checkMetrics(t *testing.T) {
	t.Helper()
	page, err := os.ReadFile("../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	want := metricNames(documentPattern, string(page))
	// The tests of package relay check the metrics of relays.
	want = slices.DeleteFunc(want, func(name string) bool { return strings.HasPrefix(name, "galenaslip_relay_") })
	got := append(s.metrics(t, s.entries[0]), s.metrics(t, s.controlAddresses[0])...)
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
	return metricNames(helpPattern, string(body))
}

func metricNames(pattern *regexp.Regexp, text string) []string {
	found := []string{}
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}
