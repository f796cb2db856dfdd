package relay

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/event"
)

const (
	// streamBuffer is what one read of a stream takes.
	streamBuffer = 8 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
)

// stream passes the events of an answer on as they arrive, whole ones only, so
// that another server can go on after the last of them.
func (x *exchange) stream(a *attempt) (keep, done bool) {
	err := x.passEvents(a)
	switch {
	case err == nil:
		a.result = resultAnswered
		x.logAnswer(a)
		return x.out.finish(), true
	case x.caller.isGone(), errors.Is(err, errCaller):
		a.fail(resultAbandoned, err)
		return x.callerLeft(), true
	}
	a.failSent(err)
	x.runs++
	if x.relay.clock.Now() >= x.deadline {
		return x.timeOut(a), true
	}
	if x.out.begun && x.route.RepeatPolicy != catalog.Resumable {
		return x.out.cut(), true
	}
	if x.out.begun {
		x.relay.options.Logger.Log(event.StreamResumed, zap.String("request", x.call.ID),
			zap.String("server", a.server.record.Server), zap.String("last_event", x.hop.LastEvent), zap.Error(err))
	}
	return false, false
}

// errCaller marks an error in writing to the caller.
var errCaller = errors.New("the caller does not read")

// passEvents returns nil at the end of a whole stream.
func (x *exchange) passEvents(a *attempt) error {
	var rest []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.body.Read(buffer)
		rest = append(rest, buffer[:n]...)
		ended := errors.Is(err, io.EOF)
		if err == nil && a.conn.reader.Buffered() > 0 && len(rest) < streamBuffer {
			continue // events that arrived together leave together
		}
		if n > 0 {
			x.relay.fleet.heard(a.server)
		}
		whole, left := splitEvents(rest)
		if ended {
			whole, left = rest, nil
		}
		if werr := x.writeEvents(a, whole, ended); werr != nil {
			return errors.Wrap(errCaller, werr.Error())
		}
		rest = append(rest[:0], left...)
		switch {
		case ended:
			return nil
		case err != nil:
			return err
		case len(rest) > maxEvent:
			return errors.Errorf("an event of more than %d bytes", maxEvent)
		}
	}
}

func (x *exchange) writeEvents(a *attempt, events []byte, ended bool) error {
	events = x.withoutSeen(events)
	if len(events) == 0 && (!ended || x.out.begun) {
		return nil
	}
	if id, ok := lastID(events); ok {
		x.hop.LastEvent = id
	}
	if !x.out.begun {
		return x.out.begin(a, events)
	}
	return x.out.events(events)
}

// splitEvents returns the whole events at the beginning and the rest.
func splitEvents(data []byte) (whole, rest []byte) {
	end := 0
	for {
		n := eventEnd(data[end:])
		if n < 0 {
			return data[:end], data[end:]
		}
		end += n
	}
}

// eventEnd returns the length of the first event with its empty line, or -1.
func eventEnd(data []byte) int {
	plain, returns := bytes.Index(data, []byte("\n\n")), bytes.Index(data, []byte("\r\n\r\n"))
	switch {
	case returns >= 0 && (plain < 0 || returns < plain):
		return returns + 4
	case plain >= 0:
		return plain + 2
	}
	return -1
}

// lastID returns the id of the newest event that has one.
func lastID(events []byte) (string, bool) {
	id, found := "", false
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, found = string(bytes.TrimSpace(value)), true
		}
	}
	return id, found
}

// withoutSeen drops events that the caller has: a server that goes on may repeat
// the last ones.
func (x *exchange) withoutSeen(events []byte) []byte {
	seen, err := strconv.ParseUint(x.hop.LastEvent, 10, 64)
	if err != nil || x.runs == 0 {
		return events
	}
	for len(events) > 0 {
		n := eventEnd(events)
		if n < 0 {
			return events
		}
		id, ok := lastID(events[:n])
		number, err := strconv.ParseUint(id, 10, 64)
		if !ok || err != nil || number > seen {
			return events
		}
		events = events[n:]
	}
	return events
}
