package relay_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/metering"
	"github.com/galenaslip/galenaslip/relay"
)

// Guards against requests that are counted although no server ran them, that are counted once for each server
// that ran them, or that are not counted because their answer was lost.
func TestUsageCountsRequestsThatRan(t *testing.T) {
	answer := func(req receivedRequest) { respondOK(req, "ran") }
	failure := func(req receivedRequest) { write(req, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n") }
	lost := func(req receivedRequest) { _ = req.conn.Close() }
	tests := []struct {
		name    string
		path    string
		respond func(req receivedRequest)
		want    uint64
	}{
		{"answered", "/once/", answer, 1},
		{"refused as not run by all servers", "/safe/", notRun, 0},
		{"failed", "/once/", failure, 1},
		{"failed at two servers", "/safe/", failure, 1},
		{"answer lost", "/once/", lost, 1},
		{"answer lost at two servers", "/safe/", lost, 1},
		{"a path without a route", "/none/", answer, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			book := metering.NewBook(clock.Minute, "relay-1/a", func() clock.Millis { return 0 })
			s := newFixtureWith(t, func(o *relay.Options) { o.Usage = book }, newBackend(t, tt.respond), newBackend(t, tt.respond))
			c := s.client()
			c.get(tt.path, "1")
			_, _, _ = c.read()
			report, _ := book.Report(0, gossip.Position{})
			total := uint64(0)
			for _, counts := range report[0].Windows {
				total += counts["w"]
				if len(counts) > 1 {
					t.Errorf("workspaces: got %v, want w alone", counts)
				}
			}
			if total != tt.want {
				t.Errorf("got %s requests, want %d", fmt.Sprint(total), tt.want)
			}
		})
	}
}
