package relay

import (
	"math"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/memory"
	"github.com/galenaslip/galenaslip/promptcache"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/roster"
	"github.com/galenaslip/galenaslip/slowstart"
	"github.com/galenaslip/galenaslip/speed"
	"github.com/galenaslip/galenaslip/withdrawal"
)

const (
	// failureWeight is the weight of the newest outcome in the moving average of
	// failures.
	failureWeight = 0.25
	// failureHalfLife is the time after which the recorded share of failures has decayed
	// to a half, so that a server that gets few requests because of its failures is
	// tried again.
	failureHalfLife = 2 * clock.Second
	// latencyWeight is the weight of the newest response in the mean latency.
	latencyWeight = 0.2
	// latencyHalfLife is the time after which a mean latency without new samples has
	// decayed to a half.
	latencyHalfLife = 3 * clock.Second
	// reportHalfLife is the time after which the load that a server reported has decayed
	// to a half, because the report is out of date by then.
	reportHalfLife = 500 * clock.Millisecond
	// otherEntriesReportMaxAge is how long the loads that the other entries have
	// reported through control are used. After it, the load that the server itself
	// reported in its newest response is used instead.
	otherEntriesReportMaxAge = 700 * clock.Millisecond
	// minBackOff is the pause after a first failed connection. It doubles with each
	// further failure, up to maxBackOff.
	minBackOff = 300 * clock.Millisecond
	maxBackOff = 2 * clock.Second
)

// server is this relay's view of a backend server. The lock of fleet guards it.
type server struct {
	record   roster.Record
	nameHash uint64 // hash of the name; gives all entries the same order of servers

	attempts          map[*attempt]struct{} // running attempts
	unprocessedTokens int                   // uncached prompt tokens of attempts that wait for their first byte
	decodeCost        float64               // estimated work of generating the output of attempts, in equivalent prompt tokens
	openConns         int                   // number of connections, idle ones included
	idle              []*serverConn         // idle connections, newest last
	promptCache       promptcache.Cache     // of this run of the server
	lastByteAt        clock.Millis          // when the relay last received bytes from the server
	listedByLeader    bool                  // an update from the current control leader has contained the server
	unlistedAt        clock.Millis          // when the leader changed that had listed the server; valid while listedByLeader is false
	listedAt          clock.Millis          // when an update from a control leader last contained the server

	otherEntriesRequests          float64 // running requests of other entries, as reported at otherEntriesReportedAt
	otherEntriesUnprocessedTokens float64 // prompt tokens of these requests that the server has not processed yet
	otherEntriesDecodeCost        float64 // estimated work of generating their output, in equivalent prompt tokens
	otherEntriesProven            int     // requests at a time that it answers the other entries well since it has started or recovered
	otherEntriesReportedAt        clock.Millis
	reportedLoad                  float64 // requests of other entries, computed from the server's load report of reportedLoadAt
	reportedLoadAt                clock.Millis
	speed                         speed.Estimate // of this run
	recordedFailureShare          float64        // moving average of the share of failed attempts, 0 to 1, at failureShareAt
	failureShareAt                clock.Millis
	latency                       float64 // mean latency in ms at latencyAt
	latencyAt                     clock.Millis
	backOff                       clock.Millis     // current pause after a failed connection
	blockedUntil                  clock.Millis     // no connection is opened before this time
	unresponsive                  bool             // the server sends no bytes although attempts wait for it
	tryAt                         clock.Millis     // when an unresponsive server may get one request, to find out whether it has recovered
	wrongServer                   bool             // a server with another name answers at the address
	sendsIDs                      atomic.Bool      // a response has carried the ID of its request; not guarded by the lock
	window                        slowstart.Window // of a server that has just started or recovered
	recentStreams                 []recentStream   // streams that have begun here within announcementDelay, oldest first
	answers                       memory.Source
	withdrawal                    withdrawal.State
	formerWithdrawal              withdrawal.State // that of the run before, in case the record of the present run was wrong
}

func newServer(r roster.Record, c promptcache.Cache) *server {
	return &server{
		withdrawal: withdrawal.State{}.WithRun(uint64(r.StartedAt)),
		record:     r, nameHash: xxhash.Sum64String(r.Server), attempts: map[*attempt]struct{}{}, promptCache: c,
	}
}

// run identifies the server until it starts again.
func (s *server) run() quarantine.ServerRun {
	return quarantine.ServerRun{Server: s.record.Server, StartedAt: s.record.StartedAt}
}

// isSilent reports whether the server has sent neither heartbeats nor, for silentGrace, any bytes.
func (s *server) isSilent(now clock.Millis) bool {
	return s.record.Silent && now-s.lastByteAt > silentGrace
}

// decay returns value after exponential decay over the given age.
func decay(value float64, age, halfLife clock.Millis) float64 {
	return value * math.Exp2(-float64(max(age, 0))/float64(halfLife))
}

// load returns the number of requests at the server, those of other entries included.
func (s *server) load(now clock.Millis) float64 {
	if now-s.otherEntriesReportedAt < otherEntriesReportMaxAge {
		return float64(len(s.attempts)) + s.otherEntriesRequests
	}
	return float64(len(s.attempts)) + decay(s.reportedLoad, now-s.reportedLoadAt, reportHalfLife)
}

// totalUnprocessedTokens returns the number of prompt tokens that the server has not
// processed yet, those of other entries included.
func (s *server) totalUnprocessedTokens(now clock.Millis) float64 {
	if now-s.otherEntriesReportedAt < otherEntriesReportMaxAge {
		return float64(s.unprocessedTokens) + s.otherEntriesUnprocessedTokens
	}
	return float64(s.unprocessedTokens)
}

// totalDecodeCost returns the estimated work of generating the output of all requests,
// in equivalent prompt tokens.
func (s *server) totalDecodeCost(now clock.Millis) float64 {
	if now-s.otherEntriesReportedAt < otherEntriesReportMaxAge {
		return s.decodeCost + s.otherEntriesDecodeCost
	}
	return s.decodeCost
}

// setReportedLoad stores the load that the server has reported, less the requests of
// this entry.
func (s *server) setReportedLoad(now clock.Millis, l Load) {
	s.reportedLoad, s.reportedLoadAt = max(float64(l.Running+l.Waiting-len(s.attempts)), 0), now
}

// failureShare returns the share of recent attempts that failed, from 0 to 1.
func (s *server) failureShare(now clock.Millis) float64 {
	return decay(s.recordedFailureShare, now-s.failureShareAt, failureHalfLife)
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
	s.recordedFailureShare, s.failureShareAt = share, now
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
// doubles with each failure, up to maxBackOff. After more than one the server counts as recovering: a
// single one may be due to a kept connection that the server has closed. The caller holds the lock.
func (f *fleet) startBackOff(now clock.Millis, s *server) {
	s.backOff = min(max(2*s.backOff, minBackOff), maxBackOff)
	s.blockedUntil = now + s.backOff
	if s.backOff > minBackOff {
		f.beginSlowStart(s.blockedUntil, s)
	}
}
