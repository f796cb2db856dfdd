package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Uint64

// newRequestID returns an ID that no other request of the case has.
func newRequestID() string { return fmt.Sprintf("%016x", 0xa000000000000000+requestNumber.Add(1)) }

// requestHead returns the head of a client's request. The extra lines end in CR LF.
func requestHead(method, path, id string, deadline time.Duration, extra string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n%s\r\n",
		method, path, routeHost, id, deadline.Milliseconds(), apiKey, extra)
}

// answer is what a client got.
type answer struct {
	status int
	id     string
	seal   string
	body   string
	err    error // the answer did not come or is not complete
}

// exchange sends one request on a new connection and reads the answer.
func exchange(address, method, path, id string, deadline time.Duration, extra, body string) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if body != "" {
		extra += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, requestHead(method, path, id, deadline, extra)+body); err != nil {
		return answer{err: err}
	}
	_ = c.SetReadDeadline(time.Now().Add(deadline + time.Second))
	return readAnswer(bufio.NewReader(c))
}

// readAnswer reads one answer. It skips informational ones.
func readAnswer(reader *bufio.Reader) answer {
	response, err := http.ReadResponse(reader, nil)
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, id: response.Header.Get("X-Request-Id"), seal: response.Header.Get("X-Server-Seal"), body: string(body), err: err}
}
