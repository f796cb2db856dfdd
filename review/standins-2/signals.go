package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The traffic of the case with signals.
const (
	orderTime   = 400 * time.Millisecond
	orderCount  = 6 // clients that send orders
	streamCount = 6 // clients that read streams
	stopAfter   = 3 * time.Second
	// secondSignalAfter is the time between the two signals.
	secondSignalAfter = time.Second
	longStreamEvents  = 20
	longStreamPause   = 80 * time.Millisecond
)

// signalCase counts what was passed on to servers and what clients got.
type signalCase struct {
	site *site

	mu        sync.Mutex
	runs      map[string]bool // requests that a server runs or has run, by ID
	completed int
	lost      []string // requests that a server runs, and whose channel ended without a complete answer
	refused   int
}

// answer answers an order after orderTime, and a stream with its events.
func (c *signalCase) answer(v *server, conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	c.mu.Lock()
	c.runs[id] = true
	c.mu.Unlock()
	c.site.rec.line("server: %s runs %s", v.id, id)
	if strings.HasPrefix(r.URL.Path, orderPath) {
		time.Sleep(orderTime)
		return writeOK(conn, r, "order "+id)
	}
	return writeStream(conn, r, longStreamEvents, longStreamPause)
}

// client sends one request after another on new connections until stopped is closed.
func (c *signalCase) client(path string, stopped chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stopped:
			return
		default:
		}
		id := newRequestID()
		began := time.Now()
		a := exchange(c.site.frontAddress(0), "POST", fmt.Sprintf("%s%d", path, n), id, 4*time.Second, "", "body of "+id)
		c.count(id, path, began, a)
		if a.status != 200 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (c *signalCase) count(id, path string, began time.Time, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.status == 200 && a.err == nil:
		c.completed++
	case a.err != nil && c.runs[id]:
		c.lost = append(c.lost, id)
		c.site.rec.line("client: the channel of %s (%s) ended after %v without a complete answer: status %d, %v", id, path, time.Since(began).Round(time.Millisecond), a.status, a.err)
	default:
		c.refused++
	}
}

// playSignals stops a relay with SIGTERM while it works. With trouble, the signal is sent again.
func playSignals(s *site, trouble bool) ([]string, error) {
	c := &signalCase{site: s, runs: map[string]bool{}}
	if err := s.startGroup(baseManifest(1)); err != nil {
		return nil, err
	}
	relay, err := s.startRelay(0)
	if err != nil {
		return nil, err
	}
	for i, service := range []string{appService, appService, modelService, modelService} {
		v := s.newServer(i, service)
		v.answer = func(conn net.Conn, r *http.Request, _ []byte) bool { return c.answer(v, conn, r) }
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(0); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	stopped := make(chan struct{})
	for i := range orderCount + streamCount {
		path := orderPath
		if i >= orderCount {
			path = queryPath
		}
		clients.Go(func() { c.client(path, stopped) })
	}
	time.Sleep(stopAfter)
	signalledAt := time.Now()
	if err := s.signal(relay, syscall.SIGTERM); err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(secondSignalAfter)
		if err := s.signal(relay, syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	if !relay.awaitExit(graceTime) {
		s.rec.line("platform: front-1 still runs after graceS")
	}
	s.rec.line("platform: front-1 ended %v after the first SIGTERM", time.Since(signalledAt).Round(time.Millisecond))
	close(stopped)
	clients.Wait()
	fmt.Printf("%d requests completed, %d lost\n", c.completed, len(c.lost))
	s.rec.line("%d requests completed, %d lost after a server ran them, %d refused or not connected", c.completed, len(c.lost), c.refused)
	if len(c.lost) == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %d requests were passed on to a server, and their channels ended without a complete answer", len(c.lost))}, nil
}

// writeStream writes a stream of events with increasing IDs.
func writeStream(c net.Conn, request *http.Request, events int, pause time.Duration) bool {
	head := okHead(request, "seal-"+request.Header.Get("X-Request-Id"), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for i := range events {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", i+1, i+1)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
