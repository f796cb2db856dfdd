package relay

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// failureWeight is the weight of the newest outcome in the share of failures.
	failureWeight = 0.25
	// failureHalfLife lets a server that gets little work come back.
	failureHalfLife = 2 * clock.Second
	// latencyWeight is the weight of the newest answer in the mean latency.
	latencyWeight = 0.2
	// latencyHalfLife is the time after which half of a mean latency is forgotten.
	latencyHalfLife = 3 * clock.Second
	// reportHalfLife is the time after which half of a load report is forgotten.
	reportHalfLife = 500 * clock.Millisecond
	// reportFresh is how long the other entries' loads go before the server's own
	// report, which comes only with answers.
	reportFresh = 700 * clock.Millisecond
	// firstBackOff doubles with each connection that fails, up to maxBackOff.
	firstBackOff = 300 * clock.Millisecond
	maxBackOff   = 2 * clock.Second
)

// server is a backend server as this relay sees it.
type server struct {
	record roster.Record
	hash   uint64 // of the name, for a fixed order

	attempts  map[*attempt]struct{} // under way
	pending   int                   // prompt tokens of attempts without a first byte
	decode    float64               // what the output of attempts costs, in prompt tokens
	open      int                   // connections, idle ones included
	idle      []*serverConn         // the newest last
	parts     map[string]clock.Millis
	lastByte  clock.Millis
	confirmed bool // by the present leader
	listedAt  clock.Millis

	others       float64 // requests of other entries at reportedAt
	othersRead   float64 // their prompt tokens that are not read yet
	othersDecode float64 // what their output costs, in prompt tokens
	reportedAt   clock.Millis
	hinted       float64 // load of other callers in an answer at hintedAt
	hintedAt     clock.Millis
	failures     float64 // share of failures at failedAt
	failedAt     clock.Millis
	latency      float64 // mean latency in ms at latencyAt
	latencyAt    clock.Millis
	backOff      clock.Millis
	blocked      clock.Millis // no connection is tried before
	dark         bool         // nothing is heard while attempts wait
	stranger     bool         // another server is at the address
}

func newServer(r roster.Record) *server {
	return &server{
		record: r, hash: xxhash.Sum64String(r.Server), attempts: map[*attempt]struct{}{}, parts: map[string]clock.Millis{},
	}
}

func halfLife(value float64, age, life clock.Millis) float64 {
	return value * math.Exp2(-float64(max(age, 0))/float64(life))
}

// load returns the requests at the server, this entry's and the others'.
func (s *server) load(now clock.Millis) float64 {
	if now-s.reportedAt < reportFresh {
		return float64(len(s.attempts)) + s.others
	}
	return float64(len(s.attempts)) + halfLife(s.hinted, now-s.hintedAt, reportHalfLife)
}

// unreadTokens returns the prompt tokens that the server has still to read.
func (s *server) unreadTokens(now clock.Millis) float64 {
	if now-s.reportedAt < reportFresh {
		return float64(s.pending) + s.othersRead
	}
	return float64(s.pending)
}

// decodeTokens returns what the output of all requests costs, in prompt tokens.
func (s *server) decodeTokens(now clock.Millis) float64 {
	if now-s.reportedAt < reportFresh {
		return s.decode + s.othersDecode
	}
	return s.decode
}

func (s *server) hint(now clock.Millis, l Load) {
	s.hinted, s.hintedAt = max(float64(l.Running+l.Waiting-len(s.attempts)), 0), now
}

func (s *server) failureShare(now clock.Millis) float64 {
	return halfLife(s.failures, now-s.failedAt, failureHalfLife)
}

func (s *server) recordOutcome(now clock.Millis, failed bool) {
	share := s.failureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	} else {
		s.backOff, s.dark = 0, false
	}
	s.failures, s.failedAt = share, now
}

func (s *server) recordLatency(now clock.Millis, took clock.Millis) {
	former := halfLife(s.latency, now-s.latencyAt, latencyHalfLife)
	if s.latency == 0 {
		former = float64(took)
	}
	s.latency, s.latencyAt = former*(1-latencyWeight)+float64(took)*latencyWeight, now
}

func (s *server) meanLatency(now clock.Millis) float64 {
	return halfLife(s.latency, now-s.latencyAt, latencyHalfLife)
}

// unreachable keeps connections away for a while.
func (s *server) unreachable(now clock.Millis) {
	s.backOff = min(max(2*s.backOff, firstBackOff), maxBackOff)
	s.blocked = now + s.backOff
}

// affinity orders servers by a prompt part, in the same way at every entry.
func (s *server) affinity(part string) uint64 {
	return xxhash.Sum64String(part + "\x00" + s.record.Server)
}
