package frame

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/memory"
)

// Errors of parsing a message.
var (
	// ErrTooLarge means that a head or a body exceeds its limit.
	ErrTooLarge = memory.ErrTooLarge
	// ErrMalformed means that the bytes are not a valid or not an unambiguous HTTP/1
	// message.
	ErrMalformed = errors.New("malformed message")
	// ErrNoMemory means that no memory is left for the message.
	ErrNoMemory = memory.ErrNoMemory
	// ErrUnsupported means that the transfer encoding is not supported.
	ErrUnsupported = errors.New("unsupported transfer encoding")
)

const (
	// FreeHeadBytes is the memory of a head, in bytes, up to which nothing is reserved for it.
	FreeHeadBytes = 8 << 10
	// headReserve is the smallest part of the memory of a head that is reserved, in bytes.
	headReserve = 4 << 10
	// fieldBytes is the memory of a header field besides the bytes of its line.
	fieldBytes = 96
)

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Head is the start line and the header fields of a message.
type Head struct {
	Method       string // requests only
	Target       string // requests only: path and query
	Status       int    // responses only; 0 for requests
	Reason       string // responses only
	MinorVersion int    // minor HTTP version: 0 for HTTP/1.0, 1 for HTTP/1.1
	Headers      []Header
}

// Get returns the value of the first header field with the name, or "" if there is
// none. Names are compared without regard to case.
func (h Head) Get(name string) string {
	for _, f := range h.Headers {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Values returns the values of all header fields with the name, in order.
func (h Head) Values(name string) []string {
	var values []string
	for _, f := range h.Headers {
		if strings.EqualFold(f.Name, name) {
			values = append(values, f.Value)
		}
	}
	return values
}

// Has reports whether there is a header field with the name.
func (h Head) Has(name string) bool { return h.count(name) > 0 }

// count returns the number of header fields with the name.
func (h Head) count(name string) int {
	n := 0
	for _, f := range h.Headers {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// hasListItem reports whether a comma-separated header field contains a token.
func (h Head) hasListItem(name, token string) bool {
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
	if h.hasListItem("Connection", "close") {
		return true
	}
	return h.MinorVersion == 0 && !h.hasListItem("Connection", "keep-alive")
}

// hopByHopHeaders are the header fields that apply to a single connection and must not
// be forwarded. Content-Length is among them because the sender of the forwarded
// message sets its own framing.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd returns the header fields that may be forwarded. It leaves out hop-by-hop
// fields, those that the Connection field names, and the framing of the body.
func (h Head) EndToEnd() []Header {
	endToEnd := make([]Header, 0, len(h.Headers))
	for _, f := range h.Headers {
		if !isHopByHop(f.Name) && !h.hasListItem("Connection", f.Name) {
			endToEnd = append(endToEnd, f)
		}
	}
	return endToEnd
}

// isHopByHop reports whether a header field applies to a single connection.
func isHopByHop(name string) bool {
	for _, hopByHop := range hopByHopHeaders {
		if strings.EqualFold(name, hopByHop) {
			return true
		}
	}
	return false
}

// ReadRequest reads the head of a request. It returns ErrTooLarge if the head has more
// than limit bytes, and ErrNoMemory if the budget, unless nil, has none left for it. What was
// reserved stays so, also after an error.
func ReadRequest(r *bufio.Reader, limit int, budget memory.Budget) (Head, error) {
	line, headers, err := readHead(r, limit, budget)
	if err != nil {
		return Head{}, err
	}
	method, afterMethod, hasMethod := strings.Cut(line, " ")
	target, version, hasTarget := strings.Cut(afterMethod, " ")
	minor, validVersion := parseVersion(version)
	if !hasMethod || !hasTarget || !validVersion || !isToken(method) || !isTarget(target) {
		return Head{}, errors.Wrap(ErrMalformed, "invalid request line")
	}
	h := Head{Method: method, Target: target, MinorVersion: minor, Headers: headers}
	if h.count("Host") > 1 || (minor == 1 && h.count("Host") == 0) {
		return Head{}, errors.Wrap(ErrMalformed, "missing or repeated Host field")
	}
	return h, nil
}

// ReadResponse reads the head of a response. Its limits are those of ReadRequest. It returns
// ErrMalformed for a status that IsStatus rejects.
func ReadResponse(r *bufio.Reader, limit int, budget memory.Budget) (Head, error) {
	line, headers, err := readHead(r, limit, budget)
	if err != nil {
		return Head{}, err
	}
	version, afterVersion, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(afterVersion, " ")
	minor, validVersion := parseVersion(version)
	if !validVersion || !IsStatus(code) {
		return Head{}, errors.Wrap(ErrMalformed, "invalid status line")
	}
	status, err := strconv.Atoi(code)
	if err != nil {
		return Head{}, errors.Wrap(ErrMalformed, err.Error())
	}
	return Head{Status: status, Reason: reason, MinorVersion: minor, Headers: headers}, nil
}

// IsStatus reports whether s is a status code of HTTP: three digits, from 100 to 599. Codes above have
// no class that says what they mean, so an answer with one cannot be told from a broken one.
func IsStatus(s string) bool {
	return len(s) == 3 && s[0] >= '1' && s[0] <= '5' && isDigit(s[1]) && isDigit(s[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// parseVersion returns the minor version of HTTP/1 and whether it is supported.
func parseVersion(version string) (int, bool) {
	switch version {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// readHead reads the start line and the header fields up to the empty line. It returns
// errors of the reader unchanged, so that callers can distinguish a connection that was
// closed between two messages from a malformed message.
func readHead(r *bufio.Reader, limit int, budget memory.Budget) (string, []Header, error) {
	counted := &headMemory{budget: budget, reserved: FreeHeadBytes}
	startLine, err := readLine(r, &limit, counted)
	if err != nil {
		return "", nil, err
	}
	var headers []Header
	for {
		line, err := readLine(r, &limit, counted)
		if err == nil {
			err = counted.add(fieldBytes)
		}
		if err != nil {
			return "", nil, err
		}
		if line == "" {
			return startLine, headers, nil
		}
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !ok || !isToken(name) || !isFieldValue(value) {
			return "", nil, errors.Wrap(ErrMalformed, "invalid header field")
		}
		headers = append(headers, Header{Name: name, Value: value})
	}
}

// headMemory counts the memory of a head and reserves what exceeds FreeHeadBytes.
type headMemory struct {
	budget   memory.Budget
	used     int
	reserved int
}

// add counts a number of bytes. It returns ErrNoMemory if no memory is left for them. A nil
// headMemory counts nothing.
func (m *headMemory) add(bytes int) error {
	if m == nil || m.budget == nil {
		return nil
	}
	m.used += bytes
	if m.used <= m.reserved {
		return nil
	}
	missing := max(m.used-m.reserved, headReserve)
	if !m.budget.Reserve(missing) {
		return ErrNoMemory
	}
	m.reserved += missing
	return nil
}

// readLine reads a line that ends in CR LF and returns it without its end. It rejects
// a bare LF or CR, and reduces limit by the number of bytes read.
func readLine(r *bufio.Reader, limit *int, counted *headMemory) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		*limit -= len(part)
		if *limit < 0 {
			return "", ErrTooLarge
		}
		if memoryErr := counted.add(len(part)); memoryErr != nil {
			return "", memoryErr
		}
		if err == nil && line == nil {
			line = part // most lines are complete in the buffer: no copy
			break
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
		return "", errors.Wrap(ErrMalformed, "line does not end in CR LF")
	}
	line = line[:len(line)-2]
	if bytes.IndexByte(line, '\r') >= 0 {
		return "", errors.Wrap(ErrMalformed, "bare carriage return in a line")
	}
	return string(line), nil
}

// isToken reports whether s is a token of RFC 9110, as methods and field names are.
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

// isTarget reports whether s is a request target in origin form, a path with an
// optional query.
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

// isFieldValue reports whether s contains no control characters except tabs.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// Append appends the encoded head to b and returns the result. The given header fields
// replace those of the head; the version is always HTTP/1.1.
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
