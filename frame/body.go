package frame

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxChunkLine bounds the line before a chunk and each trailer line.
const maxChunkLine = 1024

// Body reads the body of a message and tells whether it ended whole.
type Body struct {
	r       *bufio.Reader
	kind    framing
	left    int64 // of the length or of the current chunk
	inChunk bool
	done    bool
}

type framing uint8

const (
	byLength framing = iota
	chunked
	untilClose
)

// RequestBody returns the reader of a request's body.
func RequestBody(r *bufio.Reader, h Head) (*Body, error) {
	return newBody(r, h, byLength)
}

// ResponseBody returns the reader of the body of an answer to a request with the
// given method.
func ResponseBody(r *bufio.Reader, h Head, method string) (*Body, error) {
	if method == "HEAD" || h.Status == 204 || h.Status == 304 || h.Status < 200 {
		return &Body{r: r, done: true}, nil
	}
	return newBody(r, h, untilClose)
}

func newBody(r *bufio.Reader, h Head, otherwise framing) (*Body, error) {
	lengths, encodings := h.count("Content-Length"), h.count("Transfer-Encoding")
	switch {
	case lengths > 1 || encodings > 1 || lengths+encodings > 1:
		return nil, errors.Wrap(ErrMalformed, "two body lengths")
	case encodings == 1:
		if h.MinorVersion == 0 {
			return nil, errors.Wrap(ErrMalformed, "chunks in HTTP/1.0")
		}
		if !strings.EqualFold(h.Get("Transfer-Encoding"), "chunked") {
			return nil, ErrUnsupported
		}
		return &Body{r: r, kind: chunked}, nil
	case lengths == 1:
		length, err := parseLength(h.Get("Content-Length"), 10)
		if err != nil {
			return nil, err
		}
		return &Body{r: r, kind: byLength, left: length, done: length == 0}, nil
	}
	return &Body{r: r, kind: otherwise, done: otherwise == byLength}, nil
}

// parseLength accepts digits alone: no sign, no space.
func parseLength(s string, base int) (int64, error) {
	n, err := strconv.ParseUint(s, base, 62)
	if err != nil || strings.ContainsAny(s, "_+") {
		return 0, errors.Wrapf(ErrMalformed, "length %q", s)
	}
	return int64(n), nil
}

// EndsWithConnection reports whether only the end of the connection ends the body.
func (b *Body) EndsWithConnection() bool { return b.kind == untilClose && !b.done }

// Done reports whether the whole body was read.
func (b *Body) Done() bool { return b.done }

// Remaining returns the body's length, or -1 if it is not known in advance.
func (b *Body) Remaining() int64 {
	switch {
	case b.done:
		return 0
	case b.kind == byLength:
		return b.left
	}
	return -1
}

// Read returns io.EOF only at the end of a whole body. A body that is cut short
// ends with io.ErrUnexpectedEOF or with the error of the connection.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.kind == untilClose {
		n, err := b.r.Read(p)
		b.done = errors.Is(err, io.EOF)
		return n, err
	}
	if b.kind == chunked && !b.inChunk {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.left == 0 {
		if err := b.endPart(); err != nil {
			return n, err
		}
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *Body) endPart() error {
	if b.kind == byLength {
		b.done = true
		return nil
	}
	b.inChunk = false
	end, err := b.line()
	if err == nil && end != "" {
		err = errors.Wrap(ErrMalformed, "end of a chunk")
	}
	return err
}

func (b *Body) nextChunk() error {
	line, err := b.line()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	b.left, err = parseLength(strings.TrimRight(size, " \t"), 16)
	if err != nil {
		return err
	}
	if b.left > 0 {
		b.inChunk = true
		return nil
	}
	for {
		trailer, err := b.line()
		if err != nil {
			return err
		}
		if trailer == "" {
			b.done = true
			return nil
		}
	}
}

func (b *Body) line() (string, error) {
	limit := maxChunkLine
	line, err := readLine(b.r, &limit)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return line, err
}

// ReadAll reads the rest of the body, which may have at most limit bytes.
func (b *Body) ReadAll(limit int) ([]byte, error) {
	if n := b.Remaining(); n > int64(limit) {
		return nil, ErrTooLarge
	}
	var data []byte
	if n := b.Remaining(); n > 0 {
		data = make([]byte, 0, n)
	}
	buffer := make([]byte, 4096)
	for {
		n, err := b.Read(buffer)
		data = append(data, buffer[:n]...)
		if len(data) > limit {
			return nil, ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// AppendChunk appends one chunk with the data.
func AppendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk ends a chunked body.
const LastChunk = "0\r\n\r\n"
