package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The traffic of the case with a server that is back at another software version.
const (
	versionStreams  = 10
	versionEvents   = 100
	versionPause    = 50 * time.Millisecond
	brokenOffAfter  = 800 * time.Millisecond
	downTime        = 2 * time.Second         // from the end of the server until it is back
	checkInLateness = 3500 * time.Millisecond // how late the server's check-ins arrive
	clientTries     = 5
	allowedMixed    = 2
	formerVersion   = "v1"
	newVersion      = "v2"
)

// versionCase is a case in which the last server of a version is back at another one.
type versionCase struct {
	site *site

	mu         sync.Mutex
	mixed      []string
	whole      int
	unfinished int
}

// startModelServer starts a model server that streams events of its version.
func (s *site) startModelServer(i int, version string, lateness time.Duration, events int, pause time.Duration) (*server, error) {
	v := s.newServer(i, modelService)
	v.version, v.lateness = version, lateness
	v.answer = func(conn net.Conn, r *http.Request, _ []byte) bool { return serveStream(v, conn, r, events, pause) }
	return v, v.start()
}

// client reads one stream, and takes it up again when it breaks off.
func (c *versionCase) client(number int) {
	st := stream{number: number, events: versionEvents}
	for try := 0; try < clientTries && !st.complete; try++ {
		result := st.try(c.site, (number+try)%2)
		if !st.complete {
			time.Sleep(max(result.retryAfter, defaultRetryPause))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(st.versions) > 1:
		c.mixed = append(c.mixed, fmt.Sprintf("stream %d: %v", number, st.versions))
	case st.complete:
		c.whole++
	default:
		c.unfinished++
	}
}

// playVersions ends the last server of a version under its streams. It is back under its name at
// another version, and its check-ins arrive late.
func playVersions(s *site, trouble bool) ([]string, error) {
	c := &versionCase{site: s}
	if err := s.startGroup(baseManifest(1)); err != nil {
		return nil, err
	}
	for i := range 2 {
		if _, err := s.startRelay(i); err != nil {
			return nil, err
		}
	}
	lateness := time.Duration(envNumber("LATE_MS", int(checkInLateness.Milliseconds()))) * time.Millisecond
	last, err := s.startModelServer(0, formerVersion, lateness, versionEvents, versionPause)
	if err != nil {
		return nil, err
	}
	for i := range 2 {
		if err := s.awaitReady(i); err != nil {
			return nil, err
		}
	}
	time.Sleep(lateness + time.Second)
	var clients sync.WaitGroup
	for i := range versionStreams {
		clients.Go(func() { c.client(i) })
	}
	time.Sleep(brokenOffAfter / 2)
	for i := 1; i <= 2; i++ { // the other servers have the new version already
		if _, err := s.startModelServer(i, newVersion, 0, versionEvents, versionPause); err != nil {
			return nil, err
		}
	}
	time.Sleep(brokenOffAfter / 2)
	if trouble {
		if err := c.restart(last); err != nil {
			return nil, err
		}
	}
	clients.Wait()
	fmt.Printf("%d streams whole, %d unfinished, %d of two versions\n", c.whole, c.unfinished, len(c.mixed))
	s.rec.line("%d streams whole and of one version, %d unfinished, %d of two versions", c.whole, c.unfinished, len(c.mixed))
	if len(c.mixed) <= allowedMixed {
		return nil, nil
	}
	return []string{fmt.Sprintf("ORDER: %d streams hold events of two versions, %d are allowed; %s", len(c.mixed), allowedMixed, c.mixed[0])}, nil
}

// restart ends a server and starts it again under its name at the new version.
func (c *versionCase) restart(v *server) error {
	v.stop()
	c.site.rec.line("server: %s at %s ends", v.id, v.version)
	time.Sleep(downTime)
	v.mu.Lock()
	v.version = newVersion
	v.mu.Unlock()
	if err := v.start(); err != nil {
		return err
	}
	c.site.rec.line("server: %s is back at %s; its check-ins arrive %v late", v.id, newVersion, v.lateness)
	return nil
}
