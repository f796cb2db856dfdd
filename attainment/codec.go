package attainment

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

type wireState struct {
	Classes        []wireCounts `json:"classes"`
	Tiers          []wireCounts `json:"tiers"`
	DroppedSamples uint64       `json:"samples_dropped"`
}

type wireCounts struct {
	Class           string                    `json:"class,omitempty"`
	Tier            int                       `json:"tier"`
	Requests        uint64                    `json:"requests"`
	Counted         uint64                    `json:"counted"`
	Met             uint64                    `json:"met"`
	Attainment      float64                   `json:"attainment"`
	Shed            uint64                    `json:"shed"`
	Retries         uint64                    `json:"retries"`
	DeliveredTokens uint64                    `json:"tokens_delivered"`
	GoodputTokens   uint64                    `json:"tokens_good"`
	WastedTokens    uint64                    `json:"tokens_wasted"`
	WasteShare      float64                   `json:"waste_share"`
	Outcomes        map[outcome.Kind]uint64   `json:"outcomes"`
	Reasons         map[outcome.Reason]uint64 `json:"reasons"`
	QueueWait       wireLatency               `json:"queue_wait"`
	FirstToken      wireLatency               `json:"first_token"`
	Completion      wireLatency               `json:"completion"`
}

type wireLatency struct {
	Count int64        `json:"count"`
	Mean  float64      `json:"mean_ms"`
	P50   clock.Millis `json:"p50_ms"`
	P95   clock.Millis `json:"p95_ms"`
	P99   clock.Millis `json:"p99_ms"`
	P999  clock.Millis `json:"p999_ms"`
	Max   clock.Millis `json:"max_ms"`
}

// Encode returns the state as JSON for the debug state of the process.
func Encode(state State) ([]byte, error) {
	encoded, err := json.Marshal(wireState{
		Classes:        lo.Map(state.Classes, toWire),
		Tiers:          lo.Map(state.Tiers, toWire),
		DroppedSamples: state.DroppedSamples,
	})
	return encoded, errors.Wrap(err, "encode attainment state")
}

func toWire(c Counts, _ int) wireCounts {
	return wireCounts{
		Class: c.Class, Tier: int(c.Tier), Requests: c.Requests, Counted: c.Counted, Met: c.Met,
		Attainment: c.Attainment(), Shed: c.Shed, Retries: c.Retries,
		DeliveredTokens: c.DeliveredTokens, GoodputTokens: c.GoodputTokens, WastedTokens: c.WastedTokens, WasteShare: c.WasteShare(),
		Outcomes: c.Outcomes, Reasons: c.Reasons,
		QueueWait: wireLatency(c.QueueWait), FirstToken: wireLatency(c.FirstToken), Completion: wireLatency(c.Completion),
	}
}
