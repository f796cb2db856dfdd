package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

const (
	// MinRate is the lowest rate that a limit allows, in requests a second. A server that takes
	// nothing, or nearly so, gets a request from time to time: only an answer shows that the
	// limit has ended.
	MinRate = 0.1
	// MaxRate is the rate from which a limit restricts nothing, in requests a second. It is the
	// largest traffic of a whole installation.
	MaxRate = 10_000
)

// Limit is what an answer says about the requests that its server takes.
type Limit struct {
	rate float64 // requests a second; 0 if there is no limit
}

// None is the limit of a server that takes any number of requests.
var None = Limit{}

// NewLimit returns the limit of a server that takes the given number of requests a second. A
// rate below MinRate counts as MinRate, and one from MaxRate on as no limit.
func NewLimit(rate float64) Limit {
	if rate >= MaxRate {
		return None
	}
	return Limit{rate: max(rate, MinRate)}
}

// Exists reports whether there is a limit.
func (l Limit) Exists() bool { return l.rate > 0 }

// Rate returns the requests a second that the server takes, or +Inf if there is no limit.
func (l Limit) Rate() float64 {
	if !l.Exists() {
		return math.Inf(1)
	}
	return l.rate
}

// isStricterThan reports whether the limit allows fewer requests than another one.
func (l Limit) isStricterThan(other Limit) bool { return l.Rate() < other.Rate() }

// ParseLimit returns the limit that the values of a header field name, and None if there are no
// values. Several values may be in one field, separated by commas; the lowest counts. It reports
// false if there are values but none that is a number of at least 0: such an answer says nothing.
func ParseLimit(values []string) (Limit, bool) {
	if len(values) == 0 {
		return None, true
	}
	lowest, found := 0.0, false
	for _, value := range values {
		for item := range strings.SplitSeq(value, ",") {
			rate, err := strconv.ParseFloat(strings.TrimSpace(item), 64)
			if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
				continue
			}
			if !found || rate < lowest {
				lowest, found = rate, true
			}
		}
	}
	if !found {
		return None, false
	}
	return NewLimit(lowest), true
}
