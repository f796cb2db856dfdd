package propagation

import "github.com/galenaslip/galenaslip/clock"

const (
	// minCollectTime is the time for collecting changes when few watches wait for them.
	// Without it, each of many servers that restart together would cost one answer to each
	// entry.
	minCollectTime = 20 * clock.Millisecond
	// maxAnswersPerSecond bounds the watches that one process answers because of changes, as
	// long as this takes no more than the limit of the time for collecting them.
	maxAnswersPerSecond = 500
	// collectShare is the share of a time within which all entries must know a change that may
	// be spent on collecting others. A change is collected by the leader and by a member, and
	// entries report it with their next watches.
	collectShare = 0.2
)

// CollectTime returns for how long a process collects further changes before it answers the
// given number of watches. All entries must know a change within the given time.
func CollectTime(watches int, within clock.Millis) clock.Millis {
	limit := clock.Millis(collectShare * float64(within))
	wanted := clock.Millis(watches) * clock.Second / maxAnswersPerSecond
	return max(min(wanted, limit), minCollectTime)
}
