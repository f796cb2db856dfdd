package engine_test

import (
	"net"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
)

// Guards against connections to servers that are never called again, for example because others took
// their place, and that stay open for as long as the entry runs.
func TestIdleConnectionsToFormerServersAreClosed(t *testing.T) {
	const servers, idleTime, timeout = 20, 2 * clock.Second, 20 * clock.Second
	closed := make(chan struct{}, servers)
	awaitClosing := func(conn net.Conn) bool {
		_, _ = conn.Read(make([]byte, 1))
		closed <- struct{}{}
		return false
	}
	now, manual := clock.NewManual(clock.New().Wall())
	client, release := engine.New(engine.Options{Clock: now, PoolIdleTimeout: idleTime})
	t.Cleanup(release)
	call := func(s *scriptedServer) {
		t.Helper()
		if err := callAndRead(client, s.address, false, nil); err != nil {
			t.Fatal(err)
		}
	}
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for range servers {
		call(newScriptedServer(t, ok, awaitClosing))
	}
	manual.Advance(2 * idleTime)
	call(newScriptedServer(t, ok, keepOpen))
	ended, stop := clock.New().After(timeout)
	defer stop()
	for i := range servers {
		select {
		case <-closed:
		case <-ended:
			t.Fatalf("connections that were closed: got %d, want %d", i, servers)
		}
	}
}
