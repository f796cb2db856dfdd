package configuration_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

// model is a simple reference implementation of the machine. It keeps every
// configuration and every answer.
type model struct {
	revisions    []configuration.Configuration // by revision
	answerByKey  map[string]configuration.Answer
	requestByKey map[string]string
}

func (m *model) current() configuration.Configuration { return m.revisions[len(m.revisions)-1] }

func (m *model) apply(change configuration.Change, base uint64, key string) configuration.Answer {
	current := m.current()
	request := fmt.Sprintf("%d %#v", base, change)
	if earlier, ok := m.answerByKey[key]; ok {
		if m.requestByKey[key] != request {
			return configuration.Answer{Kind: configuration.Invalid, Revision: current.Revision()}
		}
		return earlier
	}
	answer := configuration.Answer{Kind: configuration.Accepted, Revision: current.Revision() + 1}
	next, valid := m.change(change)
	switch {
	case base != current.Revision():
		var old configuration.Configuration
		if base < uint64(len(m.revisions)) {
			old = m.revisions[base]
		}
		answer = configuration.Answer{Kind: configuration.Conflict, Revision: current.Revision(), Differences: configuration.Diff(old, current)}
	case !valid:
		answer = configuration.Answer{Kind: configuration.Invalid, Revision: current.Revision()}
	default:
		m.revisions = append(m.revisions, next.WithRevision(base+1))
	}
	m.answerByKey[key], m.requestByKey[key] = answer, request
	return answer
}

// change returns the current configuration with the change made, and whether the
// change is valid.
func (m *model) change(change configuration.Change) (configuration.Configuration, bool) {
	c := m.current()
	switch action := change.(type) {
	case configuration.SetClass:
		return c.WithClass(action.Class), true
	case configuration.DeleteClass:
		_, ok := c.Class(action.Name)
		return c.WithoutClass(action.Name), ok
	case configuration.AnnounceStop:
		s, err := configuration.NewStop(fmt.Sprintf("stop-%d", c.Revision()+1), action.Kind, action.Name, action.Grace)
		_, announced := c.StopFor(action.Kind, action.Name)
		return c.WithStop(s), err == nil && !announced
	case configuration.CancelStop:
		_, ok := c.Stop(action.ID)
		return c.WithoutStop(action.ID), ok
	}
	panic("unknown change")
}

func drawChange(t *rapid.T) configuration.Change {
	name := rapid.SampledFrom([]string{"clause-query", "row-tagging", "posting"}).Draw(t, "name")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		tier := class.Tier(rapid.IntRange(1, 4).Draw(t, "tier"))
		c, err := class.New(name, tier, clock.Millis(rapid.IntRange(1, 3).Draw(t, "target")), class.Completion)
		if err != nil {
			t.Fatal(err)
		}
		return configuration.SetClass{Class: c}
	case 1:
		return configuration.DeleteClass{Name: name}
	case 2:
		return configuration.AnnounceStop{Kind: configuration.StopServer, Name: name, Grace: 5}
	default:
		return configuration.CancelStop{ID: fmt.Sprintf("stop-%d", rapid.IntRange(1, 9).Draw(t, "id"))}
	}
}

// Guards against two accepted changes on one base revision, a resent change that
// gets another answer, a history that does not lead back to the former
// configurations, and a restored snapshot or decoded change that behaves
// differently.
func TestMachineFollowsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := configuration.NewMachine()
		reference := &model{
			revisions:   []configuration.Configuration{{}},
			answerByKey: map[string]configuration.Answer{}, requestByKey: map[string]string{},
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			change := drawChange(t)
			base := max(0, int(reference.current().Revision())-rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "behind"))
			key := fmt.Sprintf("key-%d", rapid.IntRange(max(0, i-4), i).Draw(t, "key"))
			got, want := machine.Apply(clock.Millis(i), encodeAndDecode(t, change), uint64(base), key), reference.apply(change, uint64(base), key)
			if got.Reason = ""; !reflect.DeepEqual(got, want) {
				t.Fatalf("answer to %#v on %d with %s:\n got %+v\nwant %+v", change, base, key, got, want)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				machine = restoreFromSnapshot(t, machine)
			}
		}
		for revision, want := range reference.revisions {
			if got, ok := machine.At(uint64(revision)); !ok || len(configuration.Diff(got, want)) != 0 || got.Revision() != want.Revision() {
				t.Fatalf("revision %d: got %+v, want %+v", revision, got, want)
			}
		}
	})
}

func encodeAndDecode(t *rapid.T, change configuration.Change) configuration.Change {
	data, err := configuration.EncodeChange(change)
	if err != nil {
		t.Fatal(err)
	}
	got, err := configuration.DecodeChange(data)
	if err != nil || !reflect.DeepEqual(got, change) {
		t.Fatalf("decoded change: got %#v (%v), want %#v", got, err, change)
	}
	return got
}

func restoreFromSnapshot(t *rapid.T, machine *configuration.Machine) *configuration.Machine {
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := configuration.NewMachine()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if restoredSnapshot, err := restored.Snapshot(); err != nil || string(restoredSnapshot) != string(snapshot) {
		t.Fatalf("snapshot after restore: got %s (%v), want %s", restoredSnapshot, err, snapshot)
	}
	return restored
}

// Guards against answers and history that grow without bound, and against a change
// that is applied a second time after its answer has been dropped.
func TestRetention(t *testing.T) {
	machine := configuration.NewMachine()
	c, err := class.New("posting", 1, 10, class.Completion)
	if err != nil {
		t.Fatal(err)
	}
	total := configuration.MaxRetainedAnswers + 10
	for i := range total {
		machine.Apply(0, configuration.SetClass{Class: c}, uint64(i), fmt.Sprint(i))
	}
	for _, tt := range []struct {
		key  int
		want configuration.Kind
	}{{0, configuration.Conflict}, {11, configuration.Accepted}, {total - 1, configuration.Accepted}} {
		if got := machine.Apply(0, configuration.SetClass{Class: c}, uint64(tt.key), fmt.Sprint(tt.key)); got.Kind != tt.want {
			t.Errorf("resent change %d: got %q, want %q", tt.key, got.Kind, tt.want)
		}
	}
	if got, want := machine.Current().Revision(), uint64(total); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
	if got, want := len(machine.History()), configuration.MaxRetainedRecords; got != want {
		t.Errorf("history: got %d, want %d", got, want)
	}
}

// Guards against a change with invalid values that reaches the replicated log.
func TestDecodeChangeRefuses(t *testing.T) {
	for _, data := range []string{
		`{}`, `{"set_class":{"name":"a","tier":5,"target_ms":1,"measure":"completion"}}`,
		`{"set_class":{"name":"a","tier":1,"target":1,"measure":"completion"}}`,
		`{"delete_class":{"name":"a"},"cancel_stop":{"id":"b"}}`, `{"delete_class":{"name":"a"}}{}`,
		`{"announce_stop":{"kind":"zone","name":"a"}}`, `{"announce_stop":{"kind":"entry","name":"a","grace_ms":-1}}`,
	} {
		if got, err := configuration.DecodeChange([]byte(data)); err == nil {
			t.Errorf("%s: got %+v, want an error", data, got)
		}
	}
}

// Guards against decoders of peer messages and snapshots that panic, or that
// accept data that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":1,"classes":[{"name":"a","tier":1,"target_ms":1,"measure":"completion"}],"stops":[{"id":"s","kind":"entry","name":"e","grace_ms":0}]}`))
	f.Add([]byte(`{"accepted":false,"kind":"conflict","revision":2,"differences":[{"old_class":{"name":"a","tier":1,"target_ms":1,"measure":"completion"}}]}`))
	f.Add([]byte(`{"current":{"revision":1},"history":[{"revision":1,"differences":[]}],"answers":[{"key":"k","answer":{"kind":"accepted"}}]}`))
	f.Add([]byte(`{"announce_stop":{"kind":"entry","name":"e","grace_ms":1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := configuration.Decode(data); err == nil {
			encoded, err := configuration.Encode(c)
			if redecoded, err2 := configuration.Decode(encoded); err != nil || err2 != nil || !reflect.DeepEqual(redecoded.Classes(), c.Classes()) {
				t.Errorf("got %+v (%v, %v), want %+v", redecoded, err, err2, c)
			}
		}
		if a, err := configuration.DecodeAnswer(data); err == nil {
			if _, err := configuration.EncodeAnswer(a); err != nil {
				t.Error(err)
			}
		}
		machine := configuration.NewMachine()
		if machine.Restore(data) == nil {
			machine.At(0)
			if change, err := configuration.DecodeChange(data); err == nil {
				machine.Apply(0, change, 0, "k")
			}
		}
		_, _ = configuration.DecodeHistory(data)
		_, _ = configuration.DecodeDifferences(data)
	})
}
