package admission_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

const pool = "model:m-small"

func newClass(tb testing.TB, name string, tier class.Tier, target clock.Millis) class.Class {
	tb.Helper()
	c, err := class.New(name, tier, target, class.FirstToken)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// Guards against a queue that serves a burst of a lower tier before a later
// request of a higher tier; the naive queue does so.
func TestTierOrder(t *testing.T) {
	query := newClass(t, "clause-query", 1, 580)
	tagging := newClass(t, "row-tagging", 3, 5*clock.Second)
	type queue interface {
		Offer(now clock.Millis, item admission.Item) admission.Offer
		Next(now clock.Millis, pool string, peers []admission.Demand) (admission.Item, bool)
	}
	tests := []struct {
		name  string
		queue queue
		want  string
	}{
		{name: "by tier", queue: admission.New(admission.Options{Limit: 10}), want: "query"},
		{name: "naive", queue: admission.NewNaive(admission.Options{Limit: 10}), want: "tag"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.queue.Offer(0, admission.Item{ID: "tag", Pool: pool, Class: tagging, Deadline: 100})
			tt.queue.Offer(1, admission.Item{ID: "query", Pool: pool, Class: query, Arrived: 1, Deadline: 581})
			if got, _ := tt.queue.Next(2, pool, nil); got.ID != tt.want {
				t.Errorf("first: got %q, want %q", got.ID, tt.want)
			}
		})
	}
}
