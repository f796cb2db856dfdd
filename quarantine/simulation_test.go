package quarantine_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/quarantine"
)

const (
	// tick is the step of the simulated time.
	tick = 20 * clock.Millisecond
	// dayLength is how long traffic lasts.
	dayLength = 12 * clock.Second
	// requestAttempts is how often an entry sends a request; callers send it once more.
	requestAttempts = 2
	// contactTime is how long entries have to learn that a part is deadly once it has ended three
	// servers.
	contactTime = 3 * clock.Second
)

// simulation plays traffic before servers that end, with several entries that tell each other
// what they know with a delay. It is the naive world that judgements are compared with: it
// knows which requests are deadly.
type simulation struct {
	random    *rand.Rand
	now       clock.Millis
	entries   []*quarantine.Quarantine
	inbox     [][]delayedReport // by entry
	known     [][]gossip.Position
	servers   []*simServer
	runs      int64
	running   []*simRequest
	requests  int
	templates int                        // number of parts that many requests share
	deadly    func(r *simRequest) string // why the request ends its server; "" if it does not
	plain     bool                       // answers begin only when they are whole
	// sharedParts and ownParts are the numbers of further parts that stand before the session part in each
	// prompt: parts that all requests share, and parts that no other request has.
	sharedParts, ownParts int
	refused               []*simRequest             // requests that are not deadly and were refused as certain
	ends                  map[string][]clock.Millis // of servers that deadly requests have ended, by cause
	// lateSends counts deadly requests that were sent later than contactTime after the third end of
	// the same cause, by cause.
	lateSends map[string]int
	held      int // requests that had to come back later
}

type delayedReport struct {
	at     clock.Millis
	report quarantine.Report
}

// simServer is one server; downUntil is when it serves again after its end.
type simServer struct {
	run       quarantine.ServerRun
	downUntil clock.Millis
	endsAt    clock.Millis // 0 if no end is planned
}

// simRequest is a request that is sent to one server at a time.
type simRequest struct {
	subject   quarantine.Subject
	entry     int
	server    *simServer
	run       quarantine.ServerRun
	sentAt    clock.Millis
	beginsAt  clock.Millis
	endsAt    clock.Millis
	attempts  int
	repeated  bool
	survived  bool
	probe     bool
	tried     quarantine.Key
	callsLeft int // how often the caller sends the request again after it was lost
}

func newSimulation(seed uint64, serverCount, entryCount int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), deadly: func(*simRequest) string { return "" }, ends: map[string][]clock.Millis{}, lateSends: map[string]int{}}
	for i := range serverCount {
		s.servers = append(s.servers, &simServer{run: run(i)})
	}
	s.runs = int64(serverCount)
	for i := range entryCount {
		q := newQuarantine(fmt.Sprintf("entry-%d", i))
		q.SetServerCounts(map[string]int{service: serverCount})
		s.entries = append(s.entries, q)
		s.known = append(s.known, make([]gossip.Position, entryCount))
	}
	s.inbox = make([][]delayedReport, entryCount)
	return s
}

// crash ends a share of the servers from a time on, within the given spread.
func (s *simulation) crash(at clock.Millis, share float64, spread clock.Millis) {
	for _, v := range s.servers {
		if s.random.Float64() < share {
			v.endsAt = at + clock.Millis(s.random.Int64N(int64(spread)+1))
		}
	}
}

// play runs the day. The function at is called at each step; it may send requests and end
// servers.
func (s *simulation) play(at func(now clock.Millis)) {
	for s.now = 0; s.now < dayLength; s.now += tick {
		at(s.now)
		for _, v := range s.servers {
			if v.endsAt > 0 && v.endsAt <= s.now {
				v.endsAt = 0
				s.end(v)
			}
		}
		s.progress()
		s.exchange()
	}
}

// up returns a server that serves, other than the excluded one, or nil.
func (s *simulation) up(excluded *simServer) *simServer {
	var candidates []*simServer
	for _, v := range s.servers {
		if v.downUntil <= s.now && v != excluded {
			candidates = append(candidates, v)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.random.IntN(len(candidates))]
}

// send has a request checked at an entry and sent to a server.
func (s *simulation) send(r *simRequest) {
	r.entry = s.random.IntN(len(s.entries))
	v := s.entries[r.entry].Check(s.now, r.subject, len(s.entries))
	switch {
	case v.Refused:
		if s.deadly(r) == "" {
			s.refused = append(s.refused, r)
		}
		return
	case v.Pending:
		s.held++
		return
	}
	r.probe, r.tried = v.Probe, quarantine.Key{}
	if v.Trial {
		r.tried = v.Part
		s.entries[r.entry].BeginTrial(s.now, r.tried)
	}
	s.attempt(r, nil)
}

func (s *simulation) attempt(r *simRequest, excluded *simServer) {
	r.server = s.up(excluded)
	if r.server == nil {
		return
	}
	if cause := s.deadly(r); cause != "" && len(s.ends[cause]) >= 3 && s.now > s.ends[cause][2]+contactTime {
		s.lateSends[cause]++
	}
	r.attempts++
	r.run, r.sentAt, r.survived = r.server.run, s.now, false
	r.beginsAt = s.now + clock.Millis(30+s.random.Int64N(500))
	r.endsAt = r.beginsAt + clock.Millis(20+s.random.Int64N(2500))
	s.running = append(s.running, r)
}

// end ends a server. The requests on it are lost; some are sent again.
func (s *simulation) end(v *simServer) {
	ended := v.run
	s.runs++
	v.run = quarantine.ServerRun{Server: v.run.Server, StartedAt: s.runs}
	v.downUntil = s.now + 3*clock.Second + clock.Millis(s.random.Int64N(1500))
	var lost []*simRequest
	rest := s.running[:0]
	for _, r := range s.running {
		if r.run == ended {
			lost = append(lost, r)
			continue
		}
		rest = append(rest, r)
	}
	s.running = rest
	// Entries that lost no request there learn of the end when they next try to connect.
	s.entries[s.random.IntN(len(s.entries))].RecordServerEnd(s.now, service, ended)
	for _, r := range lost {
		loss := quarantine.Loss{At: s.now, Sent: r.sentAt, Repeated: r.repeated, Tried: r.tried}
		if r.beginsAt <= s.now && !s.plain {
			loss.Begun, loss.Answering = true, s.now-r.beginsAt
		}
		s.entries[r.entry].RecordEnd(r.subject, ended, loss)
	}
	for _, r := range lost {
		r.repeated = true
		if r.attempts < requestAttempts && !r.probe && r.tried == (quarantine.Key{}) && s.entries[r.entry].MayRepeat(s.now, r.subject) {
			s.attempt(r, v)
		} else if r.callsLeft > 0 {
			r.callsLeft--
			r.attempts, r.repeated = 0, false
			s.send(r)
		}
	}
}

// progress has deadly requests end their servers, and records survivals.
func (s *simulation) progress() {
	ends := map[*simServer]string{} // causes
	var ended []*simServer
	rest := s.running[:0]
	for _, r := range s.running {
		switch {
		case s.deadly(r) != "" && s.now >= r.beginsAt+100:
			if _, ok := ends[r.server]; !ok {
				ended = append(ended, r.server)
			}
			ends[r.server] = s.deadly(r)
			rest = append(rest, r)
			continue
		case s.deadly(r) != "":
			rest = append(rest, r)
			continue
		case !r.survived && (s.now >= r.endsAt || s.now-r.beginsAt >= quarantine.SurvivalTime):
			r.survived = true
			s.entries[r.entry].RecordSurvival(s.now, r.subject, r.probe)
		}
		if s.now < r.endsAt {
			rest = append(rest, r)
		}
	}
	s.running = rest
	for _, v := range ended {
		if v.downUntil <= s.now {
			s.ends[ends[v]] = append(s.ends[ends[v]], s.now)
			s.end(v)
		}
	}
}

// exchange has each entry send its news to all others every 240 ms. They arrive 10 to 160
// ms later.
func (s *simulation) exchange() {
	for i, q := range s.entries {
		var later []delayedReport
		for _, d := range s.inbox[i] {
			if d.at > s.now {
				later = append(later, d)
				continue
			}
			q.Merge(s.now, d.report)
		}
		s.inbox[i] = later
	}
	if s.now%(240*clock.Millisecond) != 0 {
		return
	}
	for i, q := range s.entries {
		for j := range s.entries {
			if i == j {
				continue
			}
			report, position := q.Report(s.now, s.known[i][j])
			s.known[i][j] = position
			if !report.IsEmpty() {
				s.inbox[j] = append(s.inbox[j], delayedReport{at: s.now + 10 + clock.Millis(s.random.Int64N(150)), report: report})
			}
		}
	}
}

// newRequest returns a sound request. All have their first part in common, some the second one, and
// those of a session the third one.
func (s *simulation) newRequest() *simRequest {
	return s.newRequestOf(fmt.Sprint("session-", s.random.IntN(40)))
}

// newRequestOf returns a request with a session part and a body of its own.
func (s *simulation) newRequestOf(session string) *simRequest {
	s.requests++
	parts := []string{"system", s.template()}
	for i := range s.sharedParts {
		parts = append(parts, fmt.Sprint("shared-", i))
	}
	for i := range s.ownParts {
		parts = append(parts, fmt.Sprintf("own-%d-%d", s.requests, i))
	}
	return &simRequest{subject: withDigest(subject(append(parts, session)...), fmt.Sprintf("%08x", s.requests)), callsLeft: 1}
}

// sessionPart returns the session part of a request, which is the one before the last.
func (r *simRequest) sessionPart() string { return r.subject.Parts[len(r.subject.Parts)-2] }

// template returns one of the parts that many requests share.
func (s *simulation) template() string {
	if s.templates == 0 {
		return "template"
	}
	return fmt.Sprint("template-", s.random.IntN(s.templates))
}

// withDigest returns the subject of a request with the given digest.
func withDigest(s quarantine.Subject, digest string) quarantine.Subject {
	s.Digest = func() string { return digest }
	return s
}
