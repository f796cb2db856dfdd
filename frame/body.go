package frame

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/memory"
)

const (
	// maxChunkLine is the largest size of a chunk header, in bytes.
	maxChunkLine = 1024
	// maxTrailers is the largest size of all trailer lines of a body together, in bytes.
	maxTrailers = 8 << 10
)

// Body reads the body of a message and detects whether it is complete. It is not safe
// for concurrent use.
type Body struct {
	reader    *bufio.Reader
	kind      framing
	remaining int64 // unread bytes of the body, or of the current chunk
	inChunk   bool  // the next bytes are data of a chunk, not a chunk header
	done      bool  // the complete body was read
}

// framing is the way in which the end of a body is determined.
type framing uint8

const (
	byLength   framing = iota // by Content-Length
	chunked                   // by the last chunk
	untilClose                // by the end of the connection
)

// RequestBody returns a reader for the body of a request. A request without a declared
// length has no body.
func RequestBody(r *bufio.Reader, h Head) (*Body, error) {
	return newBody(r, h, byLength)
}

// ResponseBody returns a reader for the body of a response to a request with the given
// method.
func ResponseBody(reader *bufio.Reader, h Head, method string) (*Body, error) {
	if method == "HEAD" || h.Status == 204 || h.Status == 304 || h.Status < 200 {
		return &Body{reader: reader, done: true}, nil
	}
	return newBody(reader, h, untilClose)
}

// newBody determines the framing from the header. The framing defaultFraming applies
// if the header declares none.
func newBody(reader *bufio.Reader, h Head, defaultFraming framing) (*Body, error) {
	lengths, encodings := h.count("Content-Length"), h.count("Transfer-Encoding")
	switch {
	case lengths > 1 || encodings > 1 || lengths+encodings > 1:
		return nil, errors.Wrap(ErrMalformed, "more than one body length")
	case encodings == 1:
		if h.MinorVersion == 0 {
			return nil, errors.Wrap(ErrMalformed, "chunked encoding in HTTP/1.0")
		}
		if !strings.EqualFold(h.Get("Transfer-Encoding"), "chunked") {
			return nil, ErrUnsupported
		}
		return &Body{reader: reader, kind: chunked}, nil
	case lengths == 1:
		length, err := parseLength(h.Get("Content-Length"), 10)
		if err != nil {
			return nil, err
		}
		return &Body{reader: reader, kind: byLength, remaining: length, done: length == 0}, nil
	}
	return &Body{reader: reader, kind: defaultFraming, done: defaultFraming == byLength}, nil
}

// parseLength parses a length that consists of digits only, without sign or space.
func parseLength(s string, base int) (int64, error) {
	n, err := strconv.ParseUint(s, base, 62)
	if err != nil || strings.ContainsAny(s, "_+") {
		return 0, errors.Wrapf(ErrMalformed, "invalid length %q", s)
	}
	return int64(n), nil
}

// EndsWithConnection reports whether the body has no length and lasts until the
// connection closes.
func (b *Body) EndsWithConnection() bool { return b.kind == untilClose && !b.done }

// EndedWithConnection reports whether the body had no length and the connection has closed.
func (b *Body) EndedWithConnection() bool { return b.kind == untilClose && b.done }

// Done reports whether the complete body was read.
func (b *Body) Done() bool { return b.done }

// Remaining returns the number of unread bytes, or -1 if it is not known in advance.
func (b *Body) Remaining() int64 {
	switch {
	case b.done:
		return 0
	case b.kind == byLength:
		return b.remaining
	}
	return -1
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body. A
// truncated body ends with io.ErrUnexpectedEOF or with the error of the connection.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.kind == untilClose {
		n, err := b.reader.Read(p)
		b.done = errors.Is(err, io.EOF)
		return n, err
	}
	if b.kind == chunked && !b.inChunk {
		if err := b.readChunkHeader(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if b.remaining == 0 {
		if err := b.finishData(); err != nil {
			return n, err
		}
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// finishData is called after the last byte of a chunk, or of a body with a length, was
// read. After a chunk it reads the line end that must follow.
func (b *Body) finishData() error {
	if b.kind == byLength {
		b.done = true
		return nil
	}
	b.inChunk = false
	limit := maxChunkLine
	lineEnd, err := b.nextLine(&limit)
	if err == nil && lineEnd != "" {
		err = errors.Wrap(ErrMalformed, "chunk data is not followed by CR LF")
	}
	return err
}

// readChunkHeader reads the header of the next chunk and, after the last chunk, the
// trailer.
func (b *Body) readChunkHeader() error {
	limit := maxChunkLine
	nextLine, err := b.nextLine(&limit)
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(nextLine, ";")
	b.remaining, err = parseLength(strings.TrimRight(size, " \t"), 16)
	if err != nil {
		return err
	}
	if b.remaining > 0 {
		b.inChunk = true
		return nil
	}
	limit = maxTrailers
	for {
		trailer, err := b.nextLine(&limit)
		if err != nil {
			return err
		}
		if trailer == "" {
			b.done = true
			return nil
		}
	}
}

// nextLine reads the next line of a chunked body: a chunk header, the line end after a
// chunk or a trailer line. It reduces limit by the number of bytes read.
func (b *Body) nextLine(limit *int) (string, error) {
	nextLine, err := readLine(b.reader, limit, nil)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return nextLine, err
}

// ReadAll reads the rest of the body; see memory.ReadAll.
func (b *Body) ReadAll(limit int, budget memory.Budget) ([]byte, error) {
	return memory.ReadAll(b, b.Remaining(), limit, budget)
}

// Discard reads the rest of the body and keeps nothing of it. It returns ErrTooLarge if that has
// more than limit bytes.
func (b *Body) Discard(limit int) error {
	if b.Remaining() > int64(limit) {
		return ErrTooLarge
	}
	return memory.Discard(b, limit)
}

// AppendChunk appends the data as one chunk to b and returns the result. Empty data
// would end the body.
func AppendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk is the end of a chunked body without trailers.
const LastChunk = "0\r\n\r\n"
