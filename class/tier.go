package class

// Tier is a priority. A lower number is served first.
type Tier int

// The range of tiers.
const (
	HighestTier Tier = 1
	LowestTier  Tier = 4
)

// Valid reports whether t is in range.
func (t Tier) Valid() bool {
	return t >= HighestTier && t <= LowestTier
}

// HasPriorityOver reports whether t has priority over other.
func (t Tier) HasPriorityOver(other Tier) bool {
	return t < other
}

// Measure is the moment that a latency target is measured to.
type Measure string

// The measures.
const (
	// FirstToken measures to the first token of a streamed answer.
	FirstToken Measure = "first_token"
	// Completion measures to the end of the answer.
	Completion Measure = "completion"
)

// Valid reports whether m is a known measure.
func (m Measure) Valid() bool {
	return m == FirstToken || m == Completion
}
