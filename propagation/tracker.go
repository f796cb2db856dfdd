package propagation

import (
	"slices"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/lease"
)

// Version identifies a state. Numbers of different terms are unrelated: the state of a later
// term is the newer one.
type Version struct {
	Term   uint64 // 0 if numbers are valid in all terms
	Number uint64
}

// Less reports whether the version is older than another one.
func (v Version) Less(other Version) bool {
	return v.Term < other.Term || v.Term == other.Term && v.Number < other.Number
}

// report is what a holder of a lease has last reported.
type report struct {
	known      Version
	receivedAt clock.Millis
}

// publication is the time from which no lease is granted on states older than a version.
type publication struct {
	version Version
	at      clock.Millis
}

// Tracker follows which versions the holders of leases know. It is not safe for concurrent
// use. All times are on the clock of its process.
type Tracker struct {
	lease        clock.Millis // duration of a lease on the tracker's clock
	startedAt    clock.Millis // from when on all holders have reported to this tracker
	reports      map[string]report
	publications []publication // by version; at most one older than a lease
}

// New returns a tracker for leases of the given duration. The tracker counts them as longer
// by the margin for clocks that run at different rates.
func New(duration clock.Millis) *Tracker {
	return &Tracker{lease: lease.WithMargin(duration), reports: map[string]report{}}
}

// StartTerm begins the term of a leader. Until a lease duration later there may be holders
// that have reported to a former leader only.
func (t *Tracker) StartTerm(now clock.Millis) { t.startedAt = now }

// Report records that a holder asks for a lease and knows a version. A holder that stands for
// others reports the oldest version that one of them knows.
func (t *Tracker) Report(now clock.Millis, holder string, known Version) {
	t.reports[holder] = report{known: known, receivedAt: now}
}

// Publish records a new version. The caller must make sure that no lease is granted on an
// older one from now on.
func (t *Tracker) Publish(now clock.Millis, version Version) {
	if n := len(t.publications); n > 0 && !t.publications[n-1].version.Less(version) {
		return
	}
	t.publications = append(t.publications, publication{version: version, at: now})
	for len(t.publications) > 1 && now-t.publications[1].at >= t.lease {
		t.publications = t.publications[1:]
	}
}

// PublishFirst records the first version of all. There is no older state to act on.
func (t *Tracker) PublishFirst(version Version) {
	t.publications = append([]publication{{version: version, at: -t.lease}}, t.publications...)
}

// OldestKnown returns the oldest version that one of the holders knows whose leases may still
// be valid, or newest if no holder knows an older one.
func (t *Tracker) OldestKnown(now clock.Millis, newest Version) Version {
	t.removeExpired(now)
	oldest := newest
	for _, r := range t.reports {
		if r.known.Less(oldest) {
			oldest = r.known
		}
	}
	return oldest
}

// InForce reports whether nobody acts on a state older than the given version once the given
// time has passed. The version must have been published.
func (t *Tracker) InForce(now clock.Millis, version Version, within clock.Millis) bool {
	i := slices.IndexFunc(t.publications, func(p publication) bool { return !p.version.Less(version) })
	if i < 0 {
		return false
	}
	if t.publications[i].at+t.lease <= now+within {
		return true
	}
	return now-t.startedAt >= t.lease && !t.OldestKnown(now, version).Less(version)
}

// Waiting returns the names of the holders that may have a valid lease and do not know the
// given version, in order.
func (t *Tracker) Waiting(now clock.Millis, version Version) []string {
	t.removeExpired(now)
	var names []string
	for holder, r := range t.reports {
		if r.known.Less(version) {
			names = append(names, holder)
		}
	}
	slices.Sort(names)
	return names
}

// removeExpired removes the holders whose leases have certainly ended.
func (t *Tracker) removeExpired(now clock.Millis) {
	for holder, r := range t.reports {
		if now-r.receivedAt >= t.lease {
			delete(t.reports, holder)
		}
	}
}
