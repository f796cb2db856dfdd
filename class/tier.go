package class

// Tier is a priority. Requests of a tier with a lower number are served first.
type Tier int

// The tiers with the highest and the lowest priority.
const (
	HighestTier Tier = 1
	LowestTier  Tier = 4
)

// Valid reports whether t is between HighestTier and LowestTier.
func (t Tier) Valid() bool {
	return t >= HighestTier && t <= LowestTier
}

// HasPriorityOver reports whether t has a higher priority than other.
func (t Tier) HasPriorityOver(other Tier) bool {
	return t < other
}

// Measure is the point of the answer to which the latency of a request is
// measured.
type Measure string

// The measures.
const (
	// FirstToken measures the time to the first token of a streamed answer.
	FirstToken Measure = "first_token"
	// Completion measures the time to the end of the answer.
	Completion Measure = "completion"
)

// Valid reports whether m is a known measure.
func (m Measure) Valid() bool {
	return m == FirstToken || m == Completion
}
