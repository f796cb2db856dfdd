package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// checkInLag is how late the check-ins of the server arrive that starts again.
	checkInLag = 4 * time.Second
	// allowedMixed is the number of streams with events of two versions that the rule allows.
	allowedMixed = 2
	streams      = 12
)

// versionsCase: a server starts again under its id with another version of its software, and its
// check-ins arrive late. It crashes while it streams.
func versionsCase(s *site, trouble bool) (bool, error) {
	if err := s.startAll(2, manifest(1)); err != nil {
		return false, err
	}
	upgraded, other := s.newServer(0, "pool", "i-upgraded"), s.newServer(1, "pool", "i-other")
	for _, v := range []*server{upgraded, other} {
		if err := v.start("v1"); err != nil {
			return false, err
		}
	}
	if err := s.awaitServers(10*time.Second, upgraded.id, other.id); err != nil {
		return false, err
	}
	if r := s.send(0, "warm-up", "/chat/x?events=3&gap=5", nil, 5*time.Second); !r.complete || r.status != 200 {
		return false, fmt.Errorf("the first request got %d, %v", r.status, r.err)
	}
	time.Sleep(2 * heartbeatInterval)
	upgraded.end()
	time.Sleep(time.Second)
	if trouble {
		upgraded.setCheckInLag(checkInLag)
	}
	if err := upgraded.start("v2"); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	results := make([]result, streams)
	var wait sync.WaitGroup
	for i := range results {
		wait.Go(func() {
			results[i] = s.send(i%2, fmt.Sprintf("stream-%d", i), "/chat/x?events=60&gap=50", nil, 10*time.Second)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	upgraded.end()
	wait.Wait()
	mixed, begun := 0, 0
	for _, r := range results {
		v1, v2 := strings.Contains(r.body, "written by v1"), strings.Contains(r.body, "written by v2")
		if v2 {
			begun++
		}
		if v1 && v2 {
			mixed++
			s.record.printf("%s has events of v1 and v2 in one answer, complete %t", r.id, r.complete)
		}
	}
	s.record.printf("%d of %d streams began at v2, %d hold events of both versions", begun, streams, mixed)
	if begun <= allowedMixed {
		return false, fmt.Errorf("only %d streams began at the server", begun)
	}
	return mixed > allowedMixed, nil
}
