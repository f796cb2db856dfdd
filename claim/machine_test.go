package claim_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

const noon = 1_800_000_000_000 * clock.Millisecond

func keyAt(at clock.Millis, n byte) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	for i := range 6 {
		id[i] = byte(at >> (8 * (5 - i)))
	}
	return id.String()
}

func attempt(entry string, incarnation uint64, id string) claim.Attempt {
	return claim.Attempt{Owner: claim.Owner{Entry: entry, Incarnation: incarnation}, ID: id}
}

// naive is the model: one claim after the other in plain steps, with the same
// rules written as a table of who may do what.
type naive struct {
	state  claim.State
	owner  claim.Attempt
	hash   string
	answer claim.Answer
	lost   map[string]bool
}

func (n *naive) apply(c claim.Command) claim.Result {
	switch x := c.(type) {
	case claim.Acquire:
		return n.acquire(x)
	case claim.MarkSent:
		if n.state == claim.Claimed && n.owner == x.Attempt {
			n.state = claim.Sent
		}
		return n.result(x.Attempt)
	case claim.Settle:
		allowed := map[claim.State]map[claim.State]bool{
			claim.Claimed: {claim.NotRun: true},
			claim.Sent:    {claim.NotRun: true, claim.Answered: true, claim.Unknown: true},
			claim.Unknown: {claim.NotRun: true, claim.Answered: true},
		}
		if n.owner == x.Attempt && allowed[n.state][x.State] {
			if n.state = x.State; x.State == claim.Answered {
				n.answer = x.Answer
			}
		}
		return n.result(x.Attempt)
	case claim.ExpireOwner:
		if n.state == claim.Sent && n.owner.Owner == x.Owner {
			n.state = claim.Unknown
		}
	}
	return claim.Result{}
}

func (n *naive) acquire(x claim.Acquire) claim.Result {
	if n.state == claim.None {
		*n = naive{state: claim.Claimed, owner: x.Attempt, hash: x.BodyHash, lost: map[string]bool{}}
		return n.result(x.Attempt)
	}
	if n.hash != x.BodyHash {
		return claim.Result{State: n.state, Reason: outcome.ReasonKeyReused}
	}
	gone := n.owner.Owner == x.ExpiredOwner || n.owner.Entry == x.Attempt.Entry && n.owner.Incarnation < x.Attempt.Incarnation
	if gone && n.state == claim.Sent {
		n.state = claim.Unknown
	}
	takes := n.state == claim.NotRun || gone && n.state == claim.Claimed
	if takes && n.owner != x.Attempt && !n.lost[x.Attempt.ID] {
		n.lost[n.owner.ID] = true
		n.owner, n.state = x.Attempt, claim.Claimed
	}
	return n.result(x.Attempt)
}

func (n *naive) result(asked claim.Attempt) claim.Result {
	if n.state == claim.None {
		return claim.Result{State: claim.None, Reason: outcome.ReasonRequestNotFound}
	}
	r := claim.Result{State: n.state, Owned: n.owner == asked, Answer: n.answer}
	if !r.Owned && (n.state == claim.Claimed || n.state == claim.Sent) {
		r.Reason = outcome.ReasonCallInProgress
	}
	return r
}

func drawCommand(t *rapid.T, key string) claim.Command {
	owner := claim.Owner{
		Entry:       rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry"),
		Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
	}
	a := claim.Attempt{Owner: owner, ID: fmt.Sprintf("%s-%d-%d", owner.Entry, owner.Incarnation, rapid.IntRange(1, 2).Draw(t, "attempt"))}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		gone := claim.Owner{Entry: rapid.SampledFrom([]string{"", "e1", "e2"}).Draw(t, "gone"), Incarnation: 1}
		return claim.Acquire{Key: key, BodyHash: rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "hash"), Attempt: a, ExpiredOwner: gone}
	case 1:
		return claim.MarkSent{Key: key, Attempt: a}
	case 2:
		state := rapid.SampledFrom([]claim.State{claim.Answered, claim.NotRun, claim.Unknown}).Draw(t, "state")
		return claim.Settle{Key: key, Attempt: a, State: state, Answer: claim.Answer{Status: 200, Body: []byte(a.ID)}}
	default:
		return claim.ExpireOwner{Owner: owner}
	}
}

// Guards against a transition that the rules do not allow, and against a
// snapshot or an encoded command that loses a part of the state.
func TestMachineFollowsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := claim.NewMachine()
		models := map[string]*naive{}
		for i := range byte(2) {
			models[keyAt(noon, i)] = &naive{state: claim.None}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := keyAt(noon, byte(rapid.IntRange(0, 1).Draw(t, "key")))
			command := recoded(t, drawCommand(t, key))
			got, want := machine.Apply(noon, command), models[key].apply(command)
			if _, every := command.(claim.ExpireOwner); every {
				models[keyAt(noon, 0)].apply(command)
				models[keyAt(noon, 1)].apply(command)
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("%#v:\n got %+v\nwant %+v", command, got, want)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				machine = restarted(t, machine)
			}
		}
	})
}

func recoded(t *rapid.T, command claim.Command) claim.Command {
	data, err := claim.EncodeCommand(command)
	if err != nil {
		t.Fatal(err)
	}
	got, err := claim.DecodeCommand(data)
	if err != nil || !reflect.DeepEqual(got, command) {
		t.Fatalf("recoded: got %#v (%v), want %#v", got, err, command)
	}
	return got
}

func restarted(t *rapid.T, machine *claim.Machine) *claim.Machine {
	snapshot := machine.Snapshot()
	restored := claim.NewMachine()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if again := restored.Snapshot(); string(again) != string(snapshot) || restored.Bytes() != machine.Bytes() {
		t.Fatalf("after restore: got %q, %d bytes, want %q, %d bytes", again, restored.Bytes(), snapshot, machine.Bytes())
	}
	return restored
}

// Guards against a key that runs again after its claim was dropped, a machine
// whose time moves back, and claims that are kept for ever.
func TestKeyAge(t *testing.T) {
	tests := []struct {
		name string
		key  string
		at   clock.Millis
		want outcome.Reason
	}{
		{"now", keyAt(noon, 1), noon, ""},
		{"at the horizon", keyAt(noon, 1), noon + claim.MaxKeyAge, ""},
		{"past the horizon", keyAt(noon, 1), noon + claim.MaxKeyAge + 1, outcome.ReasonKeyExpired},
		{"slightly ahead", keyAt(noon+claim.MaxClockSkew, 1), noon, ""},
		{"too far ahead", keyAt(noon+claim.MaxClockSkew+1, 1), noon, outcome.ReasonKeyInvalid},
		{"random", uuid.NewString(), noon, outcome.ReasonKeyInvalid},
		{"other spelling", "{" + keyAt(noon, 1) + "}", noon, outcome.ReasonKeyInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			machine := claim.NewMachine()
			a := attempt("e1", 1, "a")
			if got := machine.Apply(tt.at, claim.Acquire{Key: tt.key, Attempt: a}); got.Reason != tt.want {
				t.Errorf("got %q, want %q", got.Reason, tt.want)
			}
			machine.Apply(noon+2*claim.MaxKeyAge, claim.ExpireOwner{})
			if machine.Len() != 0 || machine.Bytes() != 0 {
				t.Errorf("after the horizon: got %d claims with %d bytes, want none", machine.Len(), machine.Bytes())
			}
			if got := machine.Apply(noon, claim.Acquire{Key: tt.key, Attempt: a}); got.State != claim.None {
				t.Errorf("after the time went back: got state %q, want %q", got.State, claim.None)
			}
		})
	}
}

// Guards against memory without bound: an answer above the limit is refused, and
// so are new keys once the machine is full, but never the answer of a sent call.
func TestBounds(t *testing.T) {
	machine := claim.NewMachine()
	answer := claim.Answer{Status: 200, Body: make([]byte, claim.MaxAnswerBytes)}
	for i := 0; ; i++ {
		key, a := keyAt(noon+clock.Millis(i), 0), attempt("e1", 1, "a")
		if got := machine.Apply(noon, claim.Acquire{Key: key, Attempt: a}); got.Reason == outcome.ReasonOverloaded {
			break
		}
		machine.Apply(noon, claim.MarkSent{Key: key, Attempt: a})
		tooLarge := claim.Answer{Body: make([]byte, claim.MaxAnswerBytes+1)}
		if got := machine.Apply(noon, claim.Settle{Key: key, Attempt: a, State: claim.Answered, Answer: tooLarge}); got.State != claim.Sent {
			t.Fatalf("too large an answer: got %q, want %q", got.State, claim.Sent)
		}
		if got := machine.Apply(noon, claim.Settle{Key: key, Attempt: a, State: claim.Answered, Answer: answer}); got.State != claim.Answered {
			t.Fatalf("answer %d: got %q, want %q", i, got.State, claim.Answered)
		}
	}
	if got, limit := machine.Bytes(), claim.MaxTotalBytes+claim.MaxAnswerBytes+1024; got > limit {
		t.Errorf("bytes: got %d, want at most %d", got, limit)
	}
}

// Guards against decoders of peer messages and snapshots that panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"settle","key":"k","entry":"e","incarnation":1,"attempt":"a","state":"answered","answer":{"status":200,"body_base64":"AA=="}}`))
	f.Add([]byte(`{"state":"sent","owned":true,"reason":""}`))
	full := claim.NewMachine()
	for i := range byte(3) {
		a := attempt("e1", 1, "a")
		full.Apply(noon, claim.Acquire{Key: keyAt(noon, i), BodyHash: "h", Attempt: a})
		full.Apply(noon, claim.MarkSent{Key: keyAt(noon, i), Attempt: a})
	}
	answer := claim.Answer{Status: 200, Headers: map[string][]string{"A": {"b", ""}}, Body: []byte{0}}
	full.Apply(noon, claim.Settle{Key: keyAt(noon, 0), Attempt: attempt("e1", 1, "a"), State: claim.Answered, Answer: answer})
	f.Add(full.Snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := claim.DecodeResult(data); err == nil {
			if _, err := claim.EncodeResult(r); err != nil {
				t.Error(err)
			}
		}
		machine := claim.NewMachine()
		if machine.Restore(data) == nil {
			again := claim.NewMachine()
			if err := again.Restore(machine.Snapshot()); err != nil || again.Len() != machine.Len() {
				t.Errorf("got %d claims (%v), want %d", again.Len(), err, machine.Len())
			}
		}
		if c, err := claim.DecodeCommand(data); err == nil {
			machine.Apply(noon, c)
		}
	})
}
