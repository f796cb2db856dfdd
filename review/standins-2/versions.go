package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The traffic of the case with a server that is back at another software version.
const (
	versionStreams     = 10
	versionEvents      = 100
	versionPause       = 50 * time.Millisecond
	brokenOffAfter     = 800 * time.Millisecond
	downTime           = 2 * time.Second        // from the end of the server until it is back
	checkInLateness    = 3 * time.Second        // how late the server's check-ins arrive
	clientRetryPause   = 250 * time.Millisecond // without Retry-After
	clientTries        = 5
	allowedMixed       = 2
	streamDeadline     = 15 * time.Second
	formerVersion      = "v1"
	newVersion         = "v2"
	eventVersionPrefix = "data: "
)

// versionCase is a case in which the last server of a version is back at another one.
type versionCase struct {
	site *site

	mu       sync.Mutex
	mixed    []string
	whole    int
	unfinish int
}

// stream is what a client has of one stream over its tries.
type stream struct {
	first    string // ID of the try that brought the first event
	lastID   int
	versions []string // of the events, in order, without repetition
	complete bool
}

// answer writes the events after Last-Event-Id. Each event names the version of the server.
func (c *versionCase) answer(v *server, conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	v.mu.Lock()
	version := v.version
	v.mu.Unlock()
	c.site.rec.line("server: %s at %s runs %s from event %d", v.id, version, id, last+1)
	if _, err := io.WriteString(conn, okHead(r, "seal-"+id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
		return false
	}
	for i := last + 1; i <= versionEvents; i++ {
		event := fmt.Sprintf("id: %d\n%s%s\n\n", i, eventVersionPrefix, version)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(versionPause)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// try makes one try at a stream and adds what it brings. It returns when the client may come back.
func (c *versionCase) try(st *stream, number, try int) (pause time.Duration) {
	pause = clientRetryPause
	conn, err := net.DialTimeout("tcp", c.site.frontAddress((number+try)%2), time.Second)
	if err != nil {
		return pause
	}
	defer conn.Close()
	id, extra := newRequestID(), "Content-Length: 6\r\nX-Model: m\r\nX-Token-Count: 100,60\r\nX-Prefix-Hash: aa01:50,"+fmt.Sprintf("cc%02x:50\r\n", number)
	if st.lastID > 0 {
		extra += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", st.lastID, st.first)
	}
	_ = conn.SetDeadline(time.Now().Add(streamDeadline))
	if _, err := io.WriteString(conn, requestHead("POST", fmt.Sprintf("%s%d", reviewPath, number), id, streamDeadline, extra)+"prompt"); err != nil {
		return pause
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.site.rec.line("client: stream %d, try %s: %v", number, id, err)
		return pause
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		retryAfter := response.Header.Get("Retry-After")
		c.site.rec.line("client: stream %d, try %s: status %d, Retry-After %q, %s", number, id, response.StatusCode, retryAfter, strings.TrimSpace(string(body)))
		if seconds, err := strconv.ParseFloat(retryAfter, 64); err == nil {
			pause = time.Duration(seconds * float64(time.Second))
		}
		return pause
	}
	lines := bufio.NewScanner(response.Body)
	pending, before := 0, st.lastID
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			pending, _ = strconv.Atoi(text)
		}
		if version, ok := strings.CutPrefix(line, eventVersionPrefix); ok && pending > st.lastID {
			if st.lastID == 0 {
				st.first = id
			}
			st.lastID = pending
			if n := len(st.versions); n == 0 || st.versions[n-1] != version {
				st.versions = append(st.versions, version)
			}
		}
	}
	st.complete = lines.Err() == nil && st.lastID == versionEvents
	c.site.rec.line("client: stream %d, try %s: events %d to %d, versions so far %v, complete %v", number, id, before+1, st.lastID, st.versions, st.complete)
	return pause
}

// client reads one stream, and takes it up again when it breaks off.
func (c *versionCase) client(number int) {
	var st stream
	for try := 0; try < clientTries && !st.complete; try++ {
		pause := c.try(&st, number, try)
		if !st.complete {
			time.Sleep(pause)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(st.versions) > 1:
		c.mixed = append(c.mixed, fmt.Sprintf("stream %d: %v", number, st.versions))
	case st.complete:
		c.whole++
	default:
		c.unfinish++
	}
}

// playVersions ends the last server of a version under its streams. It is back under its name at
// another version, and its check-ins arrive late.
func playVersions(s *site, trouble bool) ([]string, error) {
	c := &versionCase{site: s}
	if err := s.startGroup(baseManifest(1)); err != nil {
		return nil, err
	}
	for i := range 2 {
		if _, err := s.startRelay(i); err != nil {
			return nil, err
		}
	}
	last := s.newServer(0, modelService)
	last.lateness = time.Duration(envNumber("LATE_MS", int(checkInLateness.Milliseconds()))) * time.Millisecond
	last.version, last.answer = formerVersion, func(conn net.Conn, r *http.Request, _ []byte) bool { return c.answer(last, conn, r) }
	if err := last.start(); err != nil {
		return nil, err
	}
	for i := range 2 {
		if err := s.awaitReady(i); err != nil {
			return nil, err
		}
	}
	time.Sleep(last.lateness + time.Second)
	var clients sync.WaitGroup
	for i := range versionStreams {
		clients.Go(func() { c.client(i) })
	}
	time.Sleep(brokenOffAfter / 2)
	for i := 1; i <= 2; i++ { // the other servers have the new version already
		v := s.newServer(i, modelService)
		v.version, v.answer = newVersion, func(conn net.Conn, r *http.Request, _ []byte) bool { return c.answer(v, conn, r) }
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(brokenOffAfter / 2)
	if trouble {
		if err := c.restart(last); err != nil {
			return nil, err
		}
	}
	clients.Wait()
	fmt.Printf("%d streams whole, %d unfinished, %d of two versions\n", c.whole, c.unfinish, len(c.mixed))
	s.rec.line("%d streams whole and of one version, %d unfinished, %d of two versions", c.whole, c.unfinish, len(c.mixed))
	if len(c.mixed) <= allowedMixed {
		return nil, nil
	}
	return []string{fmt.Sprintf("ORDER: %d streams hold events of two versions, %d are allowed; %s", len(c.mixed), allowedMixed, c.mixed[0])}, nil
}

// restart ends a server and starts it again under its name at the new version.
func (c *versionCase) restart(v *server) error {
	v.stop()
	c.site.rec.line("server: %s at %s ends", v.id, v.version)
	time.Sleep(downTime)
	v.mu.Lock()
	v.version = newVersion
	v.mu.Unlock()
	if err := v.start(); err != nil {
		return err
	}
	c.site.rec.line("server: %s is back at %s; its check-ins arrive %v late", v.id, newVersion, v.lateness)
	return nil
}
