package roster_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

// drawAnnouncement draws an announcement of one of a few servers, of which two share each
// address. A gone server is announced with its name alone.
func drawAnnouncement(t *rapid.T) roster.Announcement {
	number := rapid.IntRange(0, 3).Draw(t, "server")
	a := roster.Announcement{
		Server: fmt.Sprintf("s%d", number),
		State:  rapid.SampledFrom([]roster.State{roster.Serving, roster.Serving, roster.Leaving, roster.Gone}).Draw(t, "state"),
	}
	if a.State == roster.Gone {
		return a
	}
	a.Service, a.Address = "s", fmt.Sprintf("10.0.0.%d:1", number/2)
	a.Slots = rapid.IntRange(1, 2).Draw(t, "slots")
	a.StartedAt = int64(rapid.IntRange(0, 3).Draw(t, "started"))
	a.Sequence = uint64(rapid.IntRange(0, 5).Draw(t, "sequence"))
	return a
}

// deliver applies an announcement to a registry, as the leader does.
func deliver(r *roster.Registry, a roster.Announcement) {
	if a.State == roster.Gone {
		r.RecordDeparture(0, a.Server, 0)
		return
	}
	r.Accept(0, a)
}

// records returns the records of a registry in the order of their servers.
func records(r *roster.Registry) string {
	byServer := map[string]roster.Record{}
	for _, record := range r.ChangedSince(0) {
		byServer[record.Server] = record
	}
	return fmt.Sprint(byServer)
}

// Guards against announcements that are lost, reordered or replaced by older ones on their way
// through a queue: once the queue is empty, the registry equals one that has received each
// announcement at its arrival.
func TestQueueEqualsSingleDeliveries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, queued := roster.New(clock.Minute), roster.New(clock.Minute)
		q := roster.NewQueue(100)
		take := func(most int) {
			for _, d := range q.Take(most) {
				deliver(queued, d.Announcement())
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "step") == 0 {
				take(rapid.IntRange(0, 4).Draw(t, "most"))
				continue
			}
			a := drawAnnouncement(t)
			deliver(direct, a)
			if _, ok := q.Add(a); !ok {
				t.Fatal("announcement refused, want it accepted")
			}
		}
		take(q.Len())
		if got, want := records(queued), records(direct); got != want {
			t.Errorf("registry behind the queue: got %s, want %s", got, want)
		}
	})
}

// Guards against a departure that is acknowledged with the weaker promise of a heartbeat, and
// against one that is acknowledged with the departure of an earlier start: its delivery is one
// of the same state, and not of an older start or sequence.
func TestQueueDeliversDepartures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := roster.NewQueue(100)
		type call struct {
			announcement roster.Announcement
			delivery     *roster.Delivery
		}
		var calls []call
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			a := drawAnnouncement(t)
			d, _ := q.Add(a)
			calls = append(calls, call{a, d})
			if rapid.IntRange(0, 9).Draw(t, "take") == 0 {
				q.Take(2)
			}
		}
		for _, c := range calls {
			got, want := c.delivery.Announcement(), c.announcement
			if want.State != roster.Serving && got.State != want.State {
				t.Errorf("delivery of %+v: got %+v, want the same state", want, got)
			}
			if got.Server != want.Server || got.StartedAt < want.StartedAt || got.StartedAt == want.StartedAt && got.Sequence < want.Sequence {
				t.Errorf("delivery of %+v: got %+v, want nothing older", want, got)
			}
		}
	})
}

// Guards against a queue that grows without bound, against a full one that refuses a newer
// announcement of a server that waits, and against batches beyond their bound.
func TestQueueBounds(t *testing.T) {
	q := roster.NewQueue(2)
	first, _ := q.Add(server("a", 5, 1))
	if _, ok := q.Add(server("b", 5, 1)); !ok {
		t.Fatal("second server: got refused, want accepted")
	}
	if _, ok := q.Add(server("c", 5, 1)); ok {
		t.Error("server beyond the capacity: got accepted, want refused")
	}
	second, ok := q.Add(server("b", 5, 2))
	if !ok || second.Announcement().Sequence != 2 {
		t.Errorf("newer announcement in a full queue: got %v, %v, want sequence 2", second, ok)
	}
	batch := q.Take(1)
	if len(batch) != 1 || batch[0] != first || q.Len() != 1 {
		t.Errorf("batch: got %d deliveries and %d left, want the first delivery and 1", len(batch), q.Len())
	}
	if _, ok := q.Add(server("c", 5, 1)); !ok {
		t.Error("server after a batch was taken: got refused, want accepted")
	}
}
