package gossip_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
)

// list is a set of numbered records: a report is the number of records after a position.
type list struct {
	instance, records uint64
	merged            int // records that were merged, those that were known already included
}

func (l *list) Report(_ clock.Millis, since gossip.Position) (int, gossip.Position) {
	position := gossip.Position{Instance: l.instance, Number: l.records}
	return int(l.records - position.Known(since)), position
}

func (l *list) Merge(_ clock.Millis, report int) { l.merged += report }

// Guards against records that are told again with each message, and against some that another
// process never learns because the one before it, or a former run of it, has learned them.
func TestExchangeTellsWhatIsNew(t *testing.T) {
	own := &list{instance: 1, records: 3}
	x := gossip.NewExchange[int](own)
	steps := []struct {
		name     string
		other    *list
		lost     bool // the answer does not arrive
		records  uint64
		want     int // records in the request
		wantBack int // records in the answer
	}{
		{name: "first", other: &list{instance: 2, records: 5}, records: 3, want: 3, wantBack: 5},
		{name: "again after the other one was found to be new", other: &list{instance: 2, records: 5}, records: 3, want: 3},
		{name: "nothing new", other: &list{instance: 2, records: 5}, records: 3, want: 0},
		{name: "one more, lost", other: &list{instance: 2, records: 6}, lost: true, records: 4, want: 1, wantBack: 1},
		{name: "one more", other: &list{instance: 2, records: 6}, records: 4, want: 1, wantBack: 1},
		{name: "another process", other: &list{instance: 3, records: 1}, records: 4, want: 0, wantBack: 1},
		{name: "all for it", other: &list{instance: 3, records: 1}, records: 4, want: 4},
	}
	for _, st := range steps {
		own.records = st.records
		report, known := x.Next(0)
		if report != st.want {
			t.Errorf("%s: records in the request: got %d, want %d", st.name, report, st.want)
		}
		back, position := st.other.Report(0, known)
		if back != st.wantBack {
			t.Errorf("%s: records in the answer: got %d, want %d", st.name, back, st.wantBack)
		}
		if !st.lost {
			x.Apply(0, back, position)
		}
	}
	if got, want := own.merged, 5+1+1; got != want {
		t.Errorf("merged records: got %d, want %d", got, want)
	}
}
