package relay

import (
	"bytes"
	"iter"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/frame"
)

// maxDroppedBytes bounds the events of a resumed stream that the caller does not get, in bytes.
const maxDroppedBytes = 16 << 20

// streamPosition is how far the caller has received the events of a stream.
type streamPosition struct {
	lastID   string // ID of the newest event; empty if none has one
	number   uint64 // lastID as a number
	hasGaps  bool   // an ID was larger than the one before by more than one
	unplaced bool   // an event without a numeric ID came last, so the stream cannot be resumed after it
}

// newStreamPosition returns the position of a caller that has a stream up to the event with
// the given ID, or from its beginning if that is empty.
func newStreamPosition(lastID string) streamPosition {
	number, err := strconv.ParseUint(lastID, 10, 64)
	return streamPosition{lastID: lastID, number: number, unplaced: lastID != "" && err != nil}
}

// add records events that the caller gets.
func (p *streamPosition) add(events []byte) {
	for event := range splitOff(events) {
		id := parseEventID(event)
		switch {
		case id.comment:
		case !id.numeric:
			p.unplaced = true
		default:
			p.hasGaps = p.hasGaps || p.lastID != "" && p.isBeyondNext(id.number)
			p.lastID, p.number, p.unplaced = id.text, id.number, false
		}
	}
}

// isBeyondNext reports whether there is a number between the position and the given number.
func (p *streamPosition) isBeyondNext(number uint64) bool {
	return number > p.number && number-p.number > 1
}

// eventID is what the ID field of an event says.
type eventID struct {
	text    string
	number  uint64
	numeric bool // text is a number
	comment bool // the event consists of comments and empty lines only
}

// parseEventID returns the ID of an event. The last ID field counts.
func parseEventID(event []byte) eventID {
	id := eventID{comment: true}
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		id.comment = false
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id.text = string(bytes.TrimSpace(value))
		}
	}
	number, err := strconv.ParseUint(id.text, 10, 64)
	id.number, id.numeric = number, err == nil
	return id
}

// splitOff yields the events in data. The last one may be incomplete.
func splitOff(data []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(data) > 0 {
			n := eventLength(data)
			if n < 0 {
				n = len(data)
			}
			if !yield(data[:n]) {
				return
			}
			data = data[n:]
		}
	}
}

// eventFilter checks the events of one server against those that the caller has, and drops
// those that it has already. The zero value passes the events of a stream that begins.
type eventFilter struct {
	resumes  bool
	position streamPosition // of the caller, including the events that were passed
	joined   bool           // the server has sent the newest event that the caller has, or the one after it
	dropped  int            // size of the dropped events in bytes
}

// newEventFilter returns the filter for a server that was asked to resume a stream. The head
// of its response must describe the same kind of content as the head that the caller has.
func newEventFilter(position streamPosition, sent, resumed frame.Head) (eventFilter, error) {
	for _, name := range []string{"Content-Type", "Content-Encoding"} {
		if want, got := sent.Get(name), resumed.Get(name); !strings.EqualFold(got, want) {
			return eventFilter{}, errors.Errorf("server resumed a stream with %s %q instead of %q", name, got, want)
		}
	}
	return eventFilter{resumes: true, position: position, joined: position.lastID == ""}, nil
}

// pass returns those of the given complete events that the caller gets. It returns an error if
// they cannot be the continuation of what the caller has.
func (f *eventFilter) pass(events []byte) ([]byte, error) {
	if !f.resumes {
		return events, nil
	}
	passed := make([]byte, 0, len(events))
	for event := range splitOff(events) {
		keep, err := f.keep(parseEventID(event))
		switch {
		case err != nil:
			return nil, err
		case keep:
			passed = append(passed, event...)
			f.position.add(event)
			continue
		}
		f.dropped += len(event)
		if f.dropped > maxDroppedBytes {
			return nil, errors.Errorf("resumed stream repeats more than %d bytes", maxDroppedBytes)
		}
	}
	return passed, nil
}

// keep reports whether the caller gets an event with the given ID.
func (f *eventFilter) keep(id eventID) (bool, error) {
	p := &f.position
	switch {
	case !f.joined && id.comment:
		return false, nil
	case !f.joined && !id.numeric:
		return false, errors.New("resumed stream begins with an event without a numeric ID")
	case !id.numeric || p.lastID == "":
		return true, nil
	case id.number <= p.number:
		f.joined = f.joined || id.number == p.number
		return false, nil
	case !p.hasGaps && p.isBeyondNext(id.number):
		return false, errors.Errorf("resumed stream continues with event %d after event %d", id.number, p.number)
	}
	f.joined = true
	return true, nil
}

// end checks the end of a response whose last event is followed by the given partial one.
func (f *eventFilter) end(partial []byte) error {
	switch {
	case !f.resumes:
		return nil
	case len(partial) > 0:
		return errors.New("resumed stream ends with a partial event")
	case !f.joined:
		return errors.New("resumed stream ends before the newest event that the caller has")
	}
	return nil
}
