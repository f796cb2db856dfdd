package engine_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
)

// Guards against a server in trouble whose answer has a status that is none, outside of 100 to 599 or not
// three digits, and is taken for an answer, or for the statement that the call was not run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	statuses := []string{
		"000", "001", "010", "099", "101", "600", "666", "700", "999", "0200", "2000", "1000", "20", "2", "", "-20", "+20", "+200", "-200",
		"2 0", "\t200", "20x", "x00", "0x1", "2.0", "2e2",
	}
	var status atomic.Value
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go serveText(l, func() string {
		return fmt.Sprintf("HTTP/1.1 %s X\r\n%s: 1\r\n%s: true\r\nContent-Length: 4\r\n\r\ntext", status.Load(), engine.HeaderRequestID, engine.HeaderNotRun)
	})
	c, release := engine.New(engine.Options{Clock: clock.New()})
	t.Cleanup(release)
	check := func(call string, err error) {
		t.Helper()
		var f *engine.Failure
		if failure, ok := err.(*engine.Failure); ok { //nolint:errorlint // The client returns it unwrapped.
			f = failure
		}
		if f == nil || f.Kind == engine.Refused || f.ProvablyNotRun() {
			t.Errorf("%s, status %q: got %v, want a failure that does not say whether the call has run", call, status.Load(), err)
		}
	}
	for _, text := range statuses {
		status.Store(text)
		_, err := c.Call(context.Background(), engine.Request{
			Method: "GET", Address: l.Addr().String(), Path: "/", Headers: []engine.Header{{Name: engine.HeaderRequestID, Value: "1"}},
		})
		check("service", err)
		_, err = c.Chat(context.Background(), l.Addr().String(), "1", []byte("{}"), engine.Hooks{})
		check("chat", err)
		_, err = c.ChatUnstreamed(context.Background(), l.Addr().String(), "1", []byte("{}"), 5*clock.Second, engine.Hooks{})
		check("chat not streamed", err)
	}
}
