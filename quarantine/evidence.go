package quarantine

import (
	"cmp"
	"math"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// roundTime is the time within which the ends of servers under a part count once. Servers
	// that end together have one cause in common, and the part may be another thing that they
	// have in common.
	roundTime = 500 * clock.Millisecond
	// togetherTime is the time before and after an end within which ends of other servers are
	// evidence for a cause that has nothing to do with the part.
	togetherTime = 500 * clock.Millisecond
	// rateTime is the time before an end in which other ends show how often servers end by
	// chance.
	rateTime = 10 * clock.Second
	// exposureTime is how long a request is at a server before its answer counts as a survival.
	exposureTime = 1 * clock.Second
	// chanceShare is the share of the servers of a service that may end by chance at the time of
	// an end under a part without taking weight from it.
	chanceShare = 0.02
	// scoreTolerance makes up for rounding when scores are compared.
	scoreTolerance = 1e-9
)

// weight returns how much a round of ends counts, from 0 to 1, when the given share of the
// servers of the service ended at the same time without the part. It is the logarithm of the
// chance that a server ends whatever runs on it, relative to that of chanceShare, so that the
// weights of independent rounds add up.
func weight(share float64) float64 {
	if share <= chanceShare {
		return 1
	}
	return max(math.Log(share)/math.Log(chanceShare), 0)
}

// suspectEnd is the end of a server that counts against a part.
type suspectEnd struct {
	endRecord
	run ServerRun
}

// sortEnds orders ends by time. Of those in the same millisecond, the request that was sent first
// comes first: a request can lose two servers one after the other in that time.
func sortEnds(ends []suspectEnd) {
	slices.SortFunc(ends, func(a, b suspectEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sentAt, b.sentAt), a.run.compare(b.run))
	})
}

// round is a group of ends that come together.
type round struct {
	at   clock.Millis // of the first end
	ends int
	// repeated is set if a request lost one server and, sent again after that, another one. So
	// two of the ends came one after the other.
	repeated bool
	trial    bool         // the end is that of a trial, which is a round of its own
	lastAt   clock.Millis // of the newest end
}

// count returns how many ends of the round came one after another.
func (r round) count() float64 {
	if r.repeated && r.ends > 1 {
		return 2
	}
	return 1
}

// roundsOf groups ends, which are in the order of time.
func roundsOf(kind Kind, ends []suspectEnd) []round {
	var rounds []round
	for _, e := range ends {
		if len(rounds) == 0 || e.beginsRound(kind, rounds[len(rounds)-1]) {
			rounds = append(rounds, round{at: e.at, trial: e.trial})
		}
		r := &rounds[len(rounds)-1]
		r.ends++
		r.lastAt = e.at
		r.repeated = r.repeated || e.repeated && kind == KindPart
	}
	return rounds
}

// beginsRound reports whether an end does not belong to the same round as those before. A
// request as a whole that was sent after the last end came one after the other in any case.
func (e suspectEnd) beginsRound(kind Kind, last round) bool {
	return e.trial || last.trial || e.at-last.at >= roundTime || kind == KindRequest && e.sentAt >= last.lastAt
}

// areOfOneRequest reports whether all ends are those of the same request.
func areOfOneRequest(ends []suspectEnd) bool {
	for _, e := range ends {
		if e.several || e.request == "" || e.request != ends[0].request {
			return false
		}
	}
	return true
}

// timeline holds when the servers of a service ended, in the order of time.
type timeline []clock.Millis

// between returns the number of ends from one time to another.
func (l timeline) between(first, last clock.Millis) int {
	from, _ := slices.BinarySearch(l, first)
	to, _ := slices.BinarySearch(l, last+1)
	return to - from
}

// chance returns the share of the servers of a service that end by chance while a request begins,
// by the other ends at the time of an end and by those in the time before.
func chance(at clock.Millis, all, own timeline, serverCount int) float64 {
	others := func(first, last clock.Millis) float64 {
		return float64(max(all.between(first, last)-own.between(first, last), 0))
	}
	together := others(at-togetherTime, at+togetherTime)
	before := others(at-rateTime, at) * float64(exposureTime) / float64(rateTime)
	ended := max(together, before)
	return ended / max(float64(serverCount), ended+1)
}

// evidence is what speaks against a part.
type evidence struct {
	ends      float64      // for the suspicion: of a part, ends one after another; of a request, all ends
	score     float64      // for the quarantine: ends one after another, each weighed from 0 to 1 by its chance
	certain   bool         // the score reached the required one, and a trial has ended its server
	certainAt clock.Millis // since when
}

// weigh returns the evidence of ends under a part, which are in the order of time. The timeline
// all has the ends of all servers of the service; own has those of the servers that ended under
// the part. Ends of one request alone make its parts suspect, but they are certain evidence
// against the request only.
func weigh(kind Kind, ends []suspectEnd, all, own timeline, serverCount int, required float64) evidence {
	var result evidence
	if kind == KindRequest {
		result.ends = float64(len(ends))
	}
	attributable := kind == KindRequest || !areOfOneRequest(ends)
	tried := false
	for _, r := range roundsOf(kind, ends) {
		if kind == KindPart {
			result.ends += r.count()
		}
		result.score += weight(chance(r.at, all, own, serverCount)) * r.count()
		tried = tried || r.trial
		if !result.certain && attributable && tried && result.score >= required-scoreTolerance {
			result.certain, result.certainAt = true, r.at
		}
	}
	return result
}
