package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// streamLost: the member that leads is killed, and a server is lost at about the same time. Callers take up the streams
// that the server had begun, while all other servers are of the same version.
func streamLost(s *site, trouble bool) (int, error) {
	const streams, events, gap = 48, 100, 80 * time.Millisecond
	var servers []*server
	for i := range 3 {
		x := &server{id: fmt.Sprintf("i-%c", 'a'+i), service: "pool", version: "v1", eventInterval: gap}
		if err := s.startServer(x, fmt.Sprintf("%s.%d:0", s.block, 101+i)); err != nil {
			return notRun, err
		}
		servers = append(servers, x)
	}
	if err := s.start(manifest(1, []map[string]any{route("stream", "/stream/", "streaming", "pool", 15*time.Second, true)}, "pool")); err != nil {
		return notRun, err
	}
	if !s.await("/stream/x?events=1", 15*time.Second) {
		return notRun, fmt.Errorf("no stream was served")
	}
	time.Sleep(5 * time.Second)
	leader := s.leader()
	if leader == 0 {
		return notRun, fmt.Errorf("no member leads")
	}
	path := fmt.Sprintf("/stream/x?events=%d", events)
	var inTouch time.Time // from when on the relay is in touch again
	var wait sync.WaitGroup
	var mu sync.Mutex
	takenUp, wentOn := 0, 0
	for n := range streams {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			first := s.send(http.MethodPost, path, "prompt", 15*time.Second, nil)
			if first.complete || len(first.events) == 0 {
				return
			}
			again, sentAt := s.takeUp(1, path, first)
			mu.Lock()
			defer mu.Unlock()
			if inTouch.IsZero() || sentAt.Before(inTouch) {
				return
			}
			takenUp++
			if len(again.events) > 0 {
				wentOn++
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.kill(fmt.Sprintf("member-%d", leader))
	}
	time.Sleep(500 * time.Millisecond)
	servers[0].crash()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if _, err := s.startProcess("member", leader); err != nil {
			return notRun, err
		}
		mu.Lock()
		inTouch = time.Now().Add(contactTime)
		mu.Unlock()
		time.Sleep(contactTime)
		s.record.log("the relay is in touch again")
	}
	begun := 0
	for range 12 {
		if a := s.send(http.MethodPost, "/stream/y?events=2", "prompt", 5*time.Second, nil); a.complete {
			begun++
		}
	}
	wait.Wait()
	s.record.log("%d of 12 new streams begin; %d streams were taken up at a relay in touch while two servers of their version served, and %d went on", begun, takenUp, wentOn)
	switch {
	case takenUp >= 12 && float64(wentOn)/float64(takenUp) < float64(begun)/12/2:
		return broken, nil
	case trouble && takenUp < 12:
		return notRun, fmt.Errorf("only %d streams were taken up", takenUp)
	}
	return held, nil
}

// takeUp takes up a stream that has broken off at a relay, again after each refusal: when the answer says, or after two seconds. It
// returns the last answer and when its request was sent.
func (s *site) takeUp(relay int, path string, first answer) (answer, time.Time) {
	deadline := first.sentAt.Add(15 * time.Second)
	for {
		again := s.sendTo(relay, http.MethodPost, path, "prompt", time.Until(deadline), map[string]string{
			"Last-Event-Id": first.events[len(first.events)-1].id, "Resumes": first.id,
		})
		pause := again.retryAfter
		if pause == 0 {
			pause = 2 * time.Second
		}
		if len(again.events) > 0 || time.Until(deadline) < pause+time.Second {
			return again, again.sentAt
		}
		time.Sleep(pause)
	}
}

// untoldStreams: all members are killed and are back within a second. A relay on which streams begin meanwhile is killed
// before they are back. Callers take these streams up at the other relay, while two versions serve.
func untoldStreams(s *site, trouble bool) (int, error) {
	const streams, events, gap = 24, 100, 80 * time.Millisecond
	for i := range 4 {
		x := &server{id: fmt.Sprintf("i-%c", 'a'+i), service: "pool", version: fmt.Sprintf("v%d", 1+i%2), eventInterval: gap}
		if err := s.startServer(x, fmt.Sprintf("%s.%d:0", s.block, 101+i)); err != nil {
			return notRun, err
		}
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
	begun := time.Now()
	if trouble {
		for n := 1; n <= members; n++ {
			s.kill(fmt.Sprintf("member-%d", n))
		}
	}
	path := fmt.Sprintf("/stream/x?events=%d", events)
	var inTouch time.Time // from when on the second relay is in touch
	var wait sync.WaitGroup
	var mu sync.Mutex
	takenUp, wentOn := 0, 0
	for n := range streams {
		wait.Go(func() {
			time.Sleep(50*time.Millisecond + time.Duration(n)*10*time.Millisecond)
			first := s.send(http.MethodPost, path, "prompt", 15*time.Second, nil)
			if first.complete || len(first.events) == 0 {
				return
			}
			again, sentAt := s.takeUp(2, path, first)
			mu.Lock()
			defer mu.Unlock()
			if sentAt.Before(inTouch) && len(again.events) == 0 {
				return
			}
			takenUp++
			if len(again.events) > 0 {
				wentOn++
			}
		})
	}
	time.Sleep(time.Until(begun.Add(800 * time.Millisecond)))
	s.kill(fmt.Sprintf("relay-%d", members+1))
	time.Sleep(time.Until(begun.Add(900 * time.Millisecond)))
	if trouble {
		for n := 1; n <= members; n++ {
			if _, err := s.startProcess("member", n); err != nil {
				return notRun, err
			}
		}
	}
	mu.Lock()
	inTouch = time.Now().Add(contactTime)
	mu.Unlock()
	if _, err := s.startProcess("relay", members+1); err != nil {
		return notRun, err
	}
	time.Sleep(contactTime)
	s.record.log("the second relay is in touch again")
	newOnes := 0
	for range 12 {
		if a := s.sendTo(2, http.MethodPost, "/stream/y?events=2", "prompt", 5*time.Second, nil); a.complete {
			newOnes++
		}
	}
	wait.Wait()
	s.record.log("%d of 12 new streams begin; %d streams were taken up at a relay in touch while two servers of their version served, and %d went on", newOnes, takenUp, wentOn)
	switch {
	case takenUp >= 12 && float64(wentOn)/float64(takenUp) < float64(newOnes)/12/2:
		return broken, nil
	case takenUp < 12:
		return notRun, fmt.Errorf("only %d streams were taken up", takenUp)
	}
	return held, nil
}
