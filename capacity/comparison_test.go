package capacity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/galenaslip/galenaslip/capacity"
	"github.com/galenaslip/galenaslip/clock"
)

const (
	simulationStep = 100 * clock.Millisecond
	simulationTime = 10 * clock.Minute
	stepSeconds    = float64(simulationStep) / float64(clock.Second)
)

// workClass is a class of requests whose work arrives in bursts.
type workClass struct {
	name     string
	base     float64 // busy servers without a burst
	burst    float64 // factor in a burst
	target   clock.Millis
	deadline clock.Millis
}

// classes are ordered by urgency.
var classes = []workClass{
	{name: "urgent", base: 15, burst: 2.2, target: 400 * clock.Millisecond, deadline: 10 * clock.Second},
	{name: "short", base: 8, burst: 2, target: 800 * clock.Millisecond, deadline: 3 * clock.Second},
	{name: "long", base: 25, burst: 2.4, target: 2 * clock.Second, deadline: 12 * clock.Second},
}

// chunk is work of one class that has arrived at one time, in seconds of a server.
type chunk struct {
	at   clock.Millis
	work float64
}

// demand generates work. Bursts of a class last 5 to 9 s, begin half a minute apart on average, and
// the whole goes up and down in waves.
type demand struct {
	random   *rand.Rand
	burstEnd []clock.Millis
}

func (d *demand) arrivals(now clock.Millis, class int) float64 {
	if now >= d.burstEnd[class] && d.random.Float64() < stepSeconds/30 {
		d.burstEnd[class] = now + clock.Millis(5000+d.random.IntN(4000))
	}
	rate := classes[class].base * (1 + 0.25*math.Sin(2*math.Pi*float64(now)/float64(90*clock.Second)))
	if now < d.burstEnd[class] {
		rate *= classes[class].burst
	}
	return rate * stepSeconds * (0.7 + 0.6*d.random.Float64())
}

// simulation serves the work of all classes, the most urgent first, with the servers of a market.
type simulation struct {
	market *market
	demand demand
	queues [][]chunk
	owed   []float64
	inTime []float64
	busy   float64
	now    clock.Millis
}

func newSimulation(seed uint64, perZone int) *simulation {
	n := len(classes)
	return &simulation{
		market: newMarket(seed, perZone), demand: demand{random: rand.New(rand.NewPCG(seed, 1)), burstEnd: make([]clock.Millis, n)},
		queues: make([][]chunk, n), owed: make([]float64, n), inTime: make([]float64, n), now: clock.Second,
	}
}

func (s *simulation) step() {
	s.market.advance(s.now, simulationStep)
	left := float64(s.market.serving(s.now)) * stepSeconds
	s.busy = 0
	for i, c := range classes {
		work := s.demand.arrivals(s.now, i)
		s.owed[i] += work
		s.queues[i] = append(s.queues[i], chunk{s.now, work})
		for len(s.queues[i]) > 0 && left > 0 {
			first := &s.queues[i][0]
			served := min(first.work, left)
			if s.now-first.at <= c.target {
				s.inTime[i] += served
			}
			left, first.work, s.busy = left-served, first.work-served, s.busy+served/stepSeconds
			if first.work > 0 {
				break
			}
			s.queues[i] = s.queues[i][1:]
		}
		for len(s.queues[i]) > 0 && s.now-s.queues[i][0].at > c.deadline {
			s.queues[i] = s.queues[i][1:]
		}
	}
	s.now += simulationStep
}

// load is what entries report: work that waits needs servers, too.
func (s *simulation) load() capacity.Load {
	waiting := 0.0
	for _, q := range s.queues {
		for _, c := range q {
			waiting += c.work
		}
	}
	return capacity.Load{Requests: int(s.busy) * 3, Reading: int(s.busy), Waiting: int(waiting)}
}

// rule decides about servers once a second.
type rule func(s *simulation)

// fixed leaves the servers of the start alone.
func fixed(*simulation) {}

// proportional orders as many ordinary servers as the present demand needs, in equal parts.
func proportional(s *simulation) {
	each := max(int(math.Ceil(s.busy/0.7/float64(len(s.market.terms.Zones)))), s.market.terms.Min)
	for _, z := range s.market.terms.Zones {
		at := capacity.Place{Zone: z.Name, Kind: capacity.Ordinary}
		if n := min(each, s.market.terms.Max); n != s.market.count(at) {
			s.market.order(s.now, capacity.Order{Place: at, Count: n})
		}
	}
}

// planned asks a planner.
func planned() rule {
	planner := capacity.New()
	return func(s *simulation) {
		servers := s.market.announced(s.now)
		planner.Observe(s.now, s.load(), servers)
		for _, o := range planner.Plan(s.now, s.market.terms, servers) {
			planner.Record(s.now, o, s.market.order(s.now, o))
		}
	}
}

// result is the cost of a rule and the share of each class that was in time.
type result struct {
	cost   float64
	inTime []float64
	orders int
}

// play runs a rule against the demand of a seed. Every 70 s a zone loses its reclaimable servers.
func play(seed uint64, perZone int, r rule) result {
	s := newSimulation(seed, perZone)
	zones := s.market.terms.Zones
	for n := 0; s.now < simulationTime; n++ {
		if n%10 == 0 {
			r(s)
		}
		if n%700 == 699 {
			s.market.reclaim(s.now, zones[s.market.random.IntN(len(zones))].Name, 9*clock.Second)
		}
		s.step()
	}
	out := result{cost: s.market.cost, orders: s.market.orders}
	for i := range classes {
		out.inTime = append(out.inTime, s.inTime[i]/s.owed[i])
	}
	return out
}

// TestAgainstNaiveRules guards against a decision that saves money at the expense of callers, or none at
// all: at most 0.6 of the cost of a fixed number, no class served worse by more than 0.01, and each class
// at least as well as with a number that follows the present demand.
func TestAgainstNaiveRules(t *testing.T) {
	for seed := range uint64(5) {
		want, follows, got := play(seed, 35, fixed), play(seed, 35, proportional), play(seed, 35, planned())
		t.Log(row("fixed, 140", want))
		t.Log(row("fixed, 80", play(seed, 20, fixed)))
		t.Log(row("proportional", follows))
		t.Log(row("planned", got))
		if got.cost > 0.6*want.cost {
			t.Errorf("seed %d: cost: got %.0f, want at most 0.6 of %.0f", seed, got.cost, want.cost)
		}
		for i, c := range classes {
			if got.inTime[i] < want.inTime[i]-0.01 || got.inTime[i] < follows.inTime[i]-0.01 {
				t.Errorf("seed %d: %s in time: got %.3f, want %.3f less 0.01", seed, c.name, got.inTime[i], max(want.inTime[i], follows.inTime[i]))
			}
		}
	}
}

func row(name string, r result) string {
	text := fmt.Sprintf("| %s | %.0f | %d |", name, r.cost, r.orders)
	for _, share := range r.inTime {
		text += fmt.Sprintf(" %.3f |", share)
	}
	return text
}
