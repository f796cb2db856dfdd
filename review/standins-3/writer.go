package main

import (
	"encoding/json"
	"fmt"
	"net/http"
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
