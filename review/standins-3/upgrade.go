package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// upgraded: six of 12 servers leave as planned, three at a time, and start again under their ids at the next version, as
// in a release. Callers whose streams break off when their server ends take them up at the other relay a second later, while six
// servers of their version serve. Without the trouble the six start again at the version that they had.
func upgraded(s *site, trouble bool) (int, error) {
	const streams, events, gap, replaced, atOnce = 96, 160, 80 * time.Millisecond, 6, 3
	const callerPause = time.Second // before the first retry
	var servers []*server
	for i := range 12 {
		x := &server{id: fmt.Sprintf("i-%c", 'a'+i), service: "pool", version: "v1", eventInterval: gap}
		if err := s.startServer(x, fmt.Sprintf("%s.%d:0", s.block, 101+i)); err != nil {
			return notRun, err
		}
		servers = append(servers, x)
	}
	if err := s.start(manifest(1, []map[string]any{route("stream", "/stream/", "streaming", "pool", 15*time.Second, true)}, "pool")); err != nil {
		return notRun, err
	}
	if _, err := s.startProcess("relay", members+2); err != nil {
		return notRun, err
	}
	if !s.await("/stream/x?events=1", 15*time.Second) {
		return notRun, fmt.Errorf("no stream was served")
	}
	time.Sleep(5 * time.Second)
	path := fmt.Sprintf("/stream/x?events=%d", events)
	var wait sync.WaitGroup
	var mu sync.Mutex
	takenUp, wentOn, inOneAnswer := 0, 0, 0
	for n := range streams {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			first := s.send(http.MethodPost, path, "prompt", 15*time.Second, nil)
			if first.complete || len(first.events) == 0 {
				mu.Lock()
				defer mu.Unlock()
				inOneAnswer++
				return
			}
			time.Sleep(callerPause)
			again, _ := s.takeUp(2, path, first)
			mu.Lock()
			defer mu.Unlock()
			takenUp++
			if len(again.events) > 0 {
				wentOn++
			}
		})
	}
	time.Sleep(3500 * time.Millisecond)
	next := "v1"
	if trouble {
		next = "v2"
	}
	var release sync.WaitGroup
	failed := make(chan error, replaced)
	for i, x := range servers[:replaced] {
		release.Go(func() {
			time.Sleep(time.Duration(i/atOnce) * time.Second)
			if err := s.replace(x, next); err != nil {
				failed <- err
			}
		})
	}
	release.Wait()
	select {
	case err := <-failed:
		return notRun, err
	default:
	}
	newOnes := 0
	for range 12 {
		if a := s.sendTo(2, http.MethodPost, "/stream/y?events=2", "prompt", 5*time.Second, nil); a.complete {
			newOnes++
		}
	}
	wait.Wait()
	s.record.log("%d of 12 new streams begin; %d of %d streams came in one answer; %d were taken up at a relay in touch while six servers of their version served, and %d went on",
		newOnes, inOneAnswer, streams, takenUp, wentOn)
	switch {
	case takenUp >= 12 && float64(wentOn)/float64(takenUp) < float64(newOnes)/12/2:
		return broken, nil
	case trouble && takenUp < 12:
		return notRun, fmt.Errorf("only %d streams were taken up", takenUp)
	}
	return held, nil
}

// replace makes a server leave as planned: it reports draining, serves for drainTime after the confirmation and a little
// longer, sends its Leave and ends. It starts again under its id and address at a version.
func (s *site) replace(x *server, version string) error {
	x.leave()
	for begin := time.Now(); x.ackedAt.Load() == 0; time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 4*time.Second {
			return fmt.Errorf("no member confirmed that %s is draining", x.id)
		}
	}
	time.Sleep(drainTime + 200*time.Millisecond)
	status := 0
	for n := range members {
		if status, _ = post(s.control(n%members+1), "/-/Instances.Leave/"+x.id, x.checkIn(), time.Second); status == http.StatusOK {
			break
		}
	}
	s.record.log("server %s %s sends its Leave: %d", x.id, x.version, status)
	x.crash()
	time.Sleep(300 * time.Millisecond)
	return s.startServer(&server{id: x.id, service: x.service, version: version, eventInterval: x.eventInterval}, x.address)
}
