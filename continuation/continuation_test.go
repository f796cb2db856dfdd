package continuation_test

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/memory/memorytest"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

var (
	v1 = continuation.Origin{Service: "s", Version: "v1"}
	v2 = continuation.Origin{Service: "s", Version: "v2"}
)

// Guards against a stream that goes on at a version that may not have begun it, and against one that is
// refused although its version is certain and in service.
func TestDecide(t *testing.T) {
	both := []continuation.Origin{v1, v2}
	tests := []struct {
		name      string
		knowledge continuation.Knowledge
		recorded  continuation.Origin
		versions  []string
		inService []continuation.Origin
		want      continuation.Verdict
		origin    continuation.Origin
	}{
		{"recorded, in service", continuation.Recorded, v1, []string{"v1", "v2"}, both, continuation.GoesOn, v1},
		{"recorded, no server left", continuation.Recorded, v1, []string{"v1", "v2"}, []continuation.Origin{v2}, continuation.VersionGone, v1},
		{"recorded, missing in the table", continuation.Recorded, v1, nil, both, continuation.GoesOn, v1},
		{"unrecorded, one version", continuation.Unrecorded, v1, []string{"v1"}, []continuation.Origin{v1}, continuation.GoesOn, v1},
		{"unrecorded, two versions in service", continuation.Unrecorded, v1, []string{"v1", "v2"}, both, continuation.VersionUnknown, continuation.Origin{}},
		{"unrecorded, another version until lately", continuation.Unrecorded, v1, []string{"v1", "v2"}, []continuation.Origin{v1}, continuation.VersionUnknown, continuation.Origin{}},
		{"unrecorded, a server that is not in the table", continuation.Unrecorded, v1, []string{"v1"}, both, continuation.VersionUnknown, continuation.Origin{}},
		{"unrecorded, another service in service", continuation.Unrecorded, v1, []string{"v1"}, []continuation.Origin{v1, {Service: "other", Version: "v9"}}, continuation.GoesOn, v1},
		{"unrecorded, no server left", continuation.Unrecorded, v1, []string{"v1"}, nil, continuation.VersionGone, v1},
		{"unrecorded, nothing known", continuation.Unrecorded, v1, nil, nil, continuation.VersionUnknown, continuation.Origin{}},
		{"contradictory, one version", continuation.Contradictory, v1, []string{"v1"}, []continuation.Origin{v1}, continuation.VersionUnknown, continuation.Origin{}},
	}
	for _, tt := range tests {
		origin, verdict := continuation.Decide(tt.knowledge, tt.recorded, "s", tt.versions, tt.inService)
		if verdict != tt.want || origin != tt.origin {
			t.Errorf("%s: got %v %v, want %v %v", tt.name, verdict, origin, tt.want, tt.origin)
		}
	}
}

// Guards against records that are dropped too soon or kept for good, that change with the order in which
// they come, and against memory that grows with what callers send.
func TestRecords(t *testing.T) {
	const limit = 3
	add := func(r *continuation.Records, now clock.Millis, stream string, o continuation.Origin) bool {
		return r.Add(now, continuation.Record{Stream: stream, Origin: o})
	}
	r := continuation.NewRecords(limit)
	add(r, 0, "a", v1)
	add(r, 10, "b", v1)
	add(r, 20, "b", v2)
	add(r, continuation.Retention-1, "a", v1)
	tests := []struct {
		stream string
		now    clock.Millis
		want   continuation.Knowledge
	}{
		{"a", continuation.Retention, continuation.Recorded}, {"a", 2*continuation.Retention - 1, continuation.Unrecorded},
		{"b", 30, continuation.Contradictory}, {"b", continuation.Retention + 20, continuation.Unrecorded}, {"c", 0, continuation.Unrecorded},
	}
	for _, tt := range tests {
		if _, got := r.Lookup(tt.now, tt.stream); got != tt.want {
			t.Errorf("%s at %d: got %v, want %v", tt.stream, tt.now, got, tt.want)
		}
	}
	for i := range 100 {
		add(r, continuation.Retention, fmt.Sprintf("stream-%d", i), v1)
	}
	if got, want := r.Len(), limit; got != want {
		t.Errorf("records: got %d, want %d", got, want)
	}
	if _, got := r.Lookup(continuation.Retention, "stream-99"); got != continuation.Recorded {
		t.Errorf("the newest record: got %v, want it to be kept", got)
	}
	for _, stream := range []string{"", strings.Repeat("x", 129)} {
		if add(r, 0, stream, v1) {
			t.Errorf("a stream ID of %d bytes: got it kept, want it left out", len(stream))
		}
	}
}

// Guards against a table that loses a version, that grows without bound, or that changes its revision
// when nothing has changed.
func TestTable(t *testing.T) {
	var table continuation.Table
	steps := []struct {
		change   continuation.Change
		want     []string
		revision uint64
	}{
		{continuation.Change{Origin: v1}, []string{"v1"}, 1},
		{continuation.Change{Origin: v1}, []string{"v1"}, 1},
		{continuation.Change{Origin: v2}, []string{"v1", "v2"}, 2},
		{continuation.Change{Origin: v1, Remove: true}, []string{"v2"}, 3},
		{continuation.Change{Origin: v1, Remove: true}, []string{"v2"}, 3},
		{continuation.Change{Origin: v2, Remove: true}, nil, 4},
	}
	for i, st := range steps {
		before := table.Versions("s")
		next := table.With(st.change)
		if !slices.Equal(table.Versions("s"), before) {
			t.Errorf("step %d: the former table has changed", i)
		}
		table = next
		if got := table.Versions("s"); !slices.Equal(got, st.want) || table.Revision() != st.revision {
			t.Errorf("step %d: got %v at revision %d, want %v at %d", i, got, table.Revision(), st.want, st.revision)
		}
	}
	for i := range 1000 {
		table = table.With(continuation.Change{Origin: continuation.Origin{Service: "s", Version: fmt.Sprint(i)}})
	}
	if got, want := len(table.Versions("s")), 64; got != want {
		t.Errorf("versions of a service: got %d, want %d", got, want)
	}
	data, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := continuation.DecodeTable(data)
	if err != nil || restored.Revision() != table.Revision() || !slices.Equal(restored.Versions("s"), table.Versions("s")) {
		t.Errorf("restored: got %v and %v, want %v", restored, err, table)
	}
}

// Guards against a version that leaves the table while its streams can still be taken up, or while it has
// a server, and against one that never leaves it.
func TestPresence(t *testing.T) {
	table := continuation.Table{}.With(continuation.Change{Origin: v1}).With(continuation.Change{Origin: v2})
	p := continuation.NewPresence(1000)
	steps := []struct {
		now     clock.Millis
		present []continuation.Origin
		want    []continuation.Change
	}{
		{1000 + continuation.Retention, []continuation.Origin{v2}, nil},
		{1001 + continuation.Retention, []continuation.Origin{v2}, []continuation.Change{{Origin: v1, Remove: true}}},
		{1002 + continuation.Retention, []continuation.Origin{v1, v2}, nil},
		{1002 + 2*continuation.Retention, nil, nil},
		{1003 + 2*continuation.Retention, []continuation.Origin{v2, {Service: "s", Version: "v3"}}, []continuation.Change{
			{Origin: continuation.Origin{Service: "s", Version: "v3"}}, {Origin: v1, Remove: true},
		}},
	}
	for i, st := range steps {
		if got := p.Update(st.now, table, st.present); !slices.Equal(got, st.want) {
			t.Errorf("step %d: got %v, want %v", i, got, st.want)
		}
	}
}

// Guards against holders that most records lose when a process comes or goes, and against records that
// are all held by the same processes.
func TestHolders(t *testing.T) {
	processes := []string{"a", "b", "c", "d", "e"}
	counts := map[string]int{}
	const streams = 1000
	for i := range streams {
		stream := fmt.Sprintf("stream-%d", i)
		before := continuation.Holders(stream, processes)
		for _, h := range before[:continuation.HolderCount] {
			counts[h]++
		}
		for _, changed := range [][]string{{"f", "a", "b", "c", "d", "e"}, {"e", "d", "b", "a"}} {
			asked := continuation.Holders(stream, changed)[:continuation.AskedCount]
			if !slices.Contains(asked, before[0]) && !slices.Contains(asked, before[1]) {
				t.Errorf("%s: got %v asked after a change, want one of %v", stream, asked, before[:continuation.HolderCount])
			}
		}
	}
	for process, n := range counts {
		if even := streams * continuation.HolderCount / len(processes); n < even/2 || n > even*2 {
			t.Errorf("%s: got %d records, want about %d", process, n, even)
		}
	}
}

// Guards against a holder that answers differently from the others because it heard the records of a
// stream in another order or more than once.
func TestRecordsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) continuation.Record {
			return continuation.Record{
				Stream: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "stream"), Origin: rapid.SampledFrom([]continuation.Origin{v1, v2}).Draw(t, "origin"),
			}
		}), 0, 6).Draw(t, "records")
		lookup := func(records []continuation.Record) string {
			r := continuation.NewRecords(10)
			for _, record := range records {
				r.Add(0, record)
			}
			text := ""
			for _, stream := range []string{"a", "b"} {
				found, knowledge := r.Lookup(0, stream)
				origin := found.Origin
				if knowledge == continuation.Contradictory {
					origin = continuation.Origin{}
				}
				text += fmt.Sprint(stream, origin, knowledge)
			}
			return text
		}
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		if got, want := lookup(append(shuffled, shuffled...)), lookup(records); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}

// Guards against a contradiction that is forgotten when a process is told the records anew, so that the stream
// goes on at one of its origins.
func TestCopiedRecordsKeepContradictions(t *testing.T) {
	first := continuation.NewRecords(10)
	first.Add(0, continuation.Record{Stream: "one", Origin: continuation.Origin{Service: "s", Version: "v1"}})
	first.Add(0, continuation.Record{Stream: "both", Origin: continuation.Origin{Service: "s", Version: "v1"}})
	first.Add(0, continuation.Record{Stream: "both", Origin: continuation.Origin{Service: "s", Version: "v2"}})
	second := continuation.NewRecords(10)
	for _, r := range first.All(0) {
		second.Add(0, r)
	}
	for stream, want := range map[string]continuation.Knowledge{"one": continuation.Recorded, "both": continuation.Contradictory} {
		if _, got := second.Lookup(0, stream); got != want {
			t.Errorf("stream %s: got knowledge %v, want %v", stream, got, want)
		}
	}
}

// Guards against a stream that is recorded again and again, and against long header lines that the IDs
// of streams keep in memory.
func TestRecordsTakeBoundedMemory(t *testing.T) {
	const limit, line = 1000, 16 << 10
	tests := []struct {
		name   string
		rounds int
		stream func(i int) string
	}{
		{"one stream again and again", 400_000, func(int) string { return "stream" }},
		{"IDs out of header lines", 5000, func(i int) string { return fmt.Sprintf("%0*d", line, i)[line-8:] }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			records := continuation.NewRecords(limit)
			before := memorytest.HeapBytes()
			for i := range tt.rounds {
				records.Add(clock.Millis(i/10), continuation.Record{Stream: tt.stream(i), Origin: continuation.Origin{Service: "s"}})
			}
			if got, want := memorytest.HeapBytes(), before+limit*line/8; got > want {
				t.Errorf("memory: got %d bytes, want at most %d", got, want)
			}
			if got := records.Len(); got > limit {
				t.Errorf("records: got %d, want at most %d", got, limit)
			}
			runtime.KeepAlive(records)
		})
	}
}

// Guards against versions that servers name and that are remembered for ever, because the table has no
// room for them.
func TestPresenceForgetsVersions(t *testing.T) {
	const rounds = 20_000
	presence := continuation.NewPresence(0)
	before := memorytest.HeapBytes()
	for i := range rounds {
		name := fmt.Sprintf("%0100d", i)
		presence.Update(clock.Millis(i)*continuation.Retention, continuation.Table{}, []continuation.Origin{{Service: name, Version: name}})
	}
	if got, want := memorytest.HeapBytes(), before+rounds*10; got > want {
		t.Errorf("memory after %d versions: got %d bytes, want at most %d", rounds, got, want)
	}
	runtime.KeepAlive(presence)
}
