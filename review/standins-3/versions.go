package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// twoVersions: a server is started again under its id, with another version of its software, while its
// check-ins take seconds. Streams that begin there break off, and go on at the former version.
func twoVersions(s *site, trouble bool) (int, error) {
	var delay time.Duration
	if trouble {
		delay = 3 * time.Second
	}
	const gap = 80 * time.Millisecond // between two events
	a := &server{id: "i-a", service: "pool", version: "v1", checkInDelay: delay, eventInterval: gap}
	b := &server{id: "i-b", service: "pool", version: "v1", eventInterval: gap}
	if err := s.startServer(a, s.block+".101:0"); err != nil {
		return notRun, err
	}
	if err := s.startServer(b, s.block+".102:0"); err != nil {
		return notRun, err
	}
	if err := s.start(manifest(1, []map[string]any{route("stream", "/stream/", "streaming", "pool", 15*time.Second, true)}, "pool")); err != nil {
		return notRun, err
	}
	if !s.await("/stream/x?events=1", 15*time.Second) {
		return notRun, fmt.Errorf("no stream was served")
	}
	time.Sleep(delay + 3*time.Second) // both servers are known
	a.crash()
	time.Sleep(200 * time.Millisecond)
	next := &server{id: "i-a", service: "pool", version: "v2", checkInDelay: delay, eventInterval: gap}
	if err := s.startServer(next, a.address); err != nil {
		return notRun, err
	}
	time.Sleep(500 * time.Millisecond)
	var wait sync.WaitGroup
	var mu sync.Mutex
	mixed, streams, onNew := 0, 0, 0
	for n := range 16 {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * 30 * time.Millisecond)
			isMixed, seen := s.streamWithTakeUp("/stream/x?events=60")
			mu.Lock()
			defer mu.Unlock()
			streams++
			if seen["v2"] {
				onNew++
			}
			if isMixed {
				mixed++
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	next.crash()
	wait.Wait()
	s.record.log("%d streams, %d with events of v2, %d with events of two versions; the rule allows 2", streams, onNew, mixed)
	switch {
	case mixed > 2:
		return broken, nil
	case onNew < 3 && trouble:
		return notRun, fmt.Errorf("only %d streams began at the new version", onNew)
	}
	return held, nil
}

// streamWithTakeUp sends a stream and, if it breaks off, takes it up once. It reports whether the events of both
// are of several versions.
func (s *site) streamWithTakeUp(path string) (mixed bool, seen map[string]bool) {
	seen = map[string]bool{}
	first := s.send(http.MethodPost, path, "prompt", 12*time.Second, nil)
	for _, e := range first.events {
		seen[e.version] = true
	}
	if !first.complete && len(first.events) > 0 {
		again := s.send(http.MethodPost, path, "prompt", 8*time.Second, map[string]string{
			"Last-Event-Id": first.events[len(first.events)-1].id, "Resumes": first.id,
		})
		for _, e := range again.events {
			seen[e.version] = true
		}
	}
	return len(seen) > 1, seen
}
