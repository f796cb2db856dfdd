package continuation

import (
	"slices"

	"github.com/samber/lo"
)

// Origin is what began a stream. Versions are names without an order.
type Origin struct {
	Service string
	Version string // of the server's software
}

// Knowledge is what is known of the origin of a stream.
type Knowledge uint8

const (
	// Unrecorded means that no record of the stream was found.
	Unrecorded Knowledge = iota
	// Recorded means that the origin is known.
	Recorded
	// Contradictory means that records with different origins were found: the server that began the
	// stream was restarted with another version under its name.
	Contradictory
	// Unavailable means that no holder of a record could be asked. A record may be found later.
	Unavailable
)

// Verdict tells whether a stream may go on.
type Verdict uint8

const (
	// GoesOn means that the stream goes on at servers of the origin that Decide returns.
	GoesOn Verdict = iota
	// VersionGone means that no server of the origin is left.
	VersionGone
	// VersionUnknown means that several versions may have begun the stream.
	VersionUnknown
)

// Decide returns whether a stream may go on, and at servers of which origin. It is given what is known
// of its origin, the service that its request goes to, the versions of that service in the Table, and
// the origins of the servers that take requests.
func Decide(knowledge Knowledge, recorded Origin, service string, versions []string, inService []Origin) (Origin, Verdict) {
	origin := recorded
	switch knowledge {
	case Contradictory, Unavailable:
		return Origin{}, VersionUnknown
	case Unrecorded:
		possible := lo.Uniq(versions)
		for _, o := range inService {
			if o.Service == service && !slices.Contains(possible, o.Version) {
				possible = append(possible, o.Version)
			}
		}
		if len(possible) != 1 {
			return Origin{}, VersionUnknown
		}
		origin = Origin{Service: service, Version: possible[0]}
	}
	if !slices.Contains(inService, origin) {
		return origin, VersionGone
	}
	return origin, GoesOn
}
