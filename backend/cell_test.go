package backend_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// cluster simulates some entries, each with its own clock, and some servers. They are
// connected by links that lose, delay, duplicate and reorder messages.
type cluster struct {
	t          testReporter
	now        clock.Millis // true time, which differs from the clock of each entry
	random     *rand.Rand
	linkFaults linkFaults
	tasks      taskHeap
	entries    []*entry
	servers    []*server
}

// testReporter is the part of a test that the cluster uses.
type testReporter interface{ Fatal(args ...any) }

// linkFaults holds the faults of the simulated network links.
type linkFaults struct {
	loss, duplicates int // percent of all messages
	maxDelay         clock.Millis
}

// entry is a simulated entry.
type entry struct {
	offset     clock.Millis // difference of the entry's clock from the true time
	challenger *backend.Challenger
	registry   *backend.Registry
	isolated   bool // gets no announcements and exchanges no digests
}

// server is a simulated backend server.
type server struct {
	name      string
	sequence  uint64
	challenge string
	stopsAt   clock.Millis            // true time at which it starts to leave
	silent    bool                    // sends nothing from stopsAt on, instead of announcing that it leaves
	sentAt    map[uint64]clock.Millis // true time of each announcement, by sequence
	models    map[uint64]string       // model in each announcement, by sequence
}

func newCluster(t testReporter, l linkFaults, seed uint64, entries, servers int) *cluster {
	c := &cluster{t: t, linkFaults: l, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		c.entries = append(c.entries, &entry{
			offset:     clock.Millis(c.random.IntN(100_000)),
			challenger: backend.NewChallenger(name, seed),
			registry:   backend.New(backend.Options{Entry: name, Epoch: seed}),
		})
	}
	for i := range servers {
		s := &server{name: fmt.Sprintf("engine-%d", i), sentAt: map[uint64]clock.Millis{}, models: map[uint64]string{}, stopsAt: 1 << 40}
		c.servers = append(c.servers, s)
		c.every(clock.Millis(c.random.IntN(1000)), 1000, func() { c.announce(s) })
	}
	for _, e := range c.entries {
		for _, peer := range c.entries {
			if peer != e {
				c.every(clock.Millis(c.random.IntN(500)), 500, func() { c.pull(e, peer) })
			}
		}
	}
	return c
}

// send delivers a message zero, one or two times, each after a random delay.
func (c *cluster) send(deliver func()) {
	copies := 1
	if c.random.IntN(100) < c.linkFaults.duplicates {
		copies = 2
	}
	for range copies {
		if c.random.IntN(100) >= c.linkFaults.loss {
			c.after(clock.Millis(1+c.random.Int64N(int64(c.linkFaults.maxDelay))), deliver)
		}
	}
}

func (c *cluster) announce(s *server) {
	if s.silent && c.now >= s.stopsAt {
		return
	}
	s.sequence++
	s.sentAt[s.sequence] = c.now
	s.models[s.sequence] = []string{"m-small", "m-small", "m-small", "m-large"}[c.random.IntN(4)]
	a := engine(s.name, s.sequence).WithModels(s.models[s.sequence]).WithChallenge(s.challenge)
	if c.now >= s.stopsAt {
		a = a.WithState(backend.Leaving)
	}
	e := c.entries[c.random.IntN(len(c.entries))]
	c.send(func() { c.receive(e, s, a) })
}

// receive processes an announcement at an entry. The server sends the next one as soon
// as it learns that its challenge was refused.
func (c *cluster) receive(e *entry, s *server, a backend.Announcement) {
	if e.isolated {
		return
	}
	now := e.now(c)
	age, ok := e.challenger.Check(now, a.Challenge())
	if ok {
		e.registry.Accept(now, a, age)
	}
	challenge := e.challenger.Issue(now)
	c.send(func() {
		s.challenge = challenge
		if !ok && s.sequence == a.Sequence() {
			c.announce(s)
		}
	})
}

func (c *cluster) pull(e, peer *entry) {
	if e.isolated || peer.isolated {
		return
	}
	since, start := e.registry.Version(), c.now
	c.send(func() {
		data, err := backend.EncodeDigest(peer.registry.Digest(peer.now(c), since))
		if err != nil {
			c.t.Fatal(err)
		}
		c.send(func() {
			d, err := backend.DecodeDigest(data)
			if err != nil {
				c.t.Fatal(err)
			}
			e.registry.Merge(e.now(c), d, c.now-start)
		})
	})
}

func (e *entry) now(c *cluster) clock.Millis { return c.now + e.offset }

func (c *cluster) run(until clock.Millis, check func()) {
	for c.now < until {
		next := heap.Pop(&c.tasks).(task)
		c.now = next.at
		next.action()
		check()
	}
}

func (c *cluster) after(delay clock.Millis, action func()) {
	heap.Push(&c.tasks, task{at: c.now + delay, action: action})
}

func (c *cluster) every(first, interval clock.Millis, action func()) {
	c.after(first, func() {
		action()
		c.every(interval, interval, action)
	})
}

type task struct {
	at     clock.Millis
	action func()
}

type taskHeap []task

func (s taskHeap) Len() int           { return len(s) }
func (s taskHeap) Less(i, j int) bool { return s[i].at < s[j].at }
func (s taskHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *taskHeap) Push(x any) { *s = append(*s, x.(task)) }

// Pop implements heap.Interface.
func (s *taskHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func drawLinkFaults(t *rapid.T) linkFaults {
	return linkFaults{
		loss:       rapid.IntRange(0, 60).Draw(t, "loss"),
		duplicates: rapid.IntRange(0, 40).Draw(t, "double"),
		maxDelay:   clock.Millis(rapid.SampledFrom([]int{2, 100, 1500, 8000}).Draw(t, "delay")),
	}
}
