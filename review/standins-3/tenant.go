package main

import (
	"fmt"
	"net/http"
	"time"
)

// revokeTime is revokeMs of the small deployments.
const revokeTime = 5 * time.Second

// lastTenant: a manifest takes the only tenant away, and its key with it.
func lastTenant(s *site, trouble bool) (int, error) {
	x := &server{id: "i-a", service: "ledger", version: "v1", workTime: 20 * time.Millisecond}
	if err := s.startServer(x, s.block+".101:0"); err != nil {
		return notRun, err
	}
	routes := []map[string]any{route("post", "/post/", "mutating", "ledger", 2*time.Second, false)}
	if err := s.start(manifest(1, routes, "ledger")); err != nil {
		return notRun, err
	}
	if !s.await("/post/x", 15*time.Second) {
		return notRun, fmt.Errorf("no posting was served")
	}
	if a := s.send(http.MethodPost, "/post/x", "posting", 2*time.Second, map[string]string{"Api-Key": "key-that-never-was"}); a.status != http.StatusUnauthorized {
		return notRun, fmt.Errorf("an unknown key got %d before the change", a.status)
	}
	next := manifest(2, routes, "ledger")
	if trouble {
		next["tenants"] = []map[string]any{}
	}
	if !s.putManifest(next, 10*time.Second) {
		return notRun, fmt.Errorf("the second manifest was not acknowledged")
	}
	time.Sleep(revokeTime + time.Second)
	ran := map[string]int{}
	for _, key := range []string{apiKey, "key-that-never-was"} {
		for range 10 {
			a := s.send(http.MethodPost, "/post/x", "posting", 2*time.Second, map[string]string{"Api-Key": key})
			for _, r := range x.allArrivals() {
				if r.ran && r.id == a.id {
					ran[key]++
				}
			}
		}
	}
	s.record.log("10 postings with the key of the tenant, %d ran; 10 with a key that no manifest has held, %d ran; tenants left: %v", ran[apiKey], ran["key-that-never-was"], !trouble)
	if trouble && ran[apiKey] > 0 || ran["key-that-never-was"] > 0 {
		return broken, nil
	}
	return held, nil
}
