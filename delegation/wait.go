package delegation

import "github.com/galenaslip/galenaslip/clock"

const (
	// minWatchWait and maxWatchWait bound the time that a watch waits for changes. Each response
	// renews the entry's lease, and each request reports its loads. The upper bound leaves time
	// to ask another member before a lease ends.
	minWatchWait = 200 * clock.Millisecond
	maxWatchWait = 600 * clock.Millisecond
	// watchesPerSecond is the number of watches that a member answers without changes, as long
	// as the wait for this is within its bounds.
	watchesPerSecond = 100
)

// WatchWait returns how long an entry lets a member wait for changes before it answers a watch,
// when the given number of entries watch the given number of members. It is the shortest wait
// while all entries watch the leader itself, which is without members.
func WatchWait(entries, members int) clock.Millis {
	if members == 0 {
		return minWatchWait
	}
	wanted := clock.Millis(entries) * clock.Second / clock.Millis(members*watchesPerSecond)
	return min(max(wanted, minWatchWait), maxWatchWait)
}
