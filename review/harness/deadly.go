package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	deadlyServers = 8
	// crashAfter is how long a server works on the deadly request before it crashes. The route's goal is
	// 300 ms.
	crashAfter, backAfter = time.Second, 3 * time.Second
	deadlyInterval        = 2 * time.Second
	deadlyRequests        = 38
	// allowedCrashes and allowedRetries are the numbers of the rule.
	allowedCrashes, allowedRetries = 3, 3
	// busyInterval is the interval of the sound once-only requests.
	busyInterval = 10 * time.Millisecond
	deadlyBody   = "deadly"
)

// deadlyLog is when servers began to run the deadly request, and when it crashed them.
type deadlyLog struct {
	mu             sync.Mutex
	begun, crashed []time.Time
}

// deadlyCase: a request that may repeat crashes each server a second after the server begins to run
// it. It comes again and again, at both relays.
func deadlyCase(s *site, trouble bool) (bool, error) {
	m := manifest(1)
	m["routes"] = append(m["routes"].([]map[string]any), map[string]any{
		"name": "r-read", "host": "chat.example", "prefix": "/read/", "kind": "idempotent", "timeoutMs": 4000, "goalMs": 300,
		"priority": 2, "service": "ledger", "attempts": 2, "public": true, "sticky": false,
	}, map[string]any{
		"name": "r-post", "host": "chat.example", "prefix": "/post/", "kind": "mutating", "timeoutMs": 4000, "goalMs": 300,
		"priority": 2, "service": "ledger", "attempts": 1, "public": true, "sticky": false,
	})
	m["services"] = append(m["services"].([]map[string]any), map[string]any{
		"name": "ledger", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false,
	})
	if err := s.startAll(2, m); err != nil {
		return false, err
	}
	log := &deadlyLog{}
	var ids []string
	for n := range deadlyServers {
		v := s.newServer(n, "ledger", fmt.Sprintf("i-%d", n))
		v.deadly = func() { log.run(v) }
		if err := v.start("v1"); err != nil {
			return false, err
		}
		ids = append(ids, v.id)
	}
	if err := s.awaitServers(10*time.Second, ids...); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeatInterval)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() { s.sendPostings(busyInterval, stop) })
	for n := range deadlyRequests {
		clients.Go(func() { s.sendRead(n, trouble) })
		time.Sleep(deadlyInterval)
	}
	close(stop)
	clients.Wait()
	return log.isBroken(s), nil
}

// run works on the deadly request until the server crashes.
func (l *deadlyLog) run(v *server) {
	l.mu.Lock()
	l.begun = append(l.begun, time.Now())
	l.mu.Unlock()
	v.mu.Lock()
	stopped := v.stopped
	v.mu.Unlock()
	select {
	case <-time.After(crashAfter):
	case <-stopped:
		return
	}
	l.mu.Lock()
	l.crashed = append(l.crashed, time.Now())
	l.mu.Unlock()
	v.end()
	go func() {
		select {
		case <-time.After(backAfter):
			if err := v.start("v1"); err != nil {
				v.site.record.printf("server %s cannot start: %v", v.id, err)
			}
		case <-v.site.stopped:
		}
	}()
}

// isBroken reports whether the request reached servers too often after it had crashed three.
func (l *deadlyLog) isBroken(s *site) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := 0
	if len(l.crashed) >= allowedCrashes {
		from := l.crashed[allowedCrashes-1].Add(contactTime)
		for _, at := range l.begun {
			if at.After(from) {
				late++
			}
		}
	}
	s.record.printf("the request ran %d times and crashed %d servers; it ran %d times more than %v after the third crash", len(l.begun), len(l.crashed), late, contactTime)
	return late > allowedRetries
}

// sendRead sends a request of the idempotent route, the deadly one if it has that body.
func (s *site) sendRead(n int, deadly bool) {
	body := fmt.Sprintf("sound %d", n)
	if deadly {
		body = deadlyBody
	}
	id := fmt.Sprintf("read-%d", n)
	q, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/read/x?work=20", s.relay(n%2)), strings.NewReader(body))
	if err != nil {
		return
	}
	q.Host = "chat.example"
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", "4000")
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	s.record.printf("client sends %s (%s) to relay %d", id, body, n%2)
	a, err := client.Do(q)
	if err != nil {
		s.record.printf("client %s: %v", id, err)
		return
	}
	_ = a.Body.Close()
	s.record.printf("client %s: status %d", id, a.StatusCode)
}
