package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The traffic of the cases with a part of a prompt that ends servers. Share and duration are those of
// the day in LETTER-11.md.
const (
	deadlyPart     = "dead0001"
	deadlyShare    = 20 // one request in so many has the part: 0.05
	deadlyDuration = 22 * time.Second
	requestPause   = 50 * time.Millisecond
	restartTime    = 2 * time.Second // from the end of a server until it is back
	crashesUntil   = 5               // BUDGET counts from the fifth crash
	allowedLate    = 3
	relayCount     = 3
	serverCount    = 8
	streamEvents   = 10
	eventPause     = 60 * time.Millisecond
)

// deadlyCase is a case with a part of a prompt that ends each server that begins to answer on it.
type deadlyCase struct {
	site    *site
	trouble bool
	// partsBefore is the number of parts that stand before the deadly one in each prompt.
	partsBefore int

	mu       sync.Mutex
	deadly   bool // servers end under the part from now on
	crashes  []time.Time
	late     int // requests with the part that reached a server later than contactMs after the fifth crash
	arrivals int // requests with the part that reached a server
	cut      int // sound requests that got no complete answer
	answered int // sound requests that got one
	refused  int // requests with the part that the system refused
	number   int
}

// begin starts the group and the relays.
func (d *deadlyCase) begin() error {
	if err := d.site.startGroup(baseManifest(1)); err != nil {
		return err
	}
	for i := range relayCount {
		if _, err := d.site.startRelay(i); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts model servers of a software version.
func (d *deadlyCase) startServers(first int, version string) ([]*server, error) {
	var servers []*server
	for i := range serverCount {
		v := d.site.newServer(first+i, modelService)
		v.version = version
		v.answer = func(c net.Conn, r *http.Request, _ []byte) bool { return d.answer(v, c, r) }
		if err := v.start(); err != nil {
			return nil, err
		}
		servers = append(servers, v)
	}
	return servers, nil
}

// awaitService waits until all relays are ready and know the servers.
func (d *deadlyCase) awaitService() error {
	for i := range relayCount {
		if err := d.site.awaitReady(i); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}

// answer answers a request with a stream of events, or ends the server if the prompt has the part.
func (d *deadlyCase) answer(v *server, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	hasPart := strings.Contains(r.Header.Get("X-Prefix-Hash"), deadlyPart)
	if hasPart && d.arrived(v, id) {
		_, _ = io.WriteString(c, okHead(r, "seal-"+id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
		writeEvents(c, time.Duration(envNumber("CRASH_AFTER_MS", 0))*time.Millisecond)
		d.crash(v)
		return false
	}
	time.Sleep(30 * time.Millisecond)
	return writeStream(c, r, streamEvents, eventPause)
}

// writeEvents writes events of a stream for some time.
func writeEvents(c net.Conn, duration time.Duration) {
	for i, end := 1, time.Now().Add(duration); time.Now().Before(end); i++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// arrived counts a request with the part, and reports whether the server ends under it.
func (d *deadlyCase) arrived(v *server, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.deadly {
		return false
	}
	now := time.Now()
	d.arrivals++
	if len(d.crashes) >= crashesUntil && now.Sub(d.crashes[crashesUntil-1]) > contactTime {
		d.late++
	}
	d.crashes = append(d.crashes, now)
	d.site.rec.line("server: %s begins to answer %s, which has the part, and ends; crash %d, late %d", v.id, id, len(d.crashes), d.late)
	return true
}

// crash ends a server and starts it again.
func (d *deadlyCase) crash(v *server) {
	v.stop()
	go func() {
		time.Sleep(restartTime)
		if err := v.start(); err != nil {
			d.site.rec.line("server: %s: %v", v.id, err)
		}
	}()
}

// prompt returns the header fields that describe a request's prompt.
func (d *deadlyCase) prompt(hasPart bool) string {
	var parts []string
	for i := range d.partsBefore {
		parts = append(parts, fmt.Sprintf("aa%06x:64", i+1))
	}
	if hasPart {
		parts = append(parts, deadlyPart+":64")
	} else {
		parts = append(parts, fmt.Sprintf("bb%06x:64", 1+rand.Intn(50)))
	}
	parts = append(parts, fmt.Sprintf("cc%06x:64", rand.Intn(1<<24)))
	return fmt.Sprintf("X-Model: m\r\nX-Token-Count: %d,50\r\nX-Prefix-Hash: %s\r\n", 64*len(parts), strings.Join(parts, ","))
}

// send sends requests for some time. One in deadlyShare has the part if withPart is set.
func (d *deadlyCase) send(duration time.Duration, withPart bool) {
	var wait sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(requestPause) {
		d.number++
		number, hasPart := d.number, withPart && d.number%deadlyShare == 0
		wait.Go(func() { d.request(number, hasPart) })
	}
	wait.Wait()
}

// request sends one request to one of the relays and counts its answer. Those with the part, and every
// second sound one, go to the route whose streams may be resumed; the others may run once.
func (d *deadlyCase) request(number int, hasPart bool) {
	id, relay, path := newRequestID(), number%relayCount, reviewPath
	if !hasPart && number%2 == 1 {
		path = queryPath
	}
	a := exchange(d.site.frontAddress(relay), "POST", fmt.Sprintf("%s%d", path, number), id, 8*time.Second, d.prompt(hasPart), fmt.Sprintf("prompt %d", number))
	complete := a.status == 200 && a.err == nil
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !hasPart && complete:
		d.answered++
	case !hasPart:
		d.cut++
		d.site.rec.line("client: sound request %s (%s) at front-%d got %d, %v", id, path, relay+1, a.status, a.err)
	case a.status != 200 && a.status != 502:
		d.refused++
	}
}

// verdict returns what was broken.
func (d *deadlyCase) verdict() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.site.rec.line("sound requests: %d answered, %d without a complete answer", d.answered, d.cut)
	d.site.rec.line("requests with the part: %d reached servers, %d of them later than %v after crash %d; %d were refused; %d crashes",
		d.arrivals, d.late, contactTime, crashesUntil, d.refused, len(d.crashes))
	fmt.Printf("%d crashes, %d late requests with the part, %d sound requests answered, %d without a complete answer\n", len(d.crashes), d.late, d.answered, d.cut)
	if d.late <= allowedLate {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: %d requests with the part reached servers later than %v after the fifth crash, %d are allowed; %d sound requests got no complete answer",
		d.late, contactTime, allowedLate, d.cut)}
}

// setDeadly makes the part end servers, unless the case runs without trouble.
func (d *deadlyCase) setDeadly() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadly = d.trouble
}

// playDeadly plays a case in which the part ends servers from the start.
func playDeadly(d *deadlyCase) ([]string, error) {
	if err := d.begin(); err != nil {
		return nil, err
	}
	if _, err := d.startServers(0, "v1"); err != nil {
		return nil, err
	}
	if err := d.awaitService(); err != nil {
		return nil, err
	}
	d.setDeadly()
	d.send(deadlyDuration, true)
	return d.verdict(), nil
}

// playPartFarBack plays the case of a long prompt: the part stands behind many others.
func playPartFarBack(s *site, trouble bool) ([]string, error) {
	const partsBefore = 17
	return playDeadly(&deadlyCase{site: s, trouble: trouble, partsBefore: envNumber("PARTS_BEFORE", partsBefore)})
}

// soundDuration is how long the part is answered by the servers of the former version.
const soundDuration = 10 * time.Second

// playPartKnownAsSound plays the case of a part that servers have answered until a release.
func playPartKnownAsSound(s *site, trouble bool) ([]string, error) {
	d := &deadlyCase{site: s, trouble: trouble, partsBefore: 2}
	if err := d.begin(); err != nil {
		return nil, err
	}
	former, err := d.startServers(0, "v1")
	if err != nil {
		return nil, err
	}
	if err := d.awaitService(); err != nil {
		return nil, err
	}
	d.send(soundDuration, envNumber("SOUND_BEFORE", 1) != 0)
	if _, err := d.startServers(serverCount, "v2"); err != nil {
		return nil, err
	}
	for _, v := range former {
		go v.leave()
	}
	d.send(drainTime+4*time.Second, false)
	s.rec.line("platform: the release is over; all servers are of version v2")
	d.setDeadly()
	d.send(deadlyDuration, true)
	return d.verdict(), nil
}
