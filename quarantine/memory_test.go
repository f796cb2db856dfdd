package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/memory/memorytest"
	"github.com/galenaslip/galenaslip/quarantine"
)

// Guards against remembered parts that keep the long header lines in memory in which their IDs arrived.
func TestPartsKeepNoHeaders(t *testing.T) {
	const parts, line = 1000, 16 << 10
	server := quarantine.ServerRun{Server: "server", StartedAt: 1}
	tests := []struct {
		name   string
		record func(q *quarantine.Quarantine, s quarantine.Subject)
	}{
		{"survivals", func(q *quarantine.Quarantine, s quarantine.Subject) { q.RecordSurvival(1, s, false) }},
		{"ends", func(q *quarantine.Quarantine, s quarantine.Subject) {
			q.RecordEnd(s, server, quarantine.Loss{At: clock.Second, Begun: true})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := quarantine.New(quarantine.Options{Entry: "e"})
			before := memorytest.HeapBytes()
			for i := range parts {
				header := fmt.Sprintf("%0*d", line, i)
				tt.record(q, quarantine.Subject{Service: "s", Parts: []string{header[line-8:], "last"}})
			}
			if got, want := memorytest.HeapBytes(), before+parts*line/8; got > want {
				t.Errorf("memory after %d parts: got %d bytes, want at most %d", parts, got, want)
			}
			runtime.KeepAlive(q)
		})
	}
}
