package relay

import (
	"bytes"
	"io"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/frame"
)

const (
	// streamBufferSize is the size of the buffer for reading a stream, in bytes.
	streamBufferSize = 8 << 10
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
)

// forwardStream forwards the events of a streamed response as they arrive. It sends
// complete events only, so that another server can resume the stream after the last
// one. Its results are those of makeAttempt.
func (x *exchange) forwardStream(a *attempt) (keepOpen, done bool) {
	err := x.forwardResponseEvents(a)
	switch {
	case err == nil:
		a.result = resultAnswered
		x.recordSurvival(a)
		x.logAnswer(a)
		return x.out.finishStream(), true
	case x.caller.isDisconnected(), errors.Is(err, errCallerWrite):
		a.setResult(resultAbandoned, err)
		return x.abandon(), true
	}
	a.failAfterSend(err)
	x.possibleRuns++
	if x.relay.clock.Now() >= x.deadline {
		return x.timeOut(a), true
	}
	return x.afterBrokenStream(a, err)
}

// afterBrokenStream handles an attempt whose stream broke off with an error. Its results are those of
// makeAttempt.
func (x *exchange) afterBrokenStream(a *attempt, err error) (keepOpen, done bool) {
	x.versionChanged, x.serverPending = errors.Is(err, errVersionChanged), errors.Is(err, errServerPending)
	unconfirmed, unavailable, pending := errors.Is(err, errVersionUnconfirmed), errors.Is(err, errControlUnavailable), errors.Is(err, errVersionPending)
	switch {
	case !x.out.headSent && unconfirmed:
		return x.refuse(*x.refuseStream("stream_version_unknown", *x.origin)), true
	case !x.out.headSent && unavailable:
		return x.refuse(*x.refuseStreamForNow(*x.origin)), true
	case !x.out.headSent && pending:
		return x.refuse(x.refusePending()), true
	case !x.out.headSent:
		return false, false
	case unconfirmed, unavailable, pending, x.route.RepeatPolicy != catalog.Resumable, x.position.unplaced, a.versionUncertain.Load():
		return x.out.cutStream(), true
	}
	x.continues = true
	x.relay.options.Logger.Log(event.StreamResumed, zap.String("request", x.requestInfo.ID),
		zap.String("server", a.server.record.Server), zap.String("version", a.version), zap.String("last_event", x.forwardInfo.LastEventID), zap.Error(err))
	return false, false
}

// errCallerWrite marks errors of writing to the caller.
var errCallerWrite = errors.New("writing to the caller failed")

// forwardResponseEvents forwards the events of a response. If the caller has a part of the
// stream, the response must continue that.
func (x *exchange) forwardResponseEvents(a *attempt) error {
	filter := eventFilter{}
	if x.out.headSent {
		var err error
		if filter, err = newEventFilter(x.position, x.out.streamHead, a.head); err != nil {
			return err
		}
	} else {
		x.position = newStreamPosition(x.requestInfo.LastEventID)
	}
	if err := x.forwardEvents(a, &filter); err != nil {
		return err
	}
	return x.confirmVersion(a) // of a server that adds no event
}

// forwardEvents forwards the events that pass the filter until the stream ends. It returns
// nil if the stream is complete.
func (x *exchange) forwardEvents(a *attempt, filter *eventFilter) error {
	var pending []byte
	buffer := make([]byte, streamBufferSize)
	reserved := streamBufferSize // bytes of pending for which memory is reserved or that every stream has
	for {
		n, err := a.body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		ended := errors.Is(err, io.EOF)
		if ended {
			if endErr := a.checkEnd(); endErr != nil {
				ended, err = false, endErr
			}
		}
		if err == nil && a.conn.reader.Buffered() > 0 && len(pending) < streamBufferSize {
			continue // events that arrived together are sent in one write
		}
		if n > 0 {
			x.relay.fleet.recordStreamActivity(a.server)
			x.recordProgress(a)
			x.refreshOrigin(a)
		}
		complete, partial := splitEvents(pending)
		switch {
		case ended && a.sendsEvents() && !isBlank(partial):
			// Whatever ends the response, a stream that ends inside an event was broken off.
			ended, err = false, errPartialEvent
		case ended && !filter.resumes:
			complete, partial = pending, nil
		}
		if err := x.writeEvents(a, filter, complete, ended); err != nil {
			return err
		}
		pending = append(pending[:0], partial...)
		switch {
		case ended:
			return filter.end(partial)
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errors.Errorf("stream event is larger than %d bytes", maxEventBytes)
		case len(pending) > reserved && !a.memory().Reserve(len(pending)):
			return frame.ErrNoMemory
		case len(pending) > reserved:
			reserved += len(pending)
		}
	}
}

// writeEvents sends the events that pass the filter. It sends the head of the response
// before the first events, or at the end of a stream without events.
func (x *exchange) writeEvents(a *attempt, filter *eventFilter, events []byte, ended bool) error {
	events, err := filter.pass(events)
	if err != nil {
		return err
	}
	if len(events) == 0 && (!ended || x.out.headSent) {
		return nil
	}
	if err := x.confirmVersion(a); err != nil {
		return err
	}
	if !x.out.headSent {
		x.recordOrigin(a)
	}
	x.position.add(events)
	x.forwardInfo.LastEventID = x.position.lastID
	if err := x.out.sendEvents(a, events); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

// errPartialEvent is the error of a stream that ends inside an event.
var errPartialEvent = errors.New("the stream ends inside an event")

// sendsEvents reports whether the body of the response consists of events.
func (a *attempt) sendsEvents() bool {
	mediaType, _, _ := strings.Cut(a.head.Get("Content-Type"), ";")
	return mediaType == "" || strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// isBlank reports whether the rest of a stream consists of line ends, which are no event.
func isBlank(rest []byte) bool { return len(bytes.Trim(rest, "\r\n")) == 0 }

// splitEvents returns the complete events at the beginning of data and the partial
// event after them.
func splitEvents(data []byte) (complete, partial []byte) {
	end := 0
	for {
		n := eventLength(data[end:])
		if n < 0 {
			return data[:end], data[end:]
		}
		end += n
	}
}

// eventLength returns the length of the first event in data including its empty line,
// or -1 if the event is incomplete.
func eventLength(data []byte) int {
	lf := bytes.Index(data, []byte("\n\n"))
	before := data
	if lf >= 0 {
		before = data[:lf+1]
	}
	crlf := bytes.Index(before, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0:
		return crlf + 4
	case lf >= 0:
		return lf + 2
	}
	return -1
}
