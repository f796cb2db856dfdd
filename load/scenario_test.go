package load_test

import (
	"math"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/load"
)

// Guards against a scenario with a mistake that is accepted and runs differently than
// its author meant, and against errors that do not name the line.
func TestParseScenarioRefuses(t *testing.T) {
	tests := []struct{ name, old, replacement, want string }{
		{"unknown key", "seed: 7", "sed: 7", `3:1] unknown field "sed"`},
		{"wrong type", "duration_ms: 1000", "duration_ms: 1s", "[4:14]"},
		{"host name", `targets: ["127.0.0.1:1"]`, `targets: ["localhost:1"]`, "test.yaml:5: targets[0]: invalid address"},
		{"no port", `targets: ["127.0.0.1:1"]`, `targets: ["127.0.0.1"]`, "test.yaml:5: targets[0]: invalid address"},
		{"no duration", "duration_ms: 1000\n", "", "duration_ms: invalid duration 0"},
		{"share", "share: 3", "share: 0", "test.yaml:7: workspaces[0].share"},
		{"tier", "name: query, tier: 1", "name: query, tier: 9", "test.yaml:9: classes[0]: invalid tier 9"},
		{"process", "poisson, per_second: 60", "steady, per_second: 60", "test.yaml:9: classes[0].arrival.process"},
		{"times of a poisson process", "poisson, per_second: 60", "poisson, per_second: 60, start_ms: 5", "for process \"burst\" only"},
		{"burst without length", "length_ms: 100, ", "", "classes[1].arrival.length_ms"},
		{"overlapping bursts", "every_ms: 500", "every_ms: 100", "classes[1].arrival.every_ms"},
		{"lengths", "median: 20", "median: 90", "classes[0].model.prompt_tokens: invalid lengths"},
		{"method", "method: GET", "method: FETCH", "test.yaml:16: classes[3].call.method"},
		{"same class twice", "name: status", "name: query", "classes: names that occur twice"},
		{"fault kind", "kind: slow", "kind: tired", "test.yaml:18: faults[0].kind"},
		{"fault after the end", "at_ms: 300", "at_ms: 3000", "faults[0].at_ms"},
		{"fault without factor", ", factor: 5", "", "faults[0].factor"},
		{"unknown stand-in", "stand_ins: [engine-1]", "stand_ins: [engine-9]", `unknown stand-in "engine-9"`},
		{"dropped callers of a stand-in", "callers, percent: 100", "callers, percent: 100, stand_ins: [engine-1]", "faults[1].stand_ins"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := load.ParseScenario("test.yaml", []byte(strings.Replace(scenario, tt.old, tt.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error: got %v, want one with %q", err, tt.want)
			}
		})
	}
}

// Guards against a plan that the seed does not determine, and against arrivals outside
// the bursts or at another rate than the scenario's.
func TestPlan(t *testing.T) {
	s, err := load.ParseScenario("test.yaml", []byte(scenario))
	if err != nil {
		t.Fatal(err)
	}
	s.Duration = 100 * clock.Second
	plan := load.Plan(s)
	if !reflect.DeepEqual(plan, load.Plan(s)) {
		t.Error("two plans of one seed differ")
	}
	s.Seed++
	if reflect.DeepEqual(plan, load.Plan(s)) {
		t.Error("plans of two seeds are equal")
	}
	counts := lo.CountValuesBy(plan, func(r load.Request) string { return r.Workload.Class.Name() })
	// The tolerance is 5 standard deviations of a Poisson count.
	for name, want := range map[string]float64{"query": 6000, "tagging": 4000, "posting": 3000, "status": 3000} {
		if got := float64(counts[name]); math.Abs(got-want) > 5*math.Sqrt(want) {
			t.Errorf("%s: got %v requests, want about %v", name, got, want)
		}
	}
	for i, r := range plan {
		misordered := i > 0 && r.At < plan[i-1].At || r.Number != i
		outsideBurst := r.Workload.Class.Name() == "tagging" && (r.At%500 < 100 || r.At%500 >= 200)
		tooLong := r.MaxTokens > 12 || len(strings.Fields(r.Prompt)) > 200
		if misordered || outsideBurst || tooLong {
			t.Fatalf("request %d: got %+v", i, r)
		}
	}
	large := lo.CountBy(plan, func(r load.Request) bool { return r.Workspace == "large" })
	if got := float64(large) / float64(len(plan)); math.Abs(got-0.75) > 0.02 {
		t.Errorf("share of the large workspace: got %v, want about 0.75", got)
	}
}

// Guards against a scenario file that no longer parses or sends nothing.
func TestScenarioFiles(t *testing.T) {
	files, err := filepath.Glob("../scenarios/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("files: got %v, %v", files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s, err := load.ReadScenario(file)
			if err != nil {
				t.Fatal(err)
			}
			if s.Name+".yaml" != filepath.Base(file) {
				t.Errorf("name: got %q in file %s", s.Name, file)
			}
			classes := lo.UniqBy(load.Plan(s), func(r load.Request) string { return r.Workload.Class.Name() })
			if got, want := len(classes), len(s.Classes); got != want {
				t.Errorf("classes with requests: got %d, want %d", got, want)
			}
		})
	}
}
