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

// testTime is the time of day at which most commands are applied.
const testTime = 1_800_000_000_000 * clock.Millisecond

// keyAt returns a UUIDv7 key that encodes the time of day at; n makes it unique.
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

// claimModel is a reference implementation of a single claim: the same rules,
// written as simply as possible.
type claimModel struct {
	state            claim.State
	attempt          claim.Attempt
	bodyHash         string
	answer           claim.Answer
	formerAttemptIDs map[string]bool
}

func (m *claimModel) apply(command claim.Command) claim.Result {
	switch c := command.(type) {
	case claim.Acquire:
		return m.acquire(c)
	case claim.MarkSent:
		if m.state == claim.Claimed && m.attempt == c.Attempt {
			m.state = claim.Sent
		}
		return m.result(c.Attempt)
	case claim.EndAttempt:
		allowed := map[claim.State]map[claim.State]bool{
			claim.Claimed: {claim.NotRun: true},
			claim.Sent:    {claim.NotRun: true, claim.Answered: true, claim.Unknown: true},
			claim.Unknown: {claim.NotRun: true, claim.Answered: true},
		}
		if m.attempt == c.Attempt && allowed[m.state][c.State] {
			if m.state = c.State; c.State == claim.Answered {
				m.answer = c.Answer
			}
		}
		return m.result(c.Attempt)
	case claim.ExpireOwner:
		if m.state == claim.Sent && m.attempt.Owner == c.Owner {
			m.state = claim.Unknown
		}
	}
	return claim.Result{}
}

func (m *claimModel) acquire(c claim.Acquire) claim.Result {
	if m.state == claim.None {
		*m = claimModel{state: claim.Claimed, attempt: c.Attempt, bodyHash: c.BodyHash, formerAttemptIDs: map[string]bool{}}
		return m.result(c.Attempt)
	}
	if m.bodyHash != c.BodyHash {
		return claim.Result{State: m.state, Reason: outcome.ReasonKeyReused}
	}
	ownerHasEnded := m.attempt.Owner == c.ExpiredOwner || m.attempt.Entry == c.Attempt.Entry && m.attempt.Incarnation < c.Attempt.Incarnation
	if ownerHasEnded && m.state == claim.Sent {
		m.state = claim.Unknown
	}
	takesOver := m.state == claim.NotRun || ownerHasEnded && m.state == claim.Claimed
	if takesOver && m.attempt != c.Attempt && !m.formerAttemptIDs[c.Attempt.ID] {
		m.formerAttemptIDs[m.attempt.ID] = true
		m.attempt, m.state = c.Attempt, claim.Claimed
	}
	return m.result(c.Attempt)
}

func (m *claimModel) result(requester claim.Attempt) claim.Result {
	if m.state == claim.None {
		return claim.Result{State: claim.None, Reason: outcome.ReasonRequestNotFound}
	}
	r := claim.Result{State: m.state, Owned: m.attempt == requester, Answer: m.answer}
	if !r.Owned && (m.state == claim.Claimed || m.state == claim.Sent) {
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
		expired := claim.Owner{Entry: rapid.SampledFrom([]string{"", "e1", "e2"}).Draw(t, "gone"), Incarnation: 1}
		return claim.Acquire{Key: key, BodyHash: rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "hash"), Attempt: a, ExpiredOwner: expired}
	case 1:
		return claim.MarkSent{Key: key, Attempt: a}
	case 2:
		state := rapid.SampledFrom([]claim.State{claim.Answered, claim.NotRun, claim.Unknown}).Draw(t, "state")
		return claim.EndAttempt{Key: key, Attempt: a, State: state, Answer: claim.Answer{Status: 200, Body: []byte(a.ID)}}
	default:
		return claim.ExpireOwner{Owner: owner}
	}
}

// Guards against a state change that the rules do not allow, and against a
// snapshot or an encoded command that loses data.
func TestMachineFollowsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := claim.NewMachine()
		models := map[string]*claimModel{}
		for i := range byte(2) {
			models[keyAt(testTime, i)] = &claimModel{state: claim.None}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := keyAt(testTime, byte(rapid.IntRange(0, 1).Draw(t, "key")))
			command := encodeAndDecode(t, drawCommand(t, key))
			got, want := machine.Apply(testTime, command), models[key].apply(command)
			if _, appliesToAllKeys := command.(claim.ExpireOwner); appliesToAllKeys {
				models[keyAt(testTime, 0)].apply(command)
				models[keyAt(testTime, 1)].apply(command)
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("%#v:\n got %+v\nwant %+v", command, got, want)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				machine = restoreFromSnapshot(t, machine)
			}
		}
	})
}

func encodeAndDecode(t *rapid.T, command claim.Command) claim.Command {
	data, err := claim.EncodeCommand(command)
	if err != nil {
		t.Fatal(err)
	}
	got, err := claim.DecodeCommand(data)
	if err != nil || !reflect.DeepEqual(got, command) {
		t.Fatalf("command after encoding and decoding: got %#v (%v), want %#v", got, err, command)
	}
	return got
}

func restoreFromSnapshot(t *rapid.T, machine *claim.Machine) *claim.Machine {
	snapshot := machine.Snapshot()
	restored := claim.NewMachine()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if restoredSnapshot := restored.Snapshot(); string(restoredSnapshot) != string(snapshot) || restored.Bytes() != machine.Bytes() {
		t.Fatalf("after restore: got %q, %d bytes, want %q, %d bytes", restoredSnapshot, restored.Bytes(), snapshot, machine.Bytes())
	}
	return restored
}

// Guards against a second run of a call after its claim was dropped, against a
// machine whose time moves back, and against claims that are never dropped.
func TestKeyAge(t *testing.T) {
	tests := []struct {
		name string
		key  string
		at   clock.Millis
		want outcome.Reason
	}{
		{"now", keyAt(testTime, 1), testTime, ""},
		{"at the maximum age", keyAt(testTime, 1), testTime + claim.MaxKeyAge, ""},
		{"past the maximum age", keyAt(testTime, 1), testTime + claim.MaxKeyAge + 1, outcome.ReasonKeyExpired},
		{"slightly ahead", keyAt(testTime+claim.MaxClockSkew, 1), testTime, ""},
		{"too far ahead", keyAt(testTime+claim.MaxClockSkew+1, 1), testTime, outcome.ReasonKeyInvalid},
		{"random", uuid.NewString(), testTime, outcome.ReasonKeyInvalid},
		{"other spelling", "{" + keyAt(testTime, 1) + "}", testTime, outcome.ReasonKeyInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			machine := claim.NewMachine()
			a := attempt("e1", 1, "a")
			if got := machine.Apply(tt.at, claim.Acquire{Key: tt.key, Attempt: a}); got.Reason != tt.want {
				t.Errorf("got %q, want %q", got.Reason, tt.want)
			}
			machine.Apply(testTime+2*claim.MaxKeyAge, claim.ExpireOwner{})
			if machine.Len() != 0 || machine.Bytes() != 0 {
				t.Errorf("after all keys have expired: got %d claims with %d bytes, want none", machine.Len(), machine.Bytes())
			}
			if got := machine.Apply(testTime, claim.Acquire{Key: tt.key, Attempt: a}); got.State != claim.None {
				t.Errorf("after the time went back: got state %q, want %q", got.State, claim.None)
			}
		})
	}
}

// Guards against unbounded memory: an answer above the limit is refused, and so is
// a new key when the machine is full. The answer of a call that was sent before
// is still recorded then.
func TestBounds(t *testing.T) {
	machine := claim.NewMachine()
	answer := claim.Answer{Status: 200, Body: make([]byte, claim.MaxAnswerBytes)}
	for i := 0; ; i++ {
		key, a := keyAt(testTime+clock.Millis(i), 0), attempt("e1", 1, "a")
		if got := machine.Apply(testTime, claim.Acquire{Key: key, Attempt: a}); got.Reason == outcome.ReasonOverloaded {
			break
		}
		machine.Apply(testTime, claim.MarkSent{Key: key, Attempt: a})
		tooLarge := claim.Answer{Body: make([]byte, claim.MaxAnswerBytes+1)}
		if got := machine.Apply(testTime, claim.EndAttempt{Key: key, Attempt: a, State: claim.Answered, Answer: tooLarge}); got.State != claim.Sent {
			t.Fatalf("too large an answer: got %q, want %q", got.State, claim.Sent)
		}
		if got := machine.Apply(testTime, claim.EndAttempt{Key: key, Attempt: a, State: claim.Answered, Answer: answer}); got.State != claim.Answered {
			t.Fatalf("answer %d: got %q, want %q", i, got.State, claim.Answered)
		}
	}
	if got, limit := machine.Bytes(), claim.MaxTotalBytes+claim.MaxAnswerBytes+1024; got > limit {
		t.Errorf("bytes: got %d, want at most %d", got, limit)
	}
}

// Guards against panics in the decoders of peer messages and snapshots.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"settle","key":"k","entry":"e","incarnation":1,"attempt":"a","state":"answered","answer":{"status":200,"body_base64":"AA=="}}`))
	f.Add([]byte(`{"state":"sent","owned":true,"reason":""}`))
	seedMachine := claim.NewMachine()
	for i := range byte(3) {
		a := attempt("e1", 1, "a")
		seedMachine.Apply(testTime, claim.Acquire{Key: keyAt(testTime, i), BodyHash: "h", Attempt: a})
		seedMachine.Apply(testTime, claim.MarkSent{Key: keyAt(testTime, i), Attempt: a})
	}
	answer := claim.Answer{Status: 200, Headers: map[string][]string{"A": {"b", ""}}, Body: []byte{0}}
	seedMachine.Apply(testTime, claim.EndAttempt{Key: keyAt(testTime, 0), Attempt: attempt("e1", 1, "a"), State: claim.Answered, Answer: answer})
	f.Add(seedMachine.Snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := claim.DecodeResult(data); err == nil {
			if _, err := claim.EncodeResult(r); err != nil {
				t.Error(err)
			}
		}
		machine := claim.NewMachine()
		if machine.Restore(data) == nil {
			restored := claim.NewMachine()
			if err := restored.Restore(machine.Snapshot()); err != nil || restored.Len() != machine.Len() {
				t.Errorf("got %d claims (%v), want %d", restored.Len(), err, machine.Len())
			}
		}
		if c, err := claim.DecodeCommand(data); err == nil {
			machine.Apply(testTime, c)
		}
	})
}
