package relay_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/memory/memorytest"
)

// Guards against prompts whose parts no other prompt has, and that fill the memory of a relay.
func TestPromptPartsTakeBoundedMemory(t *testing.T) {
	const requests, header = 5000, 2 << 10
	b := newBackend(t, nil)
	b.respond = func(req receivedRequest) {
		b.mu.Lock()
		b.received = nil
		b.mu.Unlock()
		respondOK(req, "ran")
	}
	s := newFixture(t, b)
	c := s.client()
	send := func(i int) {
		c.send(fmt.Sprintf("GET /open/ HTTP/1.1\r\nHost: h\r\nId: %d\r\nParts: part-%d %s\r\n\r\n", i, i, strings.Repeat("x", header)))
		c.wantStatus(200)
	}
	for i := range requests / 10 {
		send(i)
	}
	before := memorytest.HeapBytes()
	for i := range requests {
		send(requests + i)
	}
	if got, want := memorytest.HeapBytes(), before+requests*header/4; got > want {
		t.Errorf("memory after %d different parts: got %d bytes, want at most %d", requests, got, want)
	}
}
