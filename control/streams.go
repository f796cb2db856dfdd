package control

import (
	"encoding/json"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
)

// maxStreamRecords bounds the records of streams at a member, and so their memory: some 55 MB.
const maxStreamRecords = 1 << 18

// wireStream is the JSON form of continuation.Record, and of the answer to a lookup. Its keys are
// short, because each stream is recorded.
type wireStream struct {
	Stream  string `json:"id"`
	Service string `json:"s,omitempty"`
	Version string `json:"v,omitempty"`
	Server  string `json:"n,omitempty"`
	// Age is the time since the stream began, in ms. Records are told with little delay, so that it is
	// left out there.
	Age           clock.Millis `json:"a,omitempty"`
	Confirmed     bool         `json:"c,omitempty"`             // see continuation.Record
	Contradictory bool         `json:"contradictory,omitempty"` // records with different origins were found
}

// wireStreams is a list of streams: the body of a message with records, and the answer to a lookup,
// which leaves out streams without a record.
type wireStreams struct {
	Streams []wireStream `json:"streams"`
}

// wireStreamLookup is the body of a lookup.
type wireStreamLookup struct {
	Streams []string `json:"ids"`
}

func encodeStreams(records []continuation.Record) ([]byte, error) {
	data, err := json.Marshal(wireStreams{Streams: lo.Map(records, func(r continuation.Record, _ int) wireStream {
		return toWireStream(r)
	})})
	return data, errors.WithStack(err)
}

func toWireStream(r continuation.Record) wireStream {
	return wireStream{
		Stream: r.Stream, Service: r.Origin.Service, Version: r.Origin.Version, Server: r.Server, Age: r.Age, Confirmed: r.Confirmed,
	}
}

func (w wireStream) record() continuation.Record {
	return continuation.Record{
		Stream: w.Stream, Origin: continuation.Origin{Service: w.Service, Version: w.Version}, Server: w.Server, Age: max(w.Age, 0),
		Confirmed: w.Confirmed,
	}
}

// wireHolder is the answer to a message with records. Run identifies the member's process: one that was
// started again has lost its records.
type wireHolder struct {
	Run string `json:"run"`
}

// postStreams keeps records of streams that an entry has begun.
func (c *Control) postStreams(f fiber.Ctx) error {
	var w wireStreams
	if err := json.Unmarshal(f.Body(), &w); err != nil {
		return invalidError(fiber.StatusBadRequest, errors.Wrap(err, "decoding streams"))
	}
	now := c.options.Clock.Now()
	records := lo.Map(w.Streams, func(stream wireStream, _ int) continuation.Record { return stream.record() })
	c.streamFile.add(lo.Filter(records, func(r continuation.Record, _ int) bool { return c.streams.Add(now, r) }))
	return respondValue(f, wireHolder{Run: c.runID})
}

// postStreamLookup answers which of the given streams are recorded here.
func (c *Control) postStreamLookup(f fiber.Ctx) error {
	var lookup wireStreamLookup
	if err := json.Unmarshal(f.Body(), &lookup); err != nil {
		return invalidError(fiber.StatusBadRequest, errors.Wrap(err, "decoding a lookup of streams"))
	}
	now := c.options.Clock.Now()
	answer := wireStreams{}
	for _, stream := range lookup.Streams {
		found, knowledge := c.streams.Lookup(now, stream)
		if knowledge == continuation.Unrecorded {
			continue
		}
		found.Stream = stream
		w := toWireStream(found)
		w.Contradictory = knowledge == continuation.Contradictory
		answer.Streams = append(answer.Streams, w)
	}
	return respondValue(f, answer)
}
