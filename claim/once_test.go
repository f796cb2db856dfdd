package claim_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/claim"
)

// callAttempt is one attempt of an entry at a call, as the entry's goroutine executes it.
// Each step waits for the reply to the previous one.
type callAttempt struct {
	attempt claim.Attempt
	key     string
	step    string // claiming, claimed, sending, sent, written or done
}

// message is a command on its way to the control group. It may be delivered late,
// twice or never, and its reply may be lost. sender is nil for a command of the
// leader.
type message struct {
	command claim.Command
	sender  *callAttempt
}

// ledger is a non-idempotent service that counts the runs of each call.
type ledger struct {
	runs        map[string]int
	ranAttempts map[claim.Attempt]bool
}

// simulation is a control group, a ledger and entries that crash, freeze and
// resume at any step. An attempt is frozen while no action advances it.
type simulation struct {
	machine      *claim.Machine
	ledger       ledger
	attempts     []*callAttempt
	inFlight     []message
	incarnations map[string]uint64
	notRun       map[claim.Attempt]bool // attempts that were reported as not run to the caller
	submitted    int                    // number of attempts so far
}

// submit starts a new attempt at a call.
func (s *simulation) submit(t *rapid.T) {
	entry := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "entry")
	s.submitted++
	c := &callAttempt{
		attempt: attempt(entry, s.incarnations[entry], fmt.Sprint(s.submitted)),
		key:     keyAt(testTime, byte(rapid.IntRange(0, 1).Draw(t, "key"))), step: "claiming",
	}
	s.attempts = append(s.attempts, c)
	s.send(c, claim.Acquire{Key: c.key, Attempt: c.attempt})
}

func (s *simulation) send(c *callAttempt, command claim.Command) {
	s.inFlight = append(s.inFlight, message{command: command, sender: c})
}

// deliver applies one of the commands in flight. The leader may add to an Acquire
// that the lease of the claim's owner has expired; this owner may be a frozen
// entry, which continues later.
func (s *simulation) deliver(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "delivery")
	m := s.inFlight[i]
	if rapid.IntRange(0, 2).Draw(t, "doubled") > 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if a, ok := m.command.(claim.Acquire); ok && rapid.Bool().Draw(t, "expired") {
		a.ExpiredOwner, _ = s.machine.PendingOwner(a.Key)
		m.command = a
	}
	result := s.machine.Apply(testTime, m.command)
	if m.sender != nil && rapid.IntRange(0, 3).Draw(t, "reply lost") > 0 {
		m.sender.handleReply(m.command, result, s)
	}
}

// handleReply advances the attempt if it waits for this reply.
func (c *callAttempt) handleReply(command claim.Command, r claim.Result, s *simulation) {
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
			c.endNotRun(s)
		}
	}
}

// endNotRun ends an attempt that has not run and reports this to its caller.
func (c *callAttempt) endNotRun(s *simulation) {
	c.step = "done"
	s.notRun[c.attempt] = true
	s.send(c, claim.EndAttempt{Key: c.key, Attempt: c.attempt, State: claim.NotRun})
}

// drawAttempt draws one of the attempts at the given steps. It returns false if there is
// none.
func (s *simulation) drawAttempt(t *rapid.T, steps ...string) (*callAttempt, bool) {
	candidates := slices.DeleteFunc(slices.Clone(s.attempts), func(c *callAttempt) bool { return !slices.Contains(steps, c.step) })
	if len(candidates) == 0 {
		return nil, false
	}
	return rapid.SampledFrom(candidates).Draw(t, "call"), true
}

// requestSend asks the control group to mark the call of a claimed attempt as sent.
func (s *simulation) requestSend(t *rapid.T) {
	c, ok := s.drawAttempt(t, "claimed")
	if !ok {
		return
	}
	c.step = "sending"
	s.send(c, claim.MarkSent{Key: c.key, Attempt: c.attempt})
}

// repeatSendRequest sends the request of requestSend again.
func (s *simulation) repeatSendRequest(t *rapid.T) {
	c, ok := s.drawAttempt(t, "sending")
	if !ok {
		return
	}
	s.send(c, claim.MarkSent{Key: c.key, Attempt: c.attempt})
}

// giveUp ends an attempt before it has sent the call.
func (s *simulation) giveUp(t *rapid.T) {
	if c, ok := s.drawAttempt(t, "claiming", "claimed", "sending"); ok {
		c.endNotRun(s)
	}
}

// write sends a call to the ledger, which either refuses it without running it, or
// runs it. Its answer may be lost.
func (s *simulation) write(t *rapid.T) {
	c, ok := s.drawAttempt(t, "sent")
	if !ok {
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "service") == 0 {
		c.endNotRun(s)
		return
	}
	s.ledger.runs[c.key]++
	s.ledger.ranAttempts[c.attempt] = true
	c.step = "written"
}

// endWritten ends an attempt whose call was written to the ledger. The answer of the
// ledger may have been lost, so the outcome is answered or unknown.
func (s *simulation) endWritten(t *rapid.T) {
	c, ok := s.drawAttempt(t, "written")
	if !ok {
		return
	}
	c.step = "done"
	state := rapid.SampledFrom([]claim.State{claim.Answered, claim.Unknown}).Draw(t, "state")
	s.send(c, claim.EndAttempt{Key: c.key, Attempt: c.attempt, State: state, Answer: claim.Answer{Status: 200, Body: []byte(c.key)}})
}

// crash ends all attempts of an entry, at any step, and raises the entry's
// incarnation. Its commands may still be in flight.
func (s *simulation) crash(t *rapid.T) {
	entry := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "entry")
	s.incarnations[entry]++
	for _, c := range s.attempts {
		if c.attempt.Entry == entry {
			c.step = "done"
		}
	}
}

// expireOwner makes the leader send ExpireOwner for an owner of sent claims.
func (s *simulation) expireOwner(t *rapid.T) {
	owners := s.machine.SentOwners()
	if len(owners) == 0 {
		return
	}
	s.inFlight = append(s.inFlight, message{command: claim.ExpireOwner{Owner: rapid.SampledFrom(owners).Draw(t, "owner")}})
}

// checkInvariants fails the test if a call ran twice, or if its recorded state or
// the report to a caller contradicts what ran.
func (s *simulation) checkInvariants(t *rapid.T) {
	for i := range byte(2) {
		key := keyAt(testTime, i)
		runs, recorded := s.ledger.runs[key], s.machine.Lookup(key)
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
	for a := range s.notRun {
		if s.ledger.ranAttempts[a] {
			t.Fatalf("attempt %+v was reported as not run and ran", a)
		}
	}
}

// Guards against a second run of a once-only call, and against a call that ran
// but is reported as not run. Entries crash or freeze at any step, callers retry
// at other entries, and messages are lost, delayed, duplicated or reordered.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			machine: claim.NewMachine(), incarnations: map[string]uint64{},
			ledger: ledger{runs: map[string]int{}, ranAttempts: map[claim.Attempt]bool{}},
			notRun: map[claim.Attempt]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": s.submit, "submit2": s.submit, "deliver": s.deliver, "deliver2": s.deliver, "deliver3": s.deliver,
			"mark sent": s.requestSend, "resend": s.repeatSendRequest, "give up": s.giveUp, "write": s.write, "settle": s.endWritten,
			"crash": s.crash, "expire": s.expireOwner, "": s.checkInvariants,
		})
	})
}
