package quarantine_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/quarantine"
)

// digestSubject returns a request without parts.
func digestSubject(digest string) quarantine.Subject {
	return quarantine.Subject{Service: service, Digest: func() string { return digest }}
}

// fleetInCrash is many entries that exchange what they know with a few members, as they do in watches.
type fleetInCrash struct {
	now       clock.Millis
	entries   []*quarantine.Quarantine
	members   []*quarantine.Quarantine // the first one is the leader, which the others watch
	exchanges []gossip.Exchange[quarantine.Report]
	watches   []gossip.Exchange[quarantine.Report] // of the leader, by the other members
	bytes     int                                  // of all reports
	largest   int                                  // bytes of the largest report
}

func newFleetInCrash(entryCount, memberCount, serverCount int) *fleetInCrash {
	f := &fleetInCrash{now: clock.Minute}
	add := func(kind string, i int) *quarantine.Quarantine {
		q := quarantine.New(quarantine.Options{Entry: fmt.Sprintf("%s-%d", kind, i), TellsOwn: kind == "entry"})
		q.SetServerCounts(map[string]int{service: serverCount})
		return q
	}
	for i := range memberCount {
		f.members = append(f.members, add("member", i))
		f.watches = append(f.watches, gossip.NewExchange[quarantine.Report](f.members[i]))
	}
	for i := range entryCount {
		f.entries = append(f.entries, add("entry", i))
		f.exchanges = append(f.exchanges, gossip.NewExchange[quarantine.Report](f.entries[i]))
	}
	return f
}

// watch plays the watches of some time. Each entry asks a member that depends on shift.
func (f *fleetInCrash) watch(t *testing.T, forTime clock.Millis, shift int) {
	t.Helper()
	for end := f.now + forTime; f.now < end; {
		f.now += 200 * clock.Millisecond
		for i := range f.exchanges {
			f.exchange(t, &f.exchanges[i], f.members[(i+shift)%len(f.members)])
		}
		for i := 1; i < len(f.members); i++ {
			f.exchange(t, &f.watches[i], f.members[0])
		}
	}
}

func (f *fleetInCrash) exchange(t *testing.T, x *gossip.Exchange[quarantine.Report], member *quarantine.Quarantine) {
	t.Helper()
	report, known := x.Next(f.now)
	member.Merge(f.now, f.count(t, report))
	answer, position := member.Report(f.now, known)
	x.Apply(f.now, f.count(t, answer), position)
}

// count counts the bytes of a report and returns it as it arrives.
func (f *fleetInCrash) count(t *testing.T, report quarantine.Report) quarantine.Report {
	t.Helper()
	wire := quarantine.ToWire(report)
	data, err := json.Marshal(wire)
	if err != nil {
		t.Fatal(err)
	}
	if wire != nil {
		f.bytes += len(data)
		f.largest = max(f.largest, len(data))
	}
	return wire.Report()
}

// crash ends a third of the servers. At each one, every entry loses its own requests.
func (f *fleetInCrash) crash(serverCount, requestsEach int) {
	for s := 0; s < serverCount; s += 3 {
		for i, e := range f.entries {
			for r := range requestsEach {
				subject := digestSubject(fmt.Sprintf("%032d", (s*len(f.entries)+i)*requestsEach+r))
				subject.Parts = []string{fmt.Sprintf("shared-%d", r%3), fmt.Sprintf("session-%d-%d-%d", s, i, r), "own"}
				e.RecordEnd(subject, run(s), quarantine.Loss{At: f.now - clock.Millis(s), Sent: f.now - clock.Second, Begun: true})
			}
		}
	}
}

// Guards against the control members and the lease of all entries going down under what entries tell of
// requests after many servers have ended at once, the more so when entries turn to other
// members: the link and the processor of a member serve many entries, several times a second each.
func TestReportsAreSmallAfterManyEnds(t *testing.T) {
	const entries, members, servers = 40, 5, 200
	const maxReportBytes = 64 << 10
	const maxBytesPerSecond = 256 << 10 // of one entry, both ways
	f := newFleetInCrash(entries, members, servers)
	f.crash(servers, 2)
	for second := range 20 {
		f.bytes = 0
		f.watch(t, clock.Second, second/4)
		if got := f.bytes / entries; got > maxBytesPerSecond {
			t.Errorf("second %d: reports of and to an entry: got %d bytes, want at most %d", second, got, maxBytesPerSecond)
		}
	}
	if f.largest > maxReportBytes {
		t.Errorf("largest report: got %d bytes, want at most %d", f.largest, maxReportBytes)
	}
	f.bytes = 0
	f.watch(t, clock.Second, 4)
	if f.bytes > 0 {
		t.Errorf("reports after all is known: got %d bytes, want none", f.bytes)
	}
}

// Guards against a request that ends servers while others wait behind the many that lost one server
// each: two entries that saw one end each must not need longer to find it.
func TestSuspectsAreToldFirst(t *testing.T) {
	const entries, members, servers = 40, 5, 200
	f := newFleetInCrash(entries, members, servers)
	f.crash(servers, 2)
	f.watch(t, clock.Second, 0)
	for i := range 2 {
		f.entries[i].RecordEnd(digestSubject("deadly"), run(1000+i), quarantine.Loss{At: f.now, Sent: f.now - clock.Second})
	}
	f.watch(t, contactTime, 0)
	for i, e := range f.entries {
		if e.MayRepeat(f.now, digestSubject("deadly")) {
			t.Errorf("entry %d: the request with two ends is not suspect after %d ms", i, contactTime)
		}
	}
}

// Guards against judging all parts for each request while records of many others arrive, and against a
// judgement on the parts of a request that is late because of that.
func TestJudgementsDoNotGrowWithRequests(t *testing.T) {
	const perSecond, servers, seconds, maxPerSecond = 1000, 200, 5, 20
	q := newQuarantine("a")
	q.SetServerCounts(map[string]int{service: servers})
	for i := range 600 {
		for end := range 3 {
			at := clock.Millis(i)
			q.RecordEnd(digestSubject(fmt.Sprint("known ", i)), run((i+end*7)%servers), quarantine.Loss{At: at, Sent: at, Begun: true})
		}
	}
	other := newQuarantine("b")
	position := gossip.Position{}
	now := 2 * clock.Second
	before := q.Judgements()
	for i := range seconds * perSecond {
		now += clock.Second / perSecond
		other.RecordEnd(digestSubject(fmt.Sprint("new ", i)), run(servers+i%3), quarantine.Loss{At: now, Sent: now, Begun: true})
		report, next := other.Report(now, position)
		position = next
		q.Merge(now, report)
		q.Check(now, digestSubject(fmt.Sprint("sound ", i)), 40)
	}
	if got, want := q.Judgements()-before, uint64(seconds*maxPerSecond+1); got > want {
		t.Errorf("judgements in %d s with %d requests a second: got %d, want at most %d", seconds, perSecond, got, want)
	}
	for end := range 2 {
		if !q.MayRepeat(now, digestSubject("deadly")) {
			t.Fatalf("a request is suspect after %d ends", end)
		}
		q.RecordEnd(digestSubject("deadly"), run(1000+end), quarantine.Loss{At: now, Sent: now})
	}
	if q.MayRepeat(now, digestSubject("deadly")) {
		t.Error("a request is not suspect in the moment of its second end")
	}
}

// Guards against requests that wait for silent servers each time they come, and against connections that
// each entry opens to all of them at once, while a third of the servers is silent and callers repeat what
// they gave up there.
func TestChecksOfSilentServersAreFew(t *testing.T) {
	const silent, seconds, perSecond = 67, 10, 200
	const maxRunning, maxChecks, maxWaiting = 16, 16 * seconds, silent
	c, manual := clock.NewManual(0)
	checks := quarantine.NewEndChecks(c, func(quarantine.ServerRun, int) {})
	var made atomic.Int32
	var givenUp atomic.Pointer[chan struct{}] // closed when opening connections is given up
	check := func() quarantine.Listening {
		made.Add(1)
		<-*givenUp.Load()
		return quarantine.ListeningUnknown
	}
	for s := range silent {
		checks.RequestAbandoned(run(s), "a", fmt.Sprint(s), check, func() {})
	}
	waited := 0
	for range seconds {
		opening := make(chan struct{})
		givenUp.Store(&opening)
		for i := range perSecond {
			if len(checks.CheckAbandoned(fmt.Sprint(i%silent))) > 0 {
				waited++
			}
			manual.Advance(clock.Second / perSecond)
		}
		if got := checks.Running(); got > maxRunning {
			t.Errorf("checks at a time: got %d, want at most %d", got, maxRunning)
		}
		close(opening)
		for checks.Running() > 0 {
			runtime.Gosched()
		}
	}
	if got := int(made.Load()); got > maxChecks {
		t.Errorf("checks: got %d, want at most %d", got, maxChecks)
	}
	if waited > maxWaiting {
		t.Errorf("requests of %d that wait for a silent server: got %d, want at most one a server, %d", seconds*perSecond, waited, maxWaiting)
	}
}

// Guards against records that a former build never learns, because it sends a position back without the part
// of it that stands for urgent records, and against reports to it that never end.
func TestFormerBuildLearnsAll(t *testing.T) {
	other, q := newQuarantine("other"), newQuarantine("a")
	for i := range 300 {
		for end := range 1 + i%3 {
			other.RecordEnd(digestSubject(fmt.Sprint(i)), run(i+end), quarantine.Loss{At: clock.Second, Begun: true})
		}
	}
	q.Merge(clock.Second, all(other, clock.Second))
	known := map[quarantine.Key]int{}
	position, reports := gossip.Position{}, 0
	for ; reports < 100; reports++ {
		report, next := q.Report(clock.Second, position)
		if report.IsEmpty() {
			break
		}
		for _, e := range report.Ends {
			known[e.Key]++
		}
		position = gossip.Position{Instance: next.Instance, Number: next.Number}
	}
	if got, want := len(known), 300; got != want {
		t.Errorf("requests that a former build has been told of in %d reports: got %d, want %d", reports, got, want)
	}
	if _, end := allSince(q, clock.Second, gossip.Position{}); position.Number != end.Number {
		t.Errorf("position of a former build after %d reports: got %d, want %d", reports, position.Number, end.Number)
	}
}

// Guards against a member that is told by each of its entries what it has told them, and against ends
// that nobody tells because the part was known.
func TestEntriesTellWhatTheyHaveSeen(t *testing.T) {
	member, entry := newQuarantine("member"), quarantine.New(quarantine.Options{Entry: "entry", TellsOwn: true})
	for i := range 3 {
		member.RecordEnd(digestSubject("deadly"), run(i), quarantine.Loss{At: clock.Second, Begun: true})
	}
	entry.Merge(clock.Second, all(member, clock.Second))
	if got := all(entry, clock.Second); !got.IsEmpty() {
		t.Errorf("records told back: got %+v, want none", got)
	}
	entry.RecordEnd(digestSubject("deadly"), run(3), quarantine.Loss{At: 2 * clock.Second, Begun: true})
	member.Merge(2*clock.Second, all(entry, 2*clock.Second))
	if got, want := len(all(member, 2*clock.Second).Ends), 4; got != want {
		t.Errorf("ends that the member knows: got %d, want %d", got, want)
	}
}
