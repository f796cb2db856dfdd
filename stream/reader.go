package stream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/memory"
)

// Done is the data of the event that ends a complete stream.
const Done = "[DONE]"

// ErrEventTooLarge reports an event that is larger than the reader's limit.
var ErrEventTooLarge = errors.New("server-sent event exceeds the size limit")

// Event is one server-sent event, or a comment when Comment is set. A comment has neither
// name nor data. Data is valid until the next call of Next.
type Event struct {
	Name    string
	Data    []byte
	Comment bool
}

// Reader splits a byte stream into server-sent events. It is not safe for concurrent
// use.
type Reader struct {
	source        *bufio.Reader
	maxEventBytes int // largest event in bytes
	line          []byte
	data          []byte
	name          string
	hasData       bool          // the current event has a data field
	budget        memory.Budget // for the largest event so far; nil if it is not bounded
	reserved      int           // bytes
}

// NewReader returns a reader that returns ErrEventTooLarge for events larger than
// maxEventBytes.
func NewReader(source io.Reader, maxEventBytes int) *Reader {
	return &Reader{source: bufio.NewReader(source), maxEventBytes: maxEventBytes}
}

// WithBudget returns the reader with a budget for its memory. It returns memory.ErrNoMemory for an
// event that finds none.
func (r *Reader) WithBudget(b memory.Budget) *Reader {
	r.budget = b
	return r
}

// reserve reserves the memory of the current event.
func (r *Reader) reserve() error {
	missing := cap(r.line) + cap(r.data) - r.reserved
	if r.budget == nil || missing <= 0 {
		return nil
	}
	if !r.budget.Reserve(missing) {
		return memory.ErrNoMemory
	}
	r.reserved += missing
	return nil
}

// Next returns the next event or comment. If the stream ends within an event, it
// returns io.ErrUnexpectedEOF.
func (r *Reader) Next() (Event, error) {
	r.reset()
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.truncationError(err)
		}
		switch {
		case len(line) == 0 && r.hasData:
			return Event{Name: r.name, Data: r.data}, nil
		case len(line) == 0:
			r.reset()
		case line[0] == ':' && !r.hasData:
			return Event{Comment: true}, nil
		default:
			if err := r.parseField(line); err != nil {
				return Event{}, err
			}
		}
	}
}

func (r *Reader) reset() {
	r.data = r.data[:0]
	r.name = ""
	r.hasData = false
}

// truncationError replaces io.EOF by io.ErrUnexpectedEOF when the stream ended within
// an event.
func (r *Reader) truncationError(err error) error {
	if errors.Is(err, io.EOF) && (r.hasData || len(r.line) > 0) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseField adds one field line to the current event. Fields other than data and event
// are ignored.
func (r *Reader) parseField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if r.hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		r.hasData = true
	case "event":
		r.name = string(value)
	}
	if len(r.data) > r.maxEventBytes {
		return ErrEventTooLarge
	}
	return r.reserve()
}

// readLine returns the next line without its line ending.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.source.ReadSlice('\n')
		r.line = append(r.line, part...)
		if len(r.line) > r.maxEventBytes+len("data: \r\n") {
			return nil, ErrEventTooLarge
		}
		if noMemory := r.reserve(); noMemory != nil {
			return nil, noMemory
		}
		if err == nil {
			return bytes.TrimSuffix(r.line[:len(r.line)-1], []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}
