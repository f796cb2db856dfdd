package control_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/replica"
)

// Guards against an answer to each of many watches for each of many changes: a leader that 50
// entries watch collects changes for 100 ms, also when the first one came before the watch.
func TestWatchesCollectChanges(t *testing.T) {
	const entries, collectTime = 50, 100 * clock.Millisecond
	for _, tt := range []struct {
		name         string
		changedFirst bool
	}{{"change before the watch", true}, {"change during the watch", false}} {
		t.Run(tt.name, func(t *testing.T) {
			c, manual := clock.NewManual(1)
			leader, release, err := control.New(control.Options{
				Name: "c1", Listen: "127.0.0.1:0", Folder: t.TempDir(), PrivateNetwork: true, Clock: c, Logger: event.Discard(),
				OpenLog: func(o replica.Options) (control.Log, func(), error) {
					return &fakeLeaderLog{fakeLog: fakeLog{machine: o.StateMachine}, term: 1, lease: 900}, func() {}, nil
				},
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(release)
			watch := func(entry, epoch, position, wait int) string {
				_, body := request(t, http.MethodPost, "http://"+leader.Address()+"/v1/watch", "",
					fmt.Sprintf(`{"entry":"e%d","epoch":%d,"position":%d,"wait_ms":%d}`, entry, epoch, position, wait))
				return body
			}
			announce := func(number int) {
				if err := leader.Announce(servingServer(number)); err != nil {
					t.Fatal(err)
				}
			}
			announce(1)
			for entry := range entries {
				if body := watch(entry, 0, 0, 0); !strings.Contains(body, `"s1"`) {
					t.Fatalf("first watch of entry %d: got %s, want server s1", entry, body)
				}
			}
			timers, answer := manual.PendingTimers(), make(chan string, 1)
			awaitTimers := func(count int) {
				for manual.PendingTimers() < timers+count {
					if len(answer) > 0 {
						t.Fatalf("watch: got %s at once, want it to collect changes", <-answer)
					}
					clock.New().Sleep(t.Context(), clock.Millisecond)
				}
			}
			if tt.changedFirst {
				announce(2)
			}
			go func() { answer <- watch(0, 1, 1, 200) }()
			if !tt.changedFirst {
				awaitTimers(1)
				announce(2)
			}
			awaitTimers(2)
			manual.Advance(collectTime - 1)
			announce(3)
			manual.Advance(1)
			if body := <-answer; !strings.Contains(body, `"s2"`) || !strings.Contains(body, `"s3"`) {
				t.Errorf("watch: got %s, want servers s2 and s3", body)
			}
		})
	}
}
