package stream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Done is the data of the event that ends a complete stream.
const Done = "[DONE]"

// ErrEventTooLarge reports an event above the reader's limit.
var ErrEventTooLarge = errors.New("server-sent event exceeds the size limit")

// Event is one server-sent event. Data is valid until the next call of Next.
type Event struct {
	Name    string
	Data    []byte
	Comment bool
}

// Reader splits a byte stream into server-sent events.
type Reader struct {
	source *bufio.Reader
	limit  int
	line   []byte
	data   []byte
	name   string
	filled bool
}

// NewReader returns a reader that refuses events larger than limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReader(source), limit: limit}
}

// Next returns the next event or comment. An event that the end of the stream
// cuts off is reported as io.ErrUnexpectedEOF.
func (r *Reader) Next() (Event, error) {
	r.reset()
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.cut(err)
		}
		switch {
		case len(line) == 0 && r.filled:
			return Event{Name: r.name, Data: r.data}, nil
		case len(line) == 0:
			r.reset()
		case line[0] == ':' && !r.filled:
			return Event{Comment: true}, nil
		default:
			if err := r.field(line); err != nil {
				return Event{}, err
			}
		}
	}
}

func (r *Reader) reset() {
	r.data = r.data[:0]
	r.name = ""
	r.filled = false
}

func (r *Reader) cut(err error) error {
	if errors.Is(err, io.EOF) && (r.filled || len(r.line) > 0) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) field(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if r.filled {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		r.filled = true
	case "event":
		r.name = string(value)
	}
	if len(r.data) > r.limit {
		return ErrEventTooLarge
	}
	return nil
}

// readLine returns the next line without its end of line.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.source.ReadSlice('\n')
		r.line = append(r.line, part...)
		if len(r.line) > r.limit+len("data: \r\n") {
			return nil, ErrEventTooLarge
		}
		if err == nil {
			return bytes.TrimSuffix(r.line[:len(r.line)-1], []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}
