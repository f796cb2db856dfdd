package continuation_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
)

const (
	simulatedMembers = 5
	simulatedRelays  = 4
	simulationStep   = 20 * clock.Millisecond
	// watchInterval is the longest time between two answers of the leader to a relay in calm.
	watchInterval = 200 * clock.Millisecond
)

// simulatedServer is a backend server.
type simulatedServer struct {
	origin  continuation.Origin
	serving bool
}

// simulatedMember is a member of the control group: its records are lost when it is killed.
type simulatedMember struct {
	name    string
	records *continuation.Records
	running bool
}

// simulatedRelay is a relay with what it has learned of servers and versions.
type simulatedRelay struct {
	running   bool
	own       *continuation.Records
	table     continuation.Table
	servers   []*simulatedServer // that it knows, those that are gone included
	confirmed clock.Millis       // after which time the leader has confirmed the table
	nextWatch clock.Millis
	queue     []continuation.Record
}

// simulatedStream is a stream of one client over its tries.
type simulatedStream struct {
	id       string
	versions []string // of the servers whose events the client holds
	relay    *simulatedRelay
	server   *simulatedServer
	returnAt clock.Millis // when the client takes it up; 0 while it runs
	tries    int
}

// chooser decides at which of a relay's servers a stream goes on that a client takes up.
type chooser func(s *simulation, r *simulatedRelay, stream *simulatedStream) []*simulatedServer

// simulation is a leader whose table is durable, members, relays, servers and clients.
type simulation struct {
	t        *rapid.T
	now      clock.Millis
	choose   chooser
	table    continuation.Table
	presence *continuation.Presence
	members  []*simulatedMember
	relays   []*simulatedRelay
	servers  []*simulatedServer
	streams  []*simulatedStream
	begun    int

	takenUp, wentOn int // take-ups while two servers of the version serve, and those of them that went on
}

func newSimulation(t *rapid.T, choose chooser) *simulation {
	s := &simulation{t: t, now: clock.Second, choose: choose, presence: continuation.NewPresence(0)}
	for i := range simulatedMembers {
		s.members = append(s.members, &simulatedMember{name: fmt.Sprintf("m%d", i), records: continuation.NewRecords(1000), running: true})
	}
	for range simulatedRelays {
		s.relays = append(s.relays, &simulatedRelay{})
	}
	for range 6 {
		s.addServer("v1")
	}
	return s
}

// addServer adds a server. The leader commits its version before anybody learns of it.
func (s *simulation) addServer(version string) {
	origin := continuation.Origin{Service: "s", Version: version}
	s.table = s.table.With(continuation.Change{Origin: origin})
	s.servers = append(s.servers, &simulatedServer{origin: origin, serving: true})
}

func serving(servers []*simulatedServer) []*simulatedServer {
	return lo.Filter(servers, func(v *simulatedServer, _ int) bool { return v.serving })
}

// run plays until the given time from now.
func (s *simulation) run(duration clock.Millis) {
	for end := s.now + duration; s.now < end; s.now += simulationStep {
		present := lo.Map(serving(s.servers), func(v *simulatedServer, _ int) continuation.Origin { return v.origin })
		for _, change := range s.presence.Update(s.now, s.table, present) {
			s.table = s.table.With(change)
		}
		for _, r := range s.relays {
			s.runRelay(r)
		}
		for _, stream := range s.streams {
			s.runStream(stream)
		}
		s.streams = lo.Filter(s.streams, func(v *simulatedStream, _ int) bool { return v.tries < 4 })
		s.checkVersions()
	}
}

// runRelay lets a relay watch the leader and tell its records.
func (s *simulation) runRelay(r *simulatedRelay) {
	if !r.running {
		r.running, r.own, r.table, r.servers, r.confirmed, r.queue = true, continuation.NewRecords(1000), continuation.Table{}, nil, 0, nil
		r.nextWatch = s.now
	}
	if s.now >= r.nextWatch {
		r.table, r.servers, r.confirmed = s.table, slices.Clone(s.servers), s.now
		r.nextWatch = s.now + clock.Millis(rapid.SampledFrom([]int{20, 200, 200, 1500}).Draw(s.t, "watch"))
	}
	if len(r.queue) == 0 || rapid.Bool().Draw(s.t, "the batch waits") {
		return
	}
	for _, record := range r.queue {
		for _, holder := range s.holders(record.Stream)[:continuation.HolderCount] {
			if holder.running && rapid.IntRange(0, 9).Draw(s.t, "message") > 0 {
				holder.records.Add(s.now, record)
			}
		}
	}
	r.queue = nil
}

func (s *simulation) holders(stream string) []*simulatedMember {
	names := lo.Map(s.members, func(m *simulatedMember, _ int) string { return m.name })
	byName := lo.KeyBy(s.members, func(m *simulatedMember) string { return m.name })
	return lo.Map(continuation.Holders(stream, names), func(name string, _ int) *simulatedMember { return byName[name] })
}

// begin begins a stream at a relay that has a lease.
func (s *simulation) begin() {
	r := rapid.SampledFrom(s.relays).Draw(s.t, "relay")
	candidates := serving(r.servers)
	if len(candidates) == 0 {
		return
	}
	s.begun++
	stream := &simulatedStream{id: fmt.Sprintf("stream-%d", s.begun)}
	s.streams = append(s.streams, stream)
	s.goOn(r, stream, rapid.SampledFrom(candidates).Draw(s.t, "server"))
}

// goOn lets a client have an event of a stream from a server.
func (s *simulation) goOn(r *simulatedRelay, stream *simulatedStream, server *simulatedServer) {
	stream.relay, stream.server, stream.returnAt = r, server, 0
	stream.versions = append(stream.versions, server.origin.Version)
	record := continuation.Record{Stream: stream.id, Origin: server.origin}
	r.own.Add(s.now, record)
	r.queue = append(r.queue, record)
}

// runStream lets a stream break off with its relay or its server, and be taken up by its client.
func (s *simulation) runStream(stream *simulatedStream) {
	switch {
	case stream.returnAt == 0 && (stream.relay == nil || !stream.server.serving):
		stream.returnAt = s.now + clock.Millis(rapid.IntRange(20, 1500).Draw(s.t, "return"))
	case stream.returnAt > 0 && s.now >= stream.returnAt:
		s.takeUp(stream)
	}
}

// takeUp lets a client take up a stream at any relay.
func (s *simulation) takeUp(stream *simulatedStream) {
	stream.tries++
	r := rapid.SampledFrom(s.relays).Draw(s.t, "relay of the take-up")
	ownVersion := lo.CountBy(serving(s.servers), func(v *simulatedServer) bool { return v.origin.Version == stream.versions[0] })
	candidates := s.choose(s, r, stream)
	if ownVersion >= 2 {
		s.takenUp++
		s.wentOn += lo.Ternary(len(candidates) > 0, 1, 0)
	}
	if len(candidates) > 0 {
		s.goOn(r, stream, rapid.SampledFrom(candidates).Draw(s.t, "server of the take-up"))
		return
	}
	stream.returnAt = s.now + 200
}

// checkVersions fails the test if a client holds events of two versions.
func (s *simulation) checkVersions() {
	for _, stream := range s.streams {
		if len(lo.Uniq(stream.versions)) > 1 {
			s.t.Fatalf("at %d ms: %s holds events of %v", s.now, stream.id, stream.versions)
		}
	}
}

// decide is the chooser in use.
func decide(s *simulation, r *simulatedRelay, stream *simulatedStream) []*simulatedServer {
	found, knowledge := r.own.Lookup(s.now, stream.id)
	for _, holder := range s.holders(stream.id)[:continuation.AskedCount] {
		if knowledge == continuation.Unrecorded && holder.running {
			found, knowledge = holder.records.Lookup(s.now, stream.id)
		}
	}
	if knowledge == continuation.Unrecorded {
		// The relay waits until the leader confirms the table.
		r.table, r.servers, r.confirmed = s.table, slices.Clone(s.servers), s.now
	}
	inService := lo.Map(serving(r.servers), func(v *simulatedServer, _ int) continuation.Origin { return v.origin })
	origin, verdict := continuation.Decide(knowledge, found.Origin, "s", r.table.Versions("s"), inService)
	if verdict != continuation.GoesOn {
		return nil
	}
	return lo.Filter(serving(r.servers), func(v *simulatedServer, _ int) bool { return v.origin == origin })
}

// anyServer is a naive chooser: a stream goes on at any server of its service.
func anyServer(_ *simulation, r *simulatedRelay, _ *simulatedStream) []*simulatedServer {
	return serving(r.servers)
}

// ownRecords is another one: a relay knows the streams that it has begun itself, and takes the others to
// have begun at the version of most servers.
func ownRecords(s *simulation, r *simulatedRelay, stream *simulatedStream) []*simulatedServer {
	found, knowledge := r.own.Lookup(s.now, stream.id)
	origin := found.Origin
	if knowledge != continuation.Recorded {
		counts := lo.CountValuesBy(serving(r.servers), func(v *simulatedServer) continuation.Origin { return v.origin })
		origin = lo.MaxBy(lo.Keys(counts), func(a, b continuation.Origin) bool { return counts[a] > counts[b] })
	}
	return lo.Filter(serving(r.servers), func(v *simulatedServer, _ int) bool { return v.origin == origin })
}

// disturb changes something at random: relays and members are killed, also all at once, servers crash,
// and versions are released forward, back and in halves.
func (s *simulation) disturb() {
	switch rapid.IntRange(0, 8).Draw(s.t, "disturbance") {
	case 0, 1:
		s.killRelays(1)
	case 2:
		s.killRelays(simulatedRelays)
	case 3:
		m := rapid.SampledFrom(s.members).Draw(s.t, "member")
		m.records, m.running = continuation.NewRecords(1000), !m.running
	case 4:
		for _, m := range s.members {
			m.records = continuation.NewRecords(1000)
		}
		s.presence = continuation.NewPresence(s.now) // another leader
	case 5:
		if v := serving(s.servers); len(v) > 0 {
			rapid.SampledFrom(v).Draw(s.t, "server").serving = false
		}
	default:
		s.release(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(s.t, "version"), rapid.SampledFrom([]float64{0.2, 0.5, 1}).Draw(s.t, "share"))
	}
}

func (s *simulation) killRelays(count int) {
	for _, r := range s.relays[:count] {
		r.running = false
		for _, stream := range s.streams {
			if stream.relay == r {
				stream.relay = nil
			}
		}
	}
}

// release replaces a share of the servers by such of another version.
func (s *simulation) release(version string, share float64) {
	old := serving(s.servers)
	for _, v := range old[:int(share*float64(len(old)))] {
		s.addServer(version)
		v.serving = false
	}
}

func playAtRandom(t *rapid.T, choose chooser) {
	s := newSimulation(t, choose)
	s.run(watchInterval)
	for range rapid.IntRange(1, 15).Draw(t, "disturbances") {
		for range rapid.IntRange(0, 4).Draw(t, "streams") {
			s.begin()
		}
		s.run(clock.Millis(rapid.SampledFrom([]int{20, 100, 1000}).Draw(t, "time")))
		s.disturb()
	}
	s.run(2 * clock.Second)
}

// Guards against a client that holds events of two versions, while relays and members stop at any moment
// or all at once, records are late or lost, and versions are released forward, back, in halves and several
// at a time.
func TestNoStreamHoldsTwoVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playAtRandom(t, decide) })
}

// Guards against streams that are refused although servers of their version serve: after all relays were
// killed at once during a release, at least half of them go on.
func TestMostStreamsGoOnAfterAllRelaysWereKilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, decide)
		s.release("v2", 0.5)
		s.run(watchInterval)
		for range 60 {
			s.begin()
			s.run(simulationStep)
		}
		s.killRelays(simulatedRelays)
		s.run(3 * clock.Second)
		if s.takenUp < 12 {
			t.Fatalf("streams taken up: got %d, want 12 or more", s.takenUp)
		}
		if got, want := s.wentOn, s.takenUp/2; got < want {
			t.Errorf("streams that went on: got %d of %d, want at least %d", got, s.takenUp, want)
		}
	})
}

// Shows that the simulation finds clients with events of two versions under naive choosers.
func TestSimulationFindsNaiveChoosers(t *testing.T) {
	for name, choose := range map[string]chooser{"any server": anyServer, "records of the relay alone": ownRecords} {
		joined := false
		rapid.Check(t, func(t *rapid.T) {
			s := newSimulation(t, func(s *simulation, r *simulatedRelay, stream *simulatedStream) []*simulatedServer {
				candidates := choose(s, r, stream)
				joined = joined || lo.SomeBy(candidates, func(v *simulatedServer) bool { return v.origin.Version != stream.versions[0] })
				return nil
			})
			s.release("v2", 0.5)
			s.run(watchInterval)
			for range 20 {
				s.begin()
				s.run(simulationStep)
			}
			s.killRelays(simulatedRelays)
			s.run(2 * clock.Second)
		})
		if !joined {
			t.Errorf("%s: got no joined stream, want some", name)
		}
	}
}
