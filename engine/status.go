package engine

import (
	"bufio"
	"bytes"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/frame"
)

const (
	// versionBytes is the length of the version at the beginning of a status line and of the space
	// after it.
	versionBytes = len("HTTP/1.1 ")
	statusBytes  = 3
	// maxInterimResponses is the number of informational responses (1xx) that a call skips before it
	// fails.
	maxInterimResponses = 16
)

// errInvalidStatus means that the status of a response is none of HTTP, or one that no call asks for.
var errInvalidStatus = errors.New("the server sent a response with an invalid status")

// readResponse reads the header of the final response and prepares the stream of its body. It checks
// status codes itself, because fasthttp takes 000 for 200 and accepts any other three digits.
func readResponse(r *bufio.Reader, response *fasthttp.Response) error {
	for range maxInterimResponses {
		isFinal, err := inspectStatus(r)
		if err != nil {
			return err
		}
		if isFinal {
			return response.ReadLimitBody(r, 0)
		}
		if err := new(fasthttp.ResponseHeader).Read(r); err != nil {
			return err
		}
	}
	return errors.WithMessage(errInvalidStatus, "too many informational responses")
}

// inspectStatus returns whether the next response is a final one, without reading it. It returns
// errInvalidStatus unless the status line begins as it must.
func inspectStatus(r *bufio.Reader) (isFinal bool, err error) {
	line, err := r.Peek(versionBytes + statusBytes + 1)
	if err != nil {
		return false, err
	}
	status, end := string(line[versionBytes:versionBytes+statusBytes]), line[versionBytes+statusBytes]
	wellFormed := bytes.HasPrefix(line, []byte("HTTP/1.")) && line[versionBytes-1] == ' ' && frame.IsStatus(status) && (end == ' ' || end == '\r' || end == '\n')
	if !wellFormed || status == "101" {
		return false, errors.WithMessagef(errInvalidStatus, "status line %q", line)
	}
	return status[0] != '1', nil
}
