package admission_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// newFullQueue returns a queue that is full with the given number of waiting items, in
// 10 workspaces and 8 classes of 4 tiers. It also returns a function that makes item i.
func newFullQueue(b *testing.B, waiting int) (*admission.Queue, func(i int) admission.Item) {
	b.Helper()
	classes := []class.Class{}
	for i := range 8 {
		classes = append(classes, newClass(b, fmt.Sprint("c", i), class.Tier(1+i/2), clock.Millis(500+100*i)))
	}
	item := func(i int) admission.Item {
		item := newItem(strconv.Itoa(i), classes[i%len(classes)], clock.Millis(i/10))
		item.Workspace = strconv.Itoa(i % 10)
		return item
	}
	q := admission.New(admission.Options{Limit: waiting - len(classes)})
	for i := range waiting {
		q.Offer(0, item(i))
	}
	return q, item
}

func BenchmarkQueue(b *testing.B) {
	operations := map[string]func(q *admission.Queue, now clock.Millis, item admission.Item){
		"offer-next": func(q *admission.Queue, now clock.Millis, item admission.Item) {
			q.Next(now, pool, nil)
			q.Offer(now, item)
		},
		"offer-shed": func(q *admission.Queue, now clock.Millis, item admission.Item) { q.Offer(now, item) },
		"offer-late-remove": func(q *admission.Queue, now clock.Millis, item admission.Item) {
			item.RefuseIfLate = true
			q.Offer(now, item)
			q.Remove(item.ID)
		},
		"waiting": func(q *admission.Queue, _ clock.Millis, _ admission.Item) { q.Waiting() },
	}
	for _, name := range []string{"offer-next", "offer-shed", "offer-late-remove", "waiting"} {
		for _, waiting := range []int{10, 1000, 100_000} {
			b.Run(fmt.Sprintf("%s/%d", name, waiting), func(b *testing.B) {
				q, item := newFullQueue(b, waiting)
				b.ReportAllocs()
				i := waiting
				for b.Loop() {
					operations[name](q, clock.Millis(i/10), item(i))
					i++
				}
			})
		}
	}
}

func BenchmarkPreempt(b *testing.B) {
	q, item := newFullQueue(b, 1000)
	running := make([]admission.RunningRequest, 320) // 20 engines with 16 slots
	for i := range running {
		running[i] = admission.RunningRequest{ID: strconv.Itoa(i), Class: item(7).Class, Resumable: i%2 == 0}
	}
	for b.Loop() {
		q.Preempt(0, pool, running)
	}
}
