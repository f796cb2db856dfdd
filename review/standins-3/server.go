package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that has reached a server.
type arrival struct {
	at      time.Time
	id      string
	server  string
	service string
	ran     bool
	method  string
	path    string
}

// server is a stand-in for one boot of a backend server. It runs what it gets unless the request names
// another server, sends check-ins, and says in all its answers that it leaves once it does.
type server struct {
	site          *site
	id            string
	service       string
	version       string
	address       string
	born          int64
	checkInDelay  time.Duration // how long each check-in is on its way
	workTime      time.Duration
	eventInterval time.Duration

	http     *http.Server
	stopped  chan struct{}
	leaving  atomic.Bool
	sequence atomic.Uint64
	ackedAt  atomic.Int64 // when a member first confirmed that the server is draining, in ns

	mu       sync.Mutex
	arrivals []arrival
	worked   map[string]time.Time // when the server ended its work on a request
	running  int
}

// startServer starts a boot of a server. Its address is that of its host and a port; port 0 takes a free one.
func (s *site) startServer(x *server, address string) error {
	x.site, x.stopped, x.born = s, make(chan struct{}), time.Now().UnixMilli()
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	x.address = listener.Addr().String()
	x.http = &http.Server{Handler: http.HandlerFunc(x.handle)}
	go func() { _ = x.http.Serve(listener) }()
	go x.sendCheckIns()
	s.mu.Lock()
	s.cleanups = append([]func(){x.crash}, s.cleanups...)
	s.mu.Unlock()
	s.record.log("server %s of %s %s starts at %s, born %d", x.id, x.service, x.version, x.address, x.born)
	return nil
}

// crash ends the server at once, with all its channels.
func (x *server) crash() {
	select {
	case <-x.stopped:
		return
	default:
	}
	close(x.stopped)
	_ = x.http.Close()
	x.site.record.log("server %s %s ends", x.id, x.version)
}

func (x *server) ended() bool {
	select {
	case <-x.stopped:
		return true
	default:
		return false
	}
}

// checkIn returns the body of the next check-in.
func (x *server) checkIn() []byte {
	state := "ready"
	if x.leaving.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": x.service, "addr": x.address, "zone": "zone-1", "version": x.version, "slots": 16, "state": state,
		"coldLeftMs": 0, "seq": x.sequence.Add(1), "born": x.born,
	})
	return body
}

// sendCheckIns sends a check-in every heartbeat, and to the next member if there is no answer within a second.
// What is on its way when the server ends arrives all the same.
func (x *server) sendCheckIns() {
	next := 0
	for !x.ended() {
		begun := time.Now()
		for range members {
			if x.ended() {
				return
			}
			acked := make(chan bool, 1)
			x.sendCheckIn(next, acked)
			next++
			select {
			case ok := <-acked:
				if ok {
					goto pause
				}
			case <-time.After(time.Second):
			case <-x.stopped:
				return
			}
		}
	pause:
		select {
		case <-x.stopped:
		case <-time.After(max(heartbeat-time.Since(begun), 50*time.Millisecond)):
		}
	}
}

// sendCheckIn sends one check-in, which arrives after checkInDelay.
func (x *server) sendCheckIn(n int, acked chan<- bool) {
	body := x.checkIn()
	draining := x.leaving.Load()
	x.site.record.log("server %s %s sends check-in %s", x.id, x.version, body)
	go func() {
		time.Sleep(x.checkInDelay)
		status, _ := post(x.site.control(n%members+1), "/-/Instances.Heartbeat/"+x.id, body, time.Second)
		x.site.record.log("check-in of %s %s seq %d at member-%d: %d", x.id, x.version, sequenceOf(body), n%members+1, status)
		if status == http.StatusOK && draining {
			x.ackedAt.CompareAndSwap(0, time.Now().UnixNano())
		}
		acked <- status == http.StatusOK
	}()
}

func sequenceOf(body []byte) int {
	var w struct{ Seq int }
	_ = json.Unmarshal(body, &w)
	return w.Seq
}

// leave makes the server leave as planned: it says so in its answers and in a check-in at once, and goes on
// serving.
func (x *server) leave() {
	x.site.record.log("server %s %s leaves", x.id, x.version)
	x.leaving.Store(true)
	acked := make(chan bool, members)
	go func() {
		for n := 0; !x.ended() && x.ackedAt.Load() == 0; n++ {
			x.sendCheckIn(n, acked)
			select {
			case <-acked:
			case <-time.After(time.Second):
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

func (x *server) note(a arrival) {
	a.at, a.server, a.service = time.Now(), x.id, x.service
	x.mu.Lock()
	x.arrivals = append(x.arrivals, a)
	x.mu.Unlock()
	x.site.record.log("request %s %s %s reaches %s (%s %s), run %v", a.id, a.method, a.path, x.id, x.service, x.version, a.ran)
}

func (x *server) allArrivals() []arrival {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]arrival(nil), x.arrivals...)
}

func (x *server) handle(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	x.mu.Lock()
	running := x.running
	x.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,16", running))
	w.Header().Set("Keep-Alive", "timeout=10")
	if x.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if q.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", x.id)
		return
	}
	w.Header().Set("X-Request-Id", id)
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != x.id {
		x.note(arrival{id: id, method: q.Method, path: q.URL.Path})
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.note(arrival{id: id, ran: true, method: q.Method, path: q.URL.Path})
	x.mu.Lock()
	x.running++
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.running--
	}()
	w.Header().Set("X-Server-Seal", "seal."+x.id+"."+id)
	if events, _ := strconv.Atoi(q.URL.Query().Get("events")); events > 0 {
		x.stream(w, q, events)
		return
	}
	select {
	case <-time.After(x.workTime):
	case <-q.Context().Done():
		x.site.record.log("server %s drops request %s: its channel has closed", x.id, id)
		return
	}
	fmt.Fprintf(w, "answer to %s, %d bytes in", id, len(body))
}

// stream sends events with increasing ids, from the one after Last-Event-Id on.
func (x *server) stream(w http.ResponseWriter, q *http.Request, events int) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		select {
		case <-time.After(x.eventInterval):
		case <-q.Context().Done():
			panic(http.ErrAbortHandler)
		case <-x.stopped:
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %s %s\n\n", n, x.version, x.id, q.Header.Get("X-Request-Id"))
		w.(http.Flusher).Flush()
	}
}
