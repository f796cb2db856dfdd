package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	silentStreams = 6
	// silentAfter is the event after which the server pauses the streams, for silentTime. Clients of the
	// route wait four times its goal of 2 s.
	silentAfter, silentTime = 10, 4500 * time.Millisecond
	silenceEvents           = 20
)

// silenceCase: a relay gets SIGTERM while streams run, and their server preempts them for some seconds.
// It is the only one of its version.
func silenceCase(s *site, trouble bool) (bool, error) {
	if err := s.startAll(2, manifest(1)); err != nil {
		return false, err
	}
	only, other := s.newServer(0, "pool", "i-v1"), s.newServer(1, "pool", "i-v2")
	for v, version := range map[*server]string{only: "v1", other: "v2"} {
		v.beforeEvent = func(w *answer, n, _ int) bool {
			if trouble && n == silentAfter+1 && strings.HasPrefix(w.id, "stream-") {
				s.record.printf("server %s preempts %s after event %d for %v", v.id, w.id, silentAfter, silentTime)
				time.Sleep(silentTime)
			}
			return false
		}
		if err := v.start(version); err != nil {
			return false, err
		}
	}
	if err := s.awaitServers(10*time.Second, only.id, other.id); err != nil {
		return false, err
	}
	time.Sleep(2*heartbeatInterval + contactTime)
	results := make([]result, silentStreams)
	var clients sync.WaitGroup
	for i := range results {
		clients.Go(func() {
			results[i] = s.send(0, fmt.Sprintf("stream-%d", i), fmt.Sprintf("/chat/x?events=%d&gap=50", silenceEvents), nil, 15*time.Second)
		})
	}
	time.Sleep(300 * time.Millisecond)
	s.signal(s.relays[0], syscall.SIGTERM)
	clients.Wait()
	lost := 0
	for _, r := range results {
		if r.status != 200 || !strings.Contains(r.body, "id: 1\n") {
			return false, fmt.Errorf("%s did not begin: status %d, %v", r.id, r.status, r.err)
		}
		if !r.complete {
			lost++
			s.record.printf("%s ends without a complete answer after %d of %d events", r.id, strings.Count(r.body, "\n\n"), silenceEvents)
		}
	}
	s.record.printf("%d of %d streams were cut", lost, silentStreams)
	return lost > 0, nil
}
