package control_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/quarantine"
)

// Guards against a poison request that takes servers down at each entry in turn: what a few
// entries have seen reaches all of them, also those that watch other members, those that
// start later, and after the leader was lost.
func TestQuarantineReachesAllEntries(t *testing.T) {
	for _, count := range []int{3, 48} {
		t.Run(fmt.Sprintf("%d entries", count), func(t *testing.T) {
			g := newSeededGroup(t, 3)
			g.putCatalog("c1", 7)
			var entries []*quarantine.Quarantine
			start := func(name string) {
				q := quarantine.New(quarantine.Options{Entry: name})
				q.SetServerCounts(map[string]int{"s": 100})
				entries = append(entries, q)
				w := control.NewWatcher(control.WatcherOptions{
					Entry: name, Seeds: func() []string { return []string{g.memberOptions["c1"].Listen, g.memberOptions["c2"].Listen} },
					Clock: g.clock, Logger: event.Discard(), Quarantine: q,
					Update: func(clock.Millis, control.WatchResponse) bool { return true }, Report: func() control.Report { return control.Report{} },
				})
				go w.Run(t.Context())
			}
			for i := range count {
				start(fmt.Sprintf("entry-%d", i))
			}
			allQuarantine := func(parts int) func() bool {
				return func() bool {
					for _, q := range entries {
						if len(q.Quarantined(g.clock.Now())) != parts {
							return false
						}
					}
					return true
				}
			}
			end := func(part string) {
				subject := quarantine.Subject{Service: "s", Parts: []string{part, "own"}}
				for i := range 3 {
					run := quarantine.ServerRun{Server: fmt.Sprintf("%s-%d", part, i), StartedAt: 1}
					loss := quarantine.Loss{Begun: true, At: g.clock.Now() - clock.Millis(2-i)*clock.Second}
					if i == 2 {
						loss.Tried = quarantine.NewKey("s", part)
					}
					entries[i].RecordEnd(subject, run, loss)
				}
			}
			end("first")
			g.eventually("the first part to be quarantined at all entries", allQuarantine(1))
			g.crash(g.leader())
			start("late entry")
			end("second")
			g.eventually("both parts to be quarantined at all entries", allQuarantine(2))
		})
	}
}

// Guards against a part that ends servers anew after each restart of all processes, because nobody
// remembers that it is quarantined; and against a damaged file that keeps a member from starting.
func TestQuarantineOutlivesAllProcesses(t *testing.T) {
	g := newSeededGroup(t, 3)
	g.putCatalog("c1", 7)
	watch := func(name string) (*quarantine.Quarantine, func()) {
		q := quarantine.New(quarantine.Options{Entry: name})
		q.SetServerCounts(map[string]int{"s": 100})
		w := control.NewWatcher(control.WatcherOptions{
			Entry: name, Seeds: func() []string { return []string{g.memberOptions["c1"].Listen, g.memberOptions["c2"].Listen} },
			Clock: g.clock, Logger: event.Discard(), Quarantine: q,
			Update: func(clock.Millis, control.WatchResponse) bool { return true }, Report: func() control.Report { return control.Report{} },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		return q, cancel
	}
	q, stop := watch("entry")
	subject := quarantine.Subject{Service: "s", Parts: []string{"deadly", "own"}}
	for i := range 3 {
		loss := quarantine.Loss{Begun: true, At: g.clock.Now() - clock.Millis(2-i)*clock.Second}
		if i == 2 {
			loss.Tried = quarantine.NewKey("s", "deadly")
		}
		q.RecordEnd(subject, quarantine.ServerRun{Server: fmt.Sprint(i), StartedAt: 1}, loss)
	}
	names := []string{"c1", "c2", "c3"}
	file := func(name string) string { return filepath.Join(g.memberOptions[name].Folder, "quarantine.json") }
	g.eventually("all members to have saved the evidence", func() bool {
		for _, name := range names {
			if data, err := os.ReadFile(file(name)); err != nil || !strings.Contains(string(data), `"trial":true`) {
				return false
			}
		}
		return true
	})
	stop()
	for _, name := range names {
		g.crash(name)
	}
	if err := os.WriteFile(file("c3"), []byte(`{"ends":[{"s"`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		g.start(name)
	}
	q, stop = watch("late entry")
	defer stop()
	g.eventually("the part to be quarantined at a new entry", func() bool { return len(q.Quarantined(g.clock.Now())) == 1 })
}
