package control_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
)

// Guards against requests that count several times: after all members were restarted, entries go from one
// member to the next as these are found, and servers seem to have two to four times the requests that they
// have for two seconds (ev-santiago-grown scale-1). Entries that go on watching count all the time.
func TestLoadOfEntryThatWatchesAnotherMember(t *testing.T) {
	const entries, requests, interval = 62, 3, 200 * clock.Millisecond
	former, present := &control.WatchedLoads{}, &control.WatchedLoads{}
	watchAll := func(now clock.Millis, l *control.WatchedLoads) {
		for i := range entries {
			l.Watch(now, fmt.Sprint("entry-", i), "server", requests)
		}
	}
	now := clock.Millis(0)
	for ; now <= 2*clock.Second; now += interval {
		watchAll(now, former)
		if got, want := former.Others(now+interval, "entry-0"), (entries-1)*requests; got != want {
			t.Fatalf("requests of the others at %d ms: got %d, want %d", now, got, want)
		}
	}
	movedAt := now
	for ; now <= movedAt+2*clock.Second; now += interval {
		watchAll(now, present)
		got, want := former.Others(now, "")+present.Others(now, ""), entries*requests
		if now-movedAt < clock.Second {
			if got := former.Count(now); got != entries {
				t.Errorf("entries of the first member %d ms later: got %d, want %d: they hold leases", now-movedAt, got, entries)
			}
			continue
		}
		if got != want {
			t.Errorf("requests at both members %d ms after the entries have gone to the second one: got %d, want %d", now-movedAt, got, want)
		}
	}
}
