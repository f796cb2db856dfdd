package relay

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// failureWeight is the weight of the newest outcome in the moving average of
	// failures.
	failureWeight = 0.25
	// failureHalfLife is the time after which the share of failures is halved, so that
	// a server that gets few requests because of it is tried again.
	failureHalfLife = 2 * clock.Second
	// latencyWeight is the weight of the newest response in the mean latency.
	latencyWeight = 0.2
	// latencyHalfLife is the time after which a mean latency without new samples is
	// halved.
	latencyHalfLife = 3 * clock.Second
	// reportHalfLife is the time after which a server's load report is halved.
	reportHalfLife = 500 * clock.Millisecond
	// othersMaxAge is how long the loads reported by the other entries are preferred to
	// the server's own report, which arrives only with responses.
	othersMaxAge = 700 * clock.Millisecond
	// minBackOff is the pause after a first failed connection. It doubles with each
	// further failure, up to maxBackOff.
	minBackOff = 300 * clock.Millisecond
	maxBackOff = 2 * clock.Second
)

// server is this relay's view of a backend server. The lock of fleet guards it.
type server struct {
	record   roster.Record
	nameHash uint64 // hash of the name; sorts servers alike at every entry

	attempts      map[*attempt]struct{}   // running attempts
	pendingTokens int                     // prompt tokens of attempts that wait for their first byte
	decodeCost    float64                 // estimated output cost of attempts, in prompt tokens
	openConns     int                     // number of connections, idle ones included
	idle          []*serverConn           // idle connections, newest last
	partSentAt    map[string]clock.Millis // when each prompt part was last sent, by ID
	lastByteAt    clock.Millis            // when the newest bytes were received
	confirmed     bool                    // the current leader has listed the server
	listedAt      clock.Millis            // when a leader last listed the server

	othersRequests     float64 // running requests of other entries, as reported at othersAt
	othersUnreadTokens float64 // prompt tokens of these requests that are not yet read
	othersDecodeCost   float64 // estimated output cost of these requests, in prompt tokens
	othersReportedAt   clock.Millis
	reportedLoad       float64 // requests of other entries, computed from a response at reportedLoadAt
	reportedLoadAt     clock.Millis
	failureRate        float64 // moving average of failed attempts, 0 to 1, at failureRateAt
	failureRateAt      clock.Millis
	latency            float64 // mean latency in ms at latencyAt
	latencyAt          clock.Millis
	backOff            clock.Millis // current pause after a failed connection
	blockedUntil       clock.Millis // no connection is opened before this time
	unresponsive       bool         // no bytes are received while attempts wait
	wrongServer        bool         // a server with another name answers at the address
}

func newServer(r roster.Record) *server {
	return &server{
		record: r, nameHash: xxhash.Sum64String(r.Server), attempts: map[*attempt]struct{}{}, partSentAt: map[string]clock.Millis{},
	}
}

// decay returns value after exponential decay over the given age.
func decay(value float64, age, halfLife clock.Millis) float64 {
	return value * math.Exp2(-float64(max(age, 0))/float64(halfLife))
}

// load returns the number of requests at the server, those of other entries included.
func (s *server) load(now clock.Millis) float64 {
	if now-s.othersReportedAt < othersMaxAge {
		return float64(len(s.attempts)) + s.othersRequests
	}
	return float64(len(s.attempts)) + decay(s.reportedLoad, now-s.reportedLoadAt, reportHalfLife)
}

// unreadTokens returns the prompt tokens that the server has yet to read.
func (s *server) unreadTokens(now clock.Millis) float64 {
	if now-s.othersReportedAt < othersMaxAge {
		return float64(s.pendingTokens) + s.othersUnreadTokens
	}
	return float64(s.pendingTokens)
}

// totalDecodeCost returns the estimated output cost of all requests, in prompt tokens.
func (s *server) totalDecodeCost(now clock.Millis) float64 {
	if now-s.othersReportedAt < othersMaxAge {
		return s.decodeCost + s.othersDecodeCost
	}
	return s.decodeCost
}

// setReportedLoad stores the load that the server has reported, without the requests
// of this entry.
func (s *server) setReportedLoad(now clock.Millis, l Load) {
	s.reportedLoad, s.reportedLoadAt = max(float64(l.Running+l.Waiting-len(s.attempts)), 0), now
}

// failureShare returns the share of recent attempts that failed, from 0 to 1.
func (s *server) failureShare(now clock.Millis) float64 {
	return decay(s.failureRate, now-s.failureRateAt, failureHalfLife)
}

// recordOutcome adds the outcome of an attempt to the share of failures. A success
// also ends the back-off.
func (s *server) recordOutcome(now clock.Millis, failed bool) {
	share := s.failureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	} else {
		s.backOff, s.unresponsive = 0, false
	}
	s.failureRate, s.failureRateAt = share, now
}

func (s *server) recordLatency(now clock.Millis, sample clock.Millis) {
	previous := decay(s.latency, now-s.latencyAt, latencyHalfLife)
	if s.latency == 0 {
		previous = float64(sample)
	}
	s.latency, s.latencyAt = previous*(1-latencyWeight)+float64(sample)*latencyWeight, now
}

// meanLatency returns the mean latency in ms, decayed since the newest response, or 0
// if none is known.
func (s *server) meanLatency(now clock.Millis) float64 {
	return decay(s.latency, now-s.latencyAt, latencyHalfLife)
}

// startBackOff blocks the server for new requests after a failed connection. The time
// doubles with each failure, up to maxBackOff.
func (s *server) startBackOff(now clock.Millis) {
	s.backOff = min(max(2*s.backOff, minBackOff), maxBackOff)
	s.blockedUntil = now + s.backOff
}

// affinityRank returns the server's rank for a prompt part; higher is preferred. It
// is the same at every entry (rendezvous hashing).
func (s *server) affinityRank(part string) uint64 {
	return xxhash.Sum64String(part + "\x00" + s.record.Server)
}
