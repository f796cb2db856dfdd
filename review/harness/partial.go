package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// partialEvents is the length of the streams, and partialAt the event within which a server in
	// trouble ends its answer.
	partialEvents, partialAt = 20, 10
	// partialStreams is the number of streams, of which one ends so: 5 in 100, the largest share of
	// garble on the site's days.
	partialStreams, partialStream = 20, "stream-12"
)

// partialCase: a server ends one of its streams inside an event, with the last chunk.
func partialCase(s *site, trouble bool) (bool, error) {
	if err := s.startAll(1, manifest(1)); err != nil {
		return false, err
	}
	var ids []string
	for n := range 2 {
		v := s.newServer(n, "pool", fmt.Sprintf("i-%d", n))
		v.beforeEvent = func(w *answer, n, _ int) bool {
			first := w.request.Header.Get("Last-Event-Id") == ""
			if !trouble || n != partialAt || !first || w.id != partialStream {
				return false
			}
			text := event(n, "v1")
			s.record.printf("server %s ends %s inside event %d, with the last chunk", v.id, w.id, n)
			w.chunk(text[:len(text)/2])
			w.write("0\r\n\r\n")
			return true
		}
		if err := v.start("v1"); err != nil {
			return false, err
		}
		ids = append(ids, v.id)
	}
	if err := s.awaitServers(10*time.Second, ids...); err != nil {
		return false, err
	}
	isBroken := false
	for i := range partialStreams {
		r := s.send(0, fmt.Sprintf("stream-%d", i), fmt.Sprintf("/chat/x?events=%d&gap=5", partialEvents), nil, 5*time.Second)
		if r.status != 200 {
			return false, fmt.Errorf("stream %d got %d, %v", i, r.status, r.err)
		}
		last := strings.HasSuffix(r.body, event(partialEvents, "v1"))
		if r.complete && !last {
			s.record.printf("%s looks complete and ends with %q", r.id, r.body[max(0, len(r.body)-30):])
			isBroken = true
		}
	}
	return isBroken, nil
}
