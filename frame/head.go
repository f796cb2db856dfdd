package frame

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Errors of reading.
var (
	// ErrTooLarge means that a head or a body exceeds its limit.
	ErrTooLarge = errors.New("message is larger than allowed")
	// ErrMalformed means that the bytes are no HTTP/1.1 message.
	ErrMalformed = errors.New("malformed message")
	// ErrUnsupported means that the message uses a framing that is not offered.
	ErrUnsupported = errors.New("unsupported transfer encoding")
)

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Head is the start line and the header fields of a message.
type Head struct {
	Method       string // of a request
	Target       string // of a request: path and query
	Status       int    // of an answer
	Reason       string // of an answer
	MinorVersion int    // HTTP/1.Minor
	Headers      []Header
}

// Get returns the value of the first field with the name, without regard to case.
func (h Head) Get(name string) string {
	for _, f := range h.Headers {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Has reports whether a field with the name is there.
func (h Head) Has(name string) bool { return h.count(name) > 0 }

func (h Head) count(name string) int {
	n := 0
	for _, f := range h.Headers {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// lists reports whether a comma-separated field contains a token.
func (h Head) lists(name, token string) bool {
	for _, f := range h.Headers {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		for item := range strings.SplitSeq(f.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(item), token) {
				return true
			}
		}
	}
	return false
}

// ClosesConnection reports whether the sender closes the connection after this message.
func (h Head) ClosesConnection() bool {
	if h.lists("Connection", "close") {
		return true
	}
	return h.MinorVersion == 0 && !h.lists("Connection", "keep-alive")
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd returns the fields that are passed on: all but those that concern one
// connection, the body's framing included.
func (h Head) EndToEnd() []Header {
	passed := make([]Header, 0, len(h.Headers))
	for _, f := range h.Headers {
		if !isHop(f.Name) && !h.lists("Connection", f.Name) {
			passed = append(passed, f)
		}
	}
	return passed
}

func isHop(name string) bool {
	for _, hop := range hopHeaders {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}

// ReadRequest reads the head of a request of at most limit bytes.
func ReadRequest(r *bufio.Reader, limit int) (Head, error) {
	line, rest, err := readLines(r, limit)
	if err != nil {
		return Head{}, err
	}
	method, rest1, ok1 := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest1, " ")
	minor, ok3 := parseVersion(version)
	if !ok1 || !ok2 || !ok3 || !isToken(method) || !isTarget(target) {
		return Head{}, errors.Wrap(ErrMalformed, "request line")
	}
	h := Head{Method: method, Target: target, MinorVersion: minor, Headers: rest}
	if h.count("Host") > 1 || (minor == 1 && h.count("Host") == 0) {
		return Head{}, errors.Wrap(ErrMalformed, "host")
	}
	return h, nil
}

// ReadResponse reads the head of an answer of at most limit bytes.
func ReadResponse(r *bufio.Reader, limit int) (Head, error) {
	line, rest, err := readLines(r, limit)
	if err != nil {
		return Head{}, err
	}
	version, rest1, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest1, " ")
	minor, ok := parseVersion(version)
	status, err := strconv.Atoi(code)
	if !ok || err != nil || len(code) != 3 || status < 100 {
		return Head{}, errors.Wrap(ErrMalformed, "status line")
	}
	return Head{Status: status, Reason: reason, MinorVersion: minor, Headers: rest}, nil
}

func parseVersion(version string) (int, bool) {
	switch version {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// readLines reads up to the empty line. An error before the first byte is the
// reader's own, so that a closed idle connection can be told from a torn message.
func readLines(r *bufio.Reader, limit int) (string, []Header, error) {
	first, err := readLine(r, &limit)
	if err != nil {
		return "", nil, err
	}
	var headers []Header
	for {
		line, err := readLine(r, &limit)
		if err != nil {
			return "", nil, err
		}
		if line == "" {
			return first, headers, nil
		}
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !ok || !isToken(name) || !isFieldValue(value) {
			return "", nil, errors.Wrap(ErrMalformed, "header field")
		}
		headers = append(headers, Header{Name: name, Value: value})
	}
}

// readLine reads a line that ends in CR LF. A bare LF or CR is refused.
func readLine(r *bufio.Reader, limit *int) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		*limit -= len(part)
		if *limit < 0 {
			return "", ErrTooLarge
		}
		line = append(line, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return "", errors.Wrap(ErrMalformed, "line end")
	}
	line = line[:len(line)-2]
	if bytes.IndexByte(line, '\r') >= 0 {
		return "", errors.Wrap(ErrMalformed, "carriage return in a line")
	}
	return string(line), nil
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

func isTarget(s string) bool {
	if !strings.HasPrefix(s, "/") {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

func isFieldValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// Append appends the head's bytes with the given fields in place of its own.
func (h Head) Append(b []byte, headers []Header) []byte {
	if h.Status == 0 {
		b = append(b, h.Method...)
		b = append(b, ' ')
		b = append(b, h.Target...)
		b = append(b, " HTTP/1.1\r\n"...)
	} else {
		b = append(b, "HTTP/1.1 "...)
		b = strconv.AppendInt(b, int64(h.Status), 10)
		b = append(b, ' ')
		b = append(b, h.Reason...)
		b = append(b, "\r\n"...)
	}
	for _, f := range headers {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
