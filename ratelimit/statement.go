package ratelimit

import (
	"cmp"

	"github.com/galenaslip/galenaslip/clock"
)

// Run identifies a server from its start to its end. What a server says holds for the run in
// which it says it.
type Run struct {
	Server    string
	StartedAt int64 // as in the server's announcement
}

func (r Run) compare(other Run) int {
	return cmp.Or(cmp.Compare(r.Server, other.Server), cmp.Compare(r.StartedAt, other.StartedAt))
}

// statement is a limit that a server has named at some time from earliest to latest: between the
// sending of a request and the arrival of its answer.
type statement struct {
	limit            Limit
	earliest, latest clock.Millis
}

// next returns the statement that holds when another one has been heard too. The order in which
// they are heard makes no difference.
func (s statement) next(other statement) statement {
	switch {
	case other.earliest > s.latest:
		return other
	case s.earliest > other.latest:
		return s
	case other.limit.isStricterThan(s.limit):
		return other
	case s.limit.isStricterThan(other.limit):
		return s
	}
	return statement{limit: s.limit, earliest: max(s.earliest, other.earliest), latest: max(s.latest, other.latest)}
}
