package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// takenUpStreams are begun at one relay, newStreams later at another one.
	takenUpStreams, newStreams = 24, 12
	// minTakenUp is the number of streams from which the rule applies.
	minTakenUp = 12
	// contactTime is contactMs of the sheets.
	contactTime = 3 * time.Second
	streamPath  = "/chat/x?events=120&gap=100"
)

// recordsCase: the processes of the core are killed together and start again while streams run.
// Later the relay of these streams is killed, and the clients take the streams up at another one.
func recordsCase(s *site, trouble bool) (bool, error) {
	if err := s.startAll(3, manifest(1)); err != nil {
		return false, err
	}
	var ids []string
	for n, version := range []string{"v1", "v1", "v2", "v2"} {
		v := s.newServer(n, "pool", fmt.Sprintf("i-%d-%s", n, version))
		if err := v.start(version); err != nil {
			return false, err
		}
		ids = append(ids, v.id)
	}
	if err := s.awaitServers(10*time.Second, ids...); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeatInterval)
	begun := make([]result, takenUpStreams)
	var clients sync.WaitGroup
	for i := range begun {
		clients.Go(func() { begun[i] = s.send(0, fmt.Sprintf("stream-%d", i), streamPath, nil, 15*time.Second) })
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for _, p := range s.members {
			s.signal(p, syscall.SIGKILL)
		}
		time.Sleep(300 * time.Millisecond)
		for _, p := range s.members {
			if err := s.launch(p); err != nil {
				return false, err
			}
		}
	}
	// The core has been stable for more than contactMs then.
	time.Sleep(contactTime + 2500*time.Millisecond)
	s.signal(s.relays[0], syscall.SIGKILL)
	clients.Wait()
	goesOn, fresh := make([]bool, takenUpStreams), make([]bool, newStreams)
	for i, b := range begun {
		if b.complete || !strings.Contains(b.body, "id: ") {
			return false, fmt.Errorf("%s was not broken off after its begin", b.id)
		}
		clients.Go(func() { goesOn[i] = s.takeUp(b) })
	}
	for i := range fresh {
		clients.Go(func() {
			r := s.send(1, fmt.Sprintf("new-%d", i), "/chat/x?events=5&gap=50", nil, 5*time.Second)
			fresh[i] = r.status == 200 && strings.Contains(r.body, "id: 1\n")
		})
	}
	clients.Wait()
	shareOn, shareNew := share(goesOn), share(fresh)
	s.record.printf("%d streams taken up, share that goes on %.2f; %d new streams, share that begins %.2f", takenUpStreams, shareOn, newStreams, shareNew)
	if takenUpStreams < minTakenUp || shareNew == 0 {
		return false, fmt.Errorf("no new stream began")
	}
	return shareOn < shareNew/2, nil
}

// takeUp takes a stream up at relay 1 that was broken off, and reports whether it goes on with the
// event after the last one, at the version that began it.
func (s *site) takeUp(b result) bool {
	complete := b.body[:strings.LastIndex(b.body, "\n\n")+2]
	last := complete[strings.LastIndex(complete, "id: ")+len("id: "):]
	number, err := strconv.Atoi(last[:strings.Index(last, "\n")])
	if err != nil {
		return false
	}
	r := s.send(1, b.id+"-again", streamPath, map[string]string{"Last-Event-Id": strconv.Itoa(number), "Resumes": b.id}, 8*time.Second)
	version := "v1"
	if strings.Contains(b.body, "written by v2") {
		version = "v2"
	}
	ok := r.status == 200 && strings.HasPrefix(r.body, event(number+1, version))
	s.record.printf("%s, begun at %s, taken up after event %d: status %d, goes on %t", b.id, version, number, r.status, ok)
	return ok
}

func share(of []bool) float64 {
	n := 0
	for _, b := range of {
		if b {
			n++
		}
	}
	return float64(n) / float64(len(of))
}
