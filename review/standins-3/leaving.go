package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// traffic sends requests at a steady pace until stop is closed, and returns the answers.
func (s *site) traffic(method, path string, gap time.Duration, stop <-chan struct{}) func() []answer {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	wait.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(gap):
			}
			wait.Go(func() {
				a := s.send(method, path, "posting", 2*time.Second, nil)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	return func() []answer {
		wait.Wait()
		return answers
	}
}

// leavingForgotten: a server is started again under its id and leaves a second later, while its check-ins take
// seconds. The relay has passed on answers that say so, and sends it requests again.
func leavingForgotten(s *site, trouble bool) (int, error) {
	var delay time.Duration
	if trouble {
		delay = 4 * time.Second
	}
	work := 20 * time.Millisecond
	a := &server{id: "i-a", service: "ledger", version: "v1", checkInDelay: delay, workTime: work}
	b := &server{id: "i-b", service: "ledger", version: "v1", workTime: work}
	if err := s.startServer(a, s.block+".101:0"); err != nil {
		return notRun, err
	}
	if err := s.startServer(b, s.block+".102:0"); err != nil {
		return notRun, err
	}
	if err := s.start(manifest(1, []map[string]any{route("post", "/post/", "mutating", "ledger", 2*time.Second, false)}, "ledger")); err != nil {
		return notRun, err
	}
	if !s.await("/post/x", 15*time.Second) {
		return notRun, fmt.Errorf("no posting was served")
	}
	time.Sleep(delay + 3*time.Second)
	stop := make(chan struct{})
	finish := s.traffic(http.MethodPost, "/post/x", 40*time.Millisecond, stop)
	time.Sleep(time.Second)
	a.crash()
	time.Sleep(200 * time.Millisecond)
	next := &server{id: "i-a", service: "ledger", version: "v1", checkInDelay: delay, workTime: work}
	if err := s.startServer(next, a.address); err != nil {
		return notRun, err
	}
	time.Sleep(1500 * time.Millisecond)
	next.leave()
	time.Sleep(delay + 3*time.Second)
	close(stop)
	answers := finish()
	var passedOn time.Time
	sent := map[string]time.Time{}
	for _, x := range answers {
		sent[x.id] = x.sentAt
		if x.leaving && (passedOn.IsZero() || x.endedAt.Before(passedOn)) {
			passedOn = x.endedAt
		}
	}
	if passedOn.IsZero() && !trouble {
		s.record.log("the relay knew that the server leaves before an answer said so")
		return held, nil
	}
	if passedOn.IsZero() {
		return notRun, fmt.Errorf("no answer said that the server leaves")
	}
	late := 0
	for _, x := range next.allArrivals() {
		if at, ok := sent[x.id]; ok && at.Sub(passedOn) > drainTime {
			late++
			s.record.log("request %s was sent %d ms after the first answer with Server-Leaving, and has reached the server", x.id, at.Sub(passedOn).Milliseconds())
		}
	}
	s.record.log("%d requests reached the server that leaves, sent more than %v after an answer that said so; the rule allows none", late, drainTime)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
