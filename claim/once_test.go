package claim_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/claim"
)

// call is one attempt of an entry at a call, as the entry's goroutine runs it.
// Each step waits for the reply of the one before.
type call struct {
	attempt claim.Attempt
	key     string
	step    string // claiming, claimed, sending, sent, written or done
}

// delivery is a command on its way to the control group. It may be delivered
// late, twice or never, and its reply may be lost.
type delivery struct {
	command claim.Command
	from    *call
}

// ledger counts the runs of each call, as a non-idempotent service would.
type ledger struct {
	runs     map[string]int
	attempts map[claim.Attempt]bool
}

// world is a control group, a ledger and entries that crash, freeze and resume
// at any step. A call that is not stepped is frozen.
type world struct {
	machine      *claim.Machine
	ledger       ledger
	calls        []*call
	network      []delivery
	incarnations map[string]uint64
	notRun       map[claim.Attempt]bool // attempts whose caller was told that it was not run
	serial       int
}

func (w *world) submit(t *rapid.T) {
	entry := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "entry")
	w.serial++
	c := &call{
		attempt: attempt(entry, w.incarnations[entry], fmt.Sprint(w.serial)),
		key:     keyAt(noon, byte(rapid.IntRange(0, 1).Draw(t, "key"))), step: "claiming",
	}
	w.calls = append(w.calls, c)
	w.send(c, claim.Acquire{Key: c.key, Attempt: c.attempt})
}

func (w *world) send(c *call, command claim.Command) {
	w.network = append(w.network, delivery{command: command, from: c})
}

// deliver lets any command on its way arrive. The leader adds what it knows of
// the holder's lease; a lease that it finds expired may belong to a frozen entry.
func (w *world) deliver(t *rapid.T) {
	if len(w.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.network)-1).Draw(t, "delivery")
	d := w.network[i]
	if rapid.IntRange(0, 2).Draw(t, "doubled") > 0 {
		w.network = slices.Delete(w.network, i, i+1)
	}
	if a, ok := d.command.(claim.Acquire); ok && rapid.Bool().Draw(t, "expired") {
		a.ExpiredOwner, _ = w.machine.PendingOwner(a.Key)
		d.command = a
	}
	result := w.machine.Apply(noon, d.command)
	if d.from != nil && rapid.IntRange(0, 3).Draw(t, "reply lost") > 0 {
		d.from.take(d.command, result, w)
	}
}

// take moves the entry's goroutine on when the reply is the one it waits for.
func (c *call) take(command claim.Command, r claim.Result, w *world) {
	switch command.(type) {
	case claim.Acquire:
		if c.step == "claiming" && r.Owned && r.State == claim.Claimed {
			c.step = "claimed"
		} else if c.step == "claiming" {
			c.step = "done"
		}
	case claim.MarkSent:
		if c.step == "sending" && r.Owned && r.State == claim.Sent {
			c.step = "sent"
		} else if c.step == "sending" {
			c.refuse(w)
		}
	}
}

// refuse ends an attempt that has written nothing: its caller is told that it
// was not run.
func (c *call) refuse(w *world) {
	c.step = "done"
	w.notRun[c.attempt] = true
	w.send(c, claim.Settle{Key: c.key, Attempt: c.attempt, State: claim.NotRun})
}

// pick returns one of the calls at these steps, if there are any.
func (w *world) pick(t *rapid.T, steps ...string) (*call, bool) {
	ready := slices.DeleteFunc(slices.Clone(w.calls), func(c *call) bool { return !slices.Contains(steps, c.step) })
	if len(ready) == 0 {
		return nil, false
	}
	return rapid.SampledFrom(ready).Draw(t, "call"), true
}

func (w *world) markSent(t *rapid.T) {
	c, ok := w.pick(t, "claimed")
	if !ok {
		return
	}
	c.step = "sending"
	w.send(c, claim.MarkSent{Key: c.key, Attempt: c.attempt})
}

func (w *world) resend(t *rapid.T) {
	c, ok := w.pick(t, "sending")
	if !ok {
		return
	}
	w.send(c, claim.MarkSent{Key: c.key, Attempt: c.attempt})
}

func (w *world) giveUp(t *rapid.T) {
	if c, ok := w.pick(t, "claiming", "claimed", "sending"); ok {
		c.refuse(w)
	}
}

// write sends the first byte. The service may refuse by protocol, run the call
// and answer, or run it while the answer is lost.
func (w *world) write(t *rapid.T) {
	c, ok := w.pick(t, "sent")
	if !ok {
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "service") == 0 {
		c.refuse(w)
		return
	}
	w.ledger.runs[c.key]++
	w.ledger.attempts[c.attempt] = true
	c.step = "written"
}

func (w *world) settle(t *rapid.T) {
	c, ok := w.pick(t, "written")
	if !ok {
		return
	}
	c.step = "done"
	state := rapid.SampledFrom([]claim.State{claim.Answered, claim.Unknown}).Draw(t, "state")
	w.send(c, claim.Settle{Key: c.key, Attempt: c.attempt, State: state, Answer: claim.Answer{Status: 200, Body: []byte(c.key)}})
}

// crash ends an entry's goroutines at whatever step they are. Its commands may
// still be on their way.
func (w *world) crash(t *rapid.T) {
	entry := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "entry")
	w.incarnations[entry]++
	for _, c := range w.calls {
		if c.attempt.Entry == entry {
			c.step = "done"
		}
	}
}

func (w *world) expire(t *rapid.T) {
	owners := w.machine.SentOwners()
	if len(owners) == 0 {
		return
	}
	w.network = append(w.network, delivery{command: claim.ExpireOwner{Owner: rapid.SampledFrom(owners).Draw(t, "owner")}})
}

func (w *world) check(t *rapid.T) {
	for i := range byte(2) {
		key := keyAt(noon, i)
		runs, recorded := w.ledger.runs[key], w.machine.Lookup(key)
		if runs > 1 {
			t.Fatalf("the ledger ran %s %d times", key, runs)
		}
		if runs > 0 && (recorded.State == claim.NotRun || recorded.State == claim.Claimed) {
			t.Fatalf("%s ran and is recorded as %q", key, recorded.State)
		}
		if recorded.State == claim.Answered && string(recorded.Answer.Body) != key {
			t.Fatalf("%s has the answer %q", key, recorded.Answer.Body)
		}
	}
	for a := range w.notRun {
		if w.ledger.attempts[a] {
			t.Fatalf("attempt %+v was reported as not run and ran", a)
		}
	}
}

// Guards against a second run of an at-most-once call, and against a call that
// ran and is reported as not run, when entries crash or freeze at any step,
// callers retry at other entries, and messages are lost, late, doubled or
// reordered.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			machine: claim.NewMachine(), incarnations: map[string]uint64{},
			ledger: ledger{runs: map[string]int{}, attempts: map[claim.Attempt]bool{}},
			notRun: map[claim.Attempt]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": w.submit, "submit2": w.submit, "deliver": w.deliver, "deliver2": w.deliver, "deliver3": w.deliver,
			"mark sent": w.markSent, "resend": w.resend, "give up": w.giveUp, "write": w.write, "settle": w.settle,
			"crash": w.crash, "expire": w.expire, "": w.check,
		})
	})
}
