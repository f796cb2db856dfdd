package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Uint64

func newID() string {
	return fmt.Sprintf("%04x-%d", time.Now().UnixNano()&0xffff, requestNumber.Add(1))
}

// answer is what a client got.
type answer struct {
	id         string
	sentAt     time.Time
	endedAt    time.Time
	status     int
	body       string
	leaving    bool          // the answer had Server-Leaving
	retryAfter time.Duration // that the answer told; 0 if it told none
	complete   bool
	err        error
	events     []event
}

// event is an event of a stream, with the version of the server that made it.
type event struct {
	id      string
	version string
	server  string
}

// send sends a request to the first relay over a channel of its own, with the header fields that a client sends.
func (s *site) send(method, path, body string, deadline time.Duration, headers map[string]string) answer {
	return s.sendTo(1, method, path, body, deadline, headers)
}

// sendTo is send to a relay, from 1.
func (s *site) sendTo(relay int, method, path, body string, deadline time.Duration, headers map[string]string) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+s.front(relay)+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	q.Host = host
	q.Header.Set("X-Request-Id", a.id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("Api-Key", apiKey)
	for name, value := range headers {
		q.Header.Set(name, value)
	}
	s.record.log("client sends %s %s %s %v to relay-%d", a.id, method, path, headers, members+relay)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, err := c.Do(q)
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		s.record.log("client gets no answer to %s: %v", a.id, err)
		return a
	}
	defer r.Body.Close()
	a.status, a.leaving = r.StatusCode, r.Header.Get("Server-Leaving") == "1"
	if seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		a.readEvents(r.Body)
	} else {
		data, err := io.ReadAll(r.Body)
		a.body, a.err, a.complete = strings.TrimSpace(string(data)), err, err == nil
	}
	a.endedAt = time.Now()
	s.record.log("client gets %d to %s, leaving %v, retry after %v, complete %v, events %s, body %q", a.status, a.id, a.leaving, a.retryAfter, a.complete, a.summary(), a.body)
	return a
}

func (a *answer) readEvents(body io.Reader) {
	reader := bufio.NewReader(body)
	var e event
	for {
		line, err := reader.ReadString('\n')
		line = strings.TrimRight(line, "\n")
		switch {
		case err == io.EOF:
			a.complete = true
			return
		case err != nil:
			a.err = err
			return
		case line == "" && e.id != "":
			a.events = append(a.events, e)
			e = event{}
		case strings.HasPrefix(line, "id: "):
			e.id = line[4:]
		case strings.HasPrefix(line, "data: "):
			fields := strings.Fields(line[6:])
			e.version, e.server = fields[0], fields[1]
		}
	}
}

// summary returns the runs of events by version and server.
func (a answer) summary() string {
	var parts []string
	for i, e := range a.events {
		if i == 0 || e.server != a.events[i-1].server || e.version != a.events[i-1].version {
			parts = append(parts, fmt.Sprintf("from %s on %s of %s", e.id, e.version, e.server))
		}
	}
	return fmt.Sprintf("%d [%s]", len(a.events), strings.Join(parts, ", "))
}

// await sends idempotent requests until the path is served.
func (s *site) await(path string, wait time.Duration) bool {
	for begin := time.Now(); time.Since(begin) < wait; time.Sleep(200 * time.Millisecond) {
		if a := s.send(http.MethodGet, path, "", 2*time.Second, nil); a.status == http.StatusOK {
			return true
		}
	}
	return false
}
