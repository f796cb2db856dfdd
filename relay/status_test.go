package relay_test

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// invalidStatuses are status codes of answers that are none: outside of 100 to 599, not written as three
// digits, or 101, which no request asks for.
var invalidStatuses = []string{
	"000", "001", "010", "099", "101", "600", "666", "700", "999", "0200", "2000", "1000", "20", "2", "", "-20", "+20", "+200", "-200",
	"2 0", " 200", "\t200", "20x", "x00", "0x1", "2.0", "2e2", "２00",
}

// Guards against a server in trouble whose answer has a status that is none: the caller gets it as an
// answer. It is a failure of the server, so another one is asked if the request may run twice.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range invalidStatuses {
		for _, path := range []string{"/safe/", "/stream/", "/once/"} {
			t.Run(fmt.Sprintf("%q%s", status, path), func(t *testing.T) {
				var failed atomic.Bool
				respond := func(req receivedRequest) {
					if failed.CompareAndSwap(false, true) {
						write(req, "HTTP/1.1 "+status+" X\r\nId: 1\r\nContent-Length: 4\r\n\r\ntext")
						return
					}
					respondOK(req, "sound")
				}
				one, two := newBackend(t, respond), newBackend(t, respond)
				c := newFixture(t, one, two).client()
				c.get(path, "1")
				if path == "/once/" {
					c.wantStatus(502)
					if got := one.count() + two.count(); got != 1 {
						t.Errorf("arrivals: got %d, want 1", got)
					}
					return
				}
				if _, got := c.wantStatus(200); got != "sound" {
					t.Errorf("got the body %q, want that of the second server", got)
				}
			})
		}
	}
}

// Guards against a caller that gets the invalid status because no server gives another answer, and against
// statements in such an answer, as that the request was not run, that are believed.
func TestInvalidStatusIsNeverForwarded(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(fmt.Sprintf("%q", status), func(t *testing.T) {
			respond := func(req receivedRequest) {
				write(req, "HTTP/1.1 "+status+" X\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\ntext")
			}
			c := newFixture(t, newBackend(t, respond), newBackend(t, respond)).client()
			c.get("/safe/", "1")
			c.wantStatus(502)
		})
	}
}

// Guards against answers that are taken to be invalid though their status is only unusual.
func TestUnusualStatusIsAnAnswer(t *testing.T) {
	for _, status := range []int{200, 299, 399, 418, 499, 599} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := newFixture(t, newBackend(t, func(req receivedRequest) {
				write(req, fmt.Sprintf("HTTP/1.1 199 Interim\r\n\r\nHTTP/1.1 %d X\r\nId: 1\r\nContent-Length: 4\r\n\r\ntext", status))
			})).client()
			c.get("/open/", "1")
			c.wantStatus(status)
		})
	}
}
