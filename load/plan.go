package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// Request is one planned request. It is immutable.
type Request struct {
	// Number counts the requests of a scenario in order of time.
	Number    int
	At        clock.Millis
	Workload  Workload
	Workspace string
	// Prompt, MaxTokens and Stream are set for model requests.
	Prompt    string
	MaxTokens int
	Stream    bool
	// Body is set for service calls with one.
	Body string
}

// sharedPrefix is the number of prompt tokens that the requests of one workspace
// and class have in common, so that prefix caches have something to keep.
const sharedPrefix = 32

// tokenBytes is the length of a token in a prompt.
const tokenBytes = 4

// wordCount is the number of different words that prompts draw from.
const wordCount = 10_000

// Plan returns all requests of a scenario in order of time. It depends on the
// scenario's seed and classes only.
func Plan(s Scenario) []Request {
	requests := []Request{}
	for i, w := range s.Classes {
		p := planner{scenario: s, workload: w, random: rand.New(rand.NewPCG(s.Seed, uint64(i)))}
		requests = append(requests, p.plan()...)
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range requests {
		requests[i].Number = i
	}
	return requests
}

type planner struct {
	scenario Scenario
	workload Workload
	random   *rand.Rand
}

func (p *planner) plan() []Request {
	requests := []Request{}
	a := p.workload.Arrival
	for on := 0.0; ; {
		on += p.random.ExpFloat64() / a.PerSecond * float64(clock.Second)
		at := a.at(clock.Millis(on))
		if at >= p.scenario.Duration {
			return requests
		}
		requests = append(requests, p.request(at, len(requests)))
	}
}

// at maps time during which the process is on to time since the start.
func (a Arrival) at(on clock.Millis) clock.Millis {
	if a.Process == Poisson {
		return on
	}
	bursts := on / a.Length
	if bursts > 0 && a.Interval == 0 {
		return math.MaxInt64
	}
	return a.Start + bursts*a.Interval + on%a.Length
}

func (p *planner) request(at clock.Millis, number int) Request {
	r := Request{At: at, Workload: p.workload, Workspace: p.workspace()}
	if !p.workload.IsModel() {
		r.Body = p.body(number)
		return r
	}
	m := p.workload.Model
	r.Prompt = p.prompt(r.Workspace, number, p.length(m.Prompt))
	r.MaxTokens = p.length(m.Output)
	r.Stream = p.random.IntN(100) < m.StreamPercent
	return r
}

func (p *planner) workspace() string {
	total := lo.SumBy(p.scenario.Workspaces, func(w Workspace) int { return w.Share })
	left := p.random.IntN(total)
	for _, w := range p.scenario.Workspaces {
		left -= w.Share
		if left < 0 {
			return w.Name
		}
	}
	return ""
}

// length draws from the log-normal distribution with the given median and 95th
// percentile, which is 1.645 standard deviations above the mean.
func (p *planner) length(l TokenDistribution) int {
	sigma := math.Log(float64(l.P95)/float64(l.Median)) / 1.645
	drawn := float64(l.Median) * math.Exp(sigma*p.random.NormFloat64())
	return min(max(int(drawn), 1), l.Max)
}

// prompt starts with a part that the workspace's requests of the class share. It
// has tokenBytes bytes for each token, as the stand-in engines count them.
func (p *planner) prompt(workspace string, number, tokens int) string {
	prefix := workspace + "-" + p.workload.Class.Name() + " "
	own := "w" + strconv.Itoa(number) + "-"
	text := strings.Builder{}
	for text.Len() < tokenBytes*min(sharedPrefix, tokens-1) {
		text.WriteString(prefix)
	}
	for text.Len() < tokenBytes*tokens {
		text.WriteString(own)
		text.WriteString(strconv.Itoa(p.random.IntN(wordCount)))
		text.WriteByte(' ')
	}
	return text.String()[:tokenBytes*tokens]
}

func (p *planner) body(number int) string {
	if p.workload.Call.Method == http.MethodGet || p.workload.Call.Method == http.MethodHead {
		return ""
	}
	return fmt.Sprintf(`{"class":%q,"number":%d,"value":%d}`, p.workload.Class.Name(), number, p.random.IntN(wordCount))
}
