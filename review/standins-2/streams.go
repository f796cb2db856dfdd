package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	eventVersionPrefix = "data: "
	streamDeadline     = 15 * time.Second
	defaultRetryPause  = 250 * time.Millisecond
)

// stream is what a client has of one stream over its tries.
type stream struct {
	number   int
	events   int    // number of events of the whole stream
	first    string // ID of the try that brought the first event
	lastID   int
	versions []string // of the events, in order, without repetition
	complete bool
}

// tryResult is the result of one try at a stream.
type tryResult struct {
	sentAt  time.Time
	takesUp bool // the client had a part of the stream already
	gained  int  // number of events that the try brought
	// retryAfter is when the client may come back; 0 if the answer does not say.
	retryAfter time.Duration
}

// serveStream answers with the events after Last-Event-Id. Each event names the version of the server.
func serveStream(v *server, conn net.Conn, r *http.Request, events int, pause time.Duration) bool {
	id := r.Header.Get("X-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	v.mu.Lock()
	version := v.version
	v.mu.Unlock()
	v.site.rec.line("server: %s at %s runs %s from event %d", v.id, version, id, last+1)
	if _, err := io.WriteString(conn, okHead(r, "seal-"+id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
		return false
	}
	for i := last + 1; i <= events; i++ {
		event := fmt.Sprintf("id: %d\n%s%s\n\n", i, eventVersionPrefix, version)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// try makes one try at a stream at a relay and adds what it brings.
func (st *stream) try(s *site, relay int) (result tryResult) {
	result = tryResult{sentAt: time.Now(), takesUp: st.lastID > 0}
	conn, err := net.DialTimeout("tcp", s.frontAddress(relay), time.Second)
	if err != nil {
		return result
	}
	defer conn.Close()
	id := newRequestID()
	extra := fmt.Sprintf("Content-Length: 6\r\nX-Model: m\r\nX-Token-Count: 100,60\r\nX-Prefix-Hash: aa01:50,cc%04x:50\r\n", st.number)
	if result.takesUp {
		extra += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", st.lastID, st.first)
	}
	_ = conn.SetDeadline(time.Now().Add(streamDeadline))
	if _, err := io.WriteString(conn, requestHead("POST", fmt.Sprintf("%s%d", reviewPath, st.number), id, streamDeadline, extra)+"prompt"); err != nil {
		return result
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.rec.line("client: stream %d, try %s at front-%d: %v", st.number, id, relay+1, err)
		return result
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		retryAfter := response.Header.Get("Retry-After")
		s.rec.line("client: stream %d, try %s at front-%d: status %d, Retry-After %q, %s", st.number, id, relay+1, response.StatusCode, retryAfter, strings.TrimSpace(string(body)))
		if seconds, err := strconv.ParseFloat(retryAfter, 64); err == nil {
			result.retryAfter = time.Duration(seconds * float64(time.Second))
		}
		return result
	}
	before := st.lastID
	err = st.read(response.Body, id)
	result.gained = st.lastID - before
	st.complete = err == nil && st.lastID == st.events
	s.rec.line("client: stream %d, try %s at front-%d: events %d to %d, versions so far %v, complete %v", st.number, id, relay+1, before+1, st.lastID, st.versions, st.complete)
	return result
}

// read adds the events of an answer to the stream.
func (st *stream) read(body io.Reader, id string) error {
	lines, eventID := bufio.NewScanner(body), 0
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			eventID, _ = strconv.Atoi(text)
		}
		version, ok := strings.CutPrefix(line, eventVersionPrefix)
		if !ok || eventID <= st.lastID {
			continue
		}
		if st.lastID == 0 {
			st.first = id
		}
		st.lastID = eventID
		if n := len(st.versions); n == 0 || st.versions[n-1] != version {
			st.versions = append(st.versions, version)
		}
	}
	return lines.Err()
}
