package relay_test

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/galenaslip/galenaslip/roster"
)

// eventChunk returns a chunk with one event of a stream.
func eventChunk(id int) string {
	text := fmt.Sprintf("id: %d\ndata: x\n\n", id)
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// beginStream sends the head of a stream and its events from first to last.
func beginStream(req receivedRequest, first, last int) {
	write(req, "HTTP/1.1 200 OK\r\nId: "+req.head.Get("Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n")
	for id := first; id <= last; id++ {
		write(req, eventChunk(id))
	}
}

// endStream sends a whole stream with the events from first to last.
func endStream(req receivedRequest, first, last int) {
	beginStream(req, first, last)
	write(req, "0\r\n\r\n")
}

// versionRecord returns the record of a server that runs a version of its software.
func versionRecord(name, version string, b *backend) roster.Record {
	return roster.Record{Announcement: roster.Announcement{
		Server: name, Service: "s", Address: b.listener.Addr().String(), AvailabilityZone: "z", Version: version,
		Slots: 4, State: roster.Serving, StartedAt: 1, Sequence: 1,
	}}
}

// Guards against a stream that a relay resumes at another version of its server, whose events do
// not fit to those that the caller has.
func TestStreamStaysAtItsVersion(t *testing.T) {
	for _, tt := range []struct {
		name, version string
		wantWhole     bool
	}{{"the same version", "v1", true}, {"another version", "v2", false}} {
		t.Run(tt.name, func(t *testing.T) {
			known := make(chan struct{}) // closed when the relay knows the other server
			breaking := newBackend(t, func(req receivedRequest) {
				beginStream(req, 1, 2)
				<-known
				_ = req.conn.Close()
			})
			other := newBackend(t, func(req receivedRequest) { endStream(req, 3, 4) })
			s := newFixture(t)
			s.updateServers(versionRecord("first", "v1", breaking))
			c := s.client()
			c.get("/stream/", "1")
			for breaking.count() == 0 {
				runtime.Gosched()
			}
			s.updateServers(versionRecord("other", tt.version, other))
			close(known)
			_, body, err := c.read()
			if got := err == nil; got != tt.wantWhole {
				t.Errorf("whole stream: got %v (%v, %q), want %v", got, err, body, tt.wantWhole)
			}
			if !tt.wantWhole && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("end of the stream: got %v, want %v", err, io.ErrUnexpectedEOF)
			}
			if got, want := other.count() == 1, tt.wantWhole; got != want {
				t.Errorf("sent to the other server: got %v, want %v", got, want)
			}
		})
	}
}
