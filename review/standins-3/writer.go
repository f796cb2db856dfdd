package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// foreignCheckIn sends a check-in of another writer, which lacks fields, to all members.
func (s *site) foreignCheckIn(id string, fields map[string]any) {
	body, _ := json.Marshal(fields)
	for n := 1; n <= members; n++ {
		status, _ := post(s.control(n), "/-/Instances.Heartbeat/"+id, body, time.Second)
		s.record.log("another writer sends check-in of %s %s to member-%d: %d", id, body, n, status)
	}
}

// wrongService: a check-in of another writer, without zone, version and coldLeftMs, names a server of one service as
// one of another service.
func wrongService(s *site, trouble bool) (int, error) {
	work := 20 * time.Millisecond
	ledger := &server{id: "i-ledger", service: "ledger", version: "v1", workTime: work}
	desk := &server{id: "i-desk", service: "desk", version: "v1", workTime: work}
	for i, x := range []*server{ledger, desk} {
		if err := s.startServer(x, fmt.Sprintf("%s.%d:0", s.block, 101+i)); err != nil {
			return notRun, err
		}
	}
	routes := []map[string]any{
		route("post", "/post/", "mutating", "ledger", 2*time.Second, false),
		route("order", "/order/", "mutating", "desk", 2*time.Second, false),
	}
	if err := s.start(manifest(1, routes, "ledger", "desk")); err != nil {
		return notRun, err
	}
	if !s.await("/post/x", 15*time.Second) || !s.await("/order/x", 15*time.Second) {
		return notRun, fmt.Errorf("no request was served")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.foreignCheckIn("i-desk", map[string]any{
			"service": "ledger", "addr": desk.address, "slots": 16, "state": "ready", "seq": 1000, "born": desk.born,
		})
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	finish := s.traffic(http.MethodPost, "/post/x", 40*time.Millisecond, stop)
	time.Sleep(3 * time.Second)
	close(stop)
	answers := finish()
	wrong := 0
	for _, x := range desk.allArrivals() {
		if x.ran && x.path == "/post/x" {
			wrong++
		}
	}
	s.record.log("%d of %d postings were run by the desk service, to which no manifest allows them to go", wrong, len(answers))
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// drainingIgnored: a check-in of another writer, without zone and coldLeftMs, has a sequence number that is far ahead.
// The server's own check-ins are confirmed after that, and ignored: also that it drains.
func drainingIgnored(s *site, trouble bool) (int, error) {
	work := 20 * time.Millisecond
	servers := []*server{
		{id: "i-a", service: "ledger", version: "v1", workTime: work}, {id: "i-b", service: "ledger", version: "v1", workTime: work},
	}
	for i, x := range servers {
		if err := s.startServer(x, fmt.Sprintf("%s.%d:0", s.block, 101+i)); err != nil {
			return notRun, err
		}
	}
	if err := s.start(manifest(1, []map[string]any{route("post", "/post/", "mutating", "ledger", 2*time.Second, false)}, "ledger")); err != nil {
		return notRun, err
	}
	if !s.await("/post/x", 15*time.Second) {
		return notRun, fmt.Errorf("no posting was served")
	}
	time.Sleep(2 * time.Second)
	a := servers[0]
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		go func() {
			for seq := 1000; ; seq++ {
				s.foreignCheckIn(a.id, map[string]any{
					"service": "ledger", "addr": a.address, "slots": 16, "state": "ready", "seq": seq, "born": a.born,
				})
				select {
				case <-stop:
					return
				case <-time.After(heartbeat):
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	a.leave()
	for begin := time.Now(); a.ackedAt.Load() == 0; time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			return notRun, fmt.Errorf("the draining of the server was not confirmed")
		}
	}
	acked := time.Unix(0, a.ackedAt.Load())
	s.record.log("the draining of %s is confirmed", a.id)
	time.Sleep(drainTime + 500*time.Millisecond)
	var wait sync.WaitGroup
	for range 12 {
		wait.Go(func() { s.send(http.MethodPost, "/post/x", "posting", 2*time.Second, nil) })
	}
	wait.Wait()
	late := 0
	for _, x := range a.allArrivals() {
		if x.at.Sub(acked) > drainTime {
			late++
		}
	}
	s.record.log("%d requests reached the server later than %v after its draining was confirmed; the rule allows none", late, drainTime)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
