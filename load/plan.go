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
	// Number is the position of the request in the plan, which is in order of arrival.
	Number    int
	At        clock.Millis // planned arrival, as time since the start of the run
	Workload  Workload
	Workspace string
	// Prompt, MaxTokens and Stream are set only for model requests.
	Prompt    string
	MaxTokens int
	Stream    bool
	// Body is set only for service calls that have a body.
	Body string
}

// sharedPrefixTokens is the number of leading prompt tokens that all requests of one
// workspace and class share, so that prefix caches have hits.
const sharedPrefixTokens = 32

// bytesPerToken is the number of prompt bytes that count as one token, as in the stand-in
// engines.
const bytesPerToken = 4

// vocabularySize is the number of different random words in prompts.
const vocabularySize = 10_000

// Plan returns all requests of a scenario in order of arrival. The same scenario and
// seed always give the same plan.
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

// planner generates the requests of one class at random.
type planner struct {
	scenario Scenario
	workload Workload
	random   *rand.Rand
}

func (p *planner) plan() []Request {
	requests := []Request{}
	a := p.workload.Arrival
	for activeTime := 0.0; ; {
		activeTime += p.random.ExpFloat64() / a.PerSecond * float64(clock.Second)
		arrivalTime := a.arrivalTime(clock.Millis(activeTime))
		if arrivalTime >= p.scenario.Duration {
			return requests
		}
		requests = append(requests, p.newRequest(arrivalTime, len(requests)))
	}
}

// arrivalTime converts the time that the process has been active to the time since the
// start of the run. A burst process is active only during its bursts.
func (a Arrival) arrivalTime(activeTime clock.Millis) clock.Millis {
	if a.Process == Poisson {
		return activeTime
	}
	bursts := activeTime / a.Length
	if bursts > 0 && a.Interval == 0 {
		return math.MaxInt64
	}
	return a.Start + bursts*a.Interval + activeTime%a.Length
}

func (p *planner) newRequest(arrivalTime clock.Millis, number int) Request {
	r := Request{At: arrivalTime, Workload: p.workload, Workspace: p.drawWorkspace()}
	if !p.workload.IsModel() {
		r.Body = p.newBody(number)
		return r
	}
	m := p.workload.Model
	r.Prompt = p.newPrompt(r.Workspace, number, p.drawLength(m.Prompt))
	r.MaxTokens = p.drawLength(m.Output)
	r.Stream = p.random.IntN(100) < m.StreamPercent
	return r
}

// drawWorkspace picks a random workspace with a probability in proportion to its share.
func (p *planner) drawWorkspace() string {
	total := lo.SumBy(p.scenario.Workspaces, func(w Workspace) int { return w.Weight })
	remaining := p.random.IntN(total)
	for _, w := range p.scenario.Workspaces {
		remaining -= w.Weight
		if remaining < 0 {
			return w.Name
		}
	}
	return ""
}

// drawLength draws a number of tokens from the log-normal distribution with the given median and 95th
// percentile, cut off at the maximum. The 95th percentile of a normal distribution is
// 1.645 standard deviations above the mean.
func (p *planner) drawLength(l TokenDistribution) int {
	sigma := math.Log(float64(l.P95)/float64(l.Median)) / 1.645
	sample := float64(l.Median) * math.Exp(sigma*p.random.NormFloat64())
	return min(max(int(sample), 1), l.Max)
}

// newPrompt returns a prompt of the given number of tokens. It begins with text that is
// the same for all requests of the workspace and class, and has bytesPerToken bytes for
// each token, as the stand-in engines count them.
func (p *planner) newPrompt(workspace string, number, tokens int) string {
	prefix := workspace + "-" + p.workload.Class.Name() + " "
	wordPrefix := "w" + strconv.Itoa(number) + "-"
	text := strings.Builder{}
	for text.Len() < bytesPerToken*min(sharedPrefixTokens, tokens-1) {
		text.WriteString(prefix)
	}
	for text.Len() < bytesPerToken*tokens {
		text.WriteString(wordPrefix)
		text.WriteString(strconv.Itoa(p.random.IntN(vocabularySize)))
		text.WriteByte(' ')
	}
	return text.String()[:bytesPerToken*tokens]
}

// newBody returns the JSON body of a service call, or an empty string for GET and HEAD.
func (p *planner) newBody(number int) string {
	if p.workload.Call.Method == http.MethodGet || p.workload.Call.Method == http.MethodHead {
		return ""
	}
	return fmt.Sprintf(`{"class":%q,"number":%d,"value":%d}`, p.workload.Class.Name(), number, p.random.IntN(vocabularySize))
}
