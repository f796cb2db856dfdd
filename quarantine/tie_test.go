package quarantine_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/quarantine"
)

// Guards against a deadly request that is not refused after its trial, because it lost two
// servers one after the other within a millisecond and the order of their names decided which end
// came first.
func TestEndsInSameMillisecondAreInOrderOfSending(t *testing.T) {
	for _, names := range [][]string{{"a", "b"}, {"b", "a"}} {
		q := quarantine.New(quarantine.Options{Entry: "entry-1"})
		q.SetServerCounts(map[string]int{"s": 8})
		deadly := quarantine.Subject{Service: "s", Digest: func() string { return "deadly" }}
		at := 10 * clock.Second
		q.RecordEnd(deadly, quarantine.ServerRun{Server: names[0]}, quarantine.Loss{At: at, Sent: at - 3})
		q.RecordEnd(deadly, quarantine.ServerRun{Server: names[1]}, quarantine.Loss{At: at, Sent: at, Repeated: true})
		trialAt := at + 1*clock.Second
		verdict := q.Check(trialAt, deadly, 1)
		if !verdict.Trial {
			t.Fatalf("servers %v: got %+v, want a trial", names, verdict)
		}
		q.RecordEnd(deadly, quarantine.ServerRun{Server: "c"}, quarantine.Loss{At: trialAt, Sent: trialAt, Tried: verdict.Part})
		if got := q.Check(trialAt+3*clock.Second, deadly, 1); !got.Refused {
			t.Errorf("servers %v: got %+v, want the request refused", names, got)
		}
	}
}
