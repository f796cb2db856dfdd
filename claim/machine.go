package claim

import (
	"container/heap"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// Limits of the replicated state.
const (
	// MaxKeyAge is how long a key is kept. An older key is refused, because its
	// claim may have been dropped.
	MaxKeyAge = 24 * clock.Hour
	// MaxClockSkew is how far in the future a key may be: the clocks of callers and
	// of the leader differ.
	MaxClockSkew = 5 * clock.Minute
	// MaxAnswerBytes is the largest answer that can be recorded.
	MaxAnswerBytes = 1 << 20
	// MaxClaims and MaxTotalBytes bound memory and snapshots. A new key is refused
	// at the bound; a claim is never dropped before its horizon.
	MaxClaims     = 200_000
	MaxTotalBytes = 64 << 20
	// maxEarlier bounds the attempts that are remembered as lost.
	maxEarlier = 8
	// recordOverhead is the estimated memory of a claim besides hash and answer.
	recordOverhead = 512
)

// Command changes or reads a claim: Acquire, Send, Settle or ExpireOwner.
type Command interface {
	apply(m *Machine) Result
}

// Acquire claims a key for an attempt. Gone names the owner whose lease has
// certainly expired, as the leader saw it; a claim of any other owner is kept.
type Acquire struct {
	Key          string
	BodyHash     string
	Attempt      Attempt
	ExpiredOwner Owner
}

// MarkSent marks a claim as sent. The attempt may write the first byte only when the
// result is owned and sent.
type MarkSent struct {
	Key     string
	Attempt Attempt
}

// Settle records how an attempt ended.
type Settle struct {
	Key     string
	Attempt Attempt
	State   State // Answered, NotRun or Unknown
	Answer  Answer
}

// ExpireOwner makes the sent claims of an owner unknown, because its lease has
// certainly expired.
type ExpireOwner struct {
	Owner Owner
}

// Machine is the replicated state of all claims. It is deterministic and has one
// owner.
type Machine struct {
	now     clock.Millis // time of day; only moves forward
	records map[string]*record
	oldest  expiry
	sent    map[Owner]map[string]*record
	bytes   int
}

// NewMachine returns a machine without claims.
func NewMachine() *Machine {
	return &Machine{records: map[string]*record{}, sent: map[Owner]map[string]*record{}}
}

// Apply moves the time forward to at, unless it is older, and runs the command.
func (m *Machine) Apply(at clock.Millis, command Command) Result {
	m.now = max(m.now, at)
	m.dropExpired()
	return command.apply(m)
}

// Lookup returns the state of a claim.
func (m *Machine) Lookup(key string) Result {
	if reason := m.checkKey(key); reason != outcome.ReasonNone {
		return Result{State: None, Reason: reason}
	}
	r, ok := m.records[key]
	if !ok {
		return Result{State: None, Reason: outcome.ReasonRequestNotFound}
	}
	return Result{State: r.state, Answer: r.answer}
}

// PendingOwner returns the owner of a claim whose state another entry can change when
// that owner is gone.
func (m *Machine) PendingOwner(key string) (Owner, bool) {
	r, ok := m.records[key]
	if !ok || (r.state != Claimed && r.state != Sent) {
		return Owner{}, false
	}
	return r.attempt.Owner, true
}

// SentOwners returns the owners of sent claims.
func (m *Machine) SentOwners() []Owner {
	owners := make([]Owner, 0, len(m.sent))
	for o := range m.sent {
		owners = append(owners, o)
	}
	slices.SortFunc(owners, compareOwners)
	return owners
}

// Len returns the number of claims.
func (m *Machine) Len() int { return len(m.records) }

// Bytes returns the estimated memory that the claims use.
func (m *Machine) Bytes() int { return m.bytes }

// Now returns the machine's time of day.
func (m *Machine) Now() clock.Millis { return m.now }

func (a Acquire) apply(m *Machine) Result {
	if reason := m.checkKey(a.Key); reason != outcome.ReasonNone {
		return Result{State: None, Reason: reason}
	}
	r, ok := m.records[a.Key]
	if !ok {
		return m.add(a)
	}
	if r.bodyHash != a.BodyHash {
		return Result{State: r.state, Reason: outcome.ReasonKeyReused}
	}
	if r.state == Sent && a.replaces(r) {
		m.move(r, Unknown)
	}
	if r.attempt != a.Attempt && m.free(r, a) {
		m.takeOver(r, a.Attempt)
	}
	return r.result(a.Attempt)
}

// free reports whether the attempt may take the claim: the call has certainly
// not run, and the former attempt has ended or its owner is gone. An attempt that
// lost the claim before does not get it again: its message was late.
func (m *Machine) free(r *record, a Acquire) bool {
	if slices.Contains(r.earlier, a.Attempt.ID) {
		return false
	}
	return r.state == NotRun || r.state == Claimed && a.replaces(r)
}

// replaces reports whether the claim's owner is gone: its lease has expired, or
// it is an earlier life of the same entry.
func (a Acquire) replaces(r *record) bool {
	restarted := r.attempt.Entry == a.Attempt.Entry && r.attempt.Incarnation < a.Attempt.Incarnation
	return restarted || r.attempt.Owner == a.ExpiredOwner
}

func (s MarkSent) apply(m *Machine) Result {
	r, refusal := m.owned(s.Key, s.Attempt)
	if r == nil {
		return refusal
	}
	if r.state == Claimed {
		m.move(r, Sent)
	}
	return r.result(s.Attempt)
}

func (s Settle) apply(m *Machine) Result {
	r, refusal := m.owned(s.Key, s.Attempt)
	if r == nil {
		return refusal
	}
	if s.Answer.size() > MaxAnswerBytes {
		return Result{State: r.state, Owned: true, Reason: outcome.ReasonTooLarge}
	}
	if !settles(r.state, s.State) {
		return r.result(s.Attempt)
	}
	if s.State == Answered {
		r.answer = s.Answer
		m.bytes += s.Answer.size()
	}
	m.move(r, s.State)
	return r.result(s.Attempt)
}

// settles reports whether the owner may move a claim between the states. A claim
// that is answered or not run has ended. An attempt that sent nothing can only
// end as not run.
func settles(from, to State) bool {
	switch from {
	case Claimed:
		return to == NotRun
	case Sent:
		return to == Answered || to == NotRun || to == Unknown
	case Unknown:
		return to == Answered || to == NotRun
	default:
		return false
	}
}

func (g ExpireOwner) apply(m *Machine) Result {
	for _, r := range m.sent[g.Owner] {
		m.move(r, Unknown)
	}
	return Result{}
}

func (m *Machine) add(a Acquire) Result {
	if len(m.records) >= MaxClaims || m.bytes >= MaxTotalBytes {
		return Result{State: None, Reason: outcome.ReasonOverloaded}
	}
	created, _ := KeyTime(a.Key)
	r := &record{key: a.Key, created: created, bodyHash: a.BodyHash, attempt: a.Attempt, state: Claimed}
	m.insert(r)
	return r.result(a.Attempt)
}

func (m *Machine) insert(r *record) {
	m.records[r.key] = r
	m.bytes += r.size()
	heap.Push(&m.oldest, r)
	m.index(r)
}

func (m *Machine) takeOver(r *record, attempt Attempt) {
	r.earlier = append(slices.Clone(r.earlier), r.attempt.ID)
	if extra := len(r.earlier) - maxEarlier; extra > 0 {
		r.earlier = r.earlier[extra:]
	}
	r.attempt = attempt
	m.move(r, Claimed)
}

// owned returns the claim if the attempt owns it, or else the refusal.
func (m *Machine) owned(key string, attempt Attempt) (*record, Result) {
	if reason := m.checkKey(key); reason != outcome.ReasonNone {
		return nil, Result{State: None, Reason: reason}
	}
	r, ok := m.records[key]
	switch {
	case !ok:
		return nil, Result{State: None, Reason: outcome.ReasonRequestNotFound}
	case r.attempt != attempt:
		return nil, r.result(attempt)
	}
	return r, Result{}
}

func (m *Machine) checkKey(key string) outcome.Reason {
	created, ok := KeyTime(key)
	switch {
	case !ok || created > m.now+MaxClockSkew:
		return outcome.ReasonKeyInvalid
	case created+MaxKeyAge < m.now:
		return outcome.ReasonKeyExpired
	}
	return outcome.ReasonNone
}

func (m *Machine) dropExpired() {
	for len(m.oldest) > 0 && m.oldest[0].created+MaxKeyAge < m.now {
		r := heap.Pop(&m.oldest).(*record)
		m.bytes -= r.size()
		m.unindex(r)
		delete(m.records, r.key)
	}
}

// move changes the state and keeps the index of sent claims.
func (m *Machine) move(r *record, state State) {
	m.unindex(r)
	r.state = state
	m.index(r)
}

func (m *Machine) index(r *record) {
	if r.state != Sent {
		return
	}
	owner := r.attempt.Owner
	if m.sent[owner] == nil {
		m.sent[owner] = map[string]*record{}
	}
	m.sent[owner][r.key] = r
}

func (m *Machine) unindex(r *record) {
	owner := r.attempt.Owner
	if r.state != Sent {
		return
	}
	delete(m.sent[owner], r.key)
	if len(m.sent[owner]) == 0 {
		delete(m.sent, owner)
	}
}

func (r *record) size() int {
	return recordOverhead + len(r.bodyHash) + r.answer.size()
}

func (r *record) result(asked Attempt) Result {
	result := Result{State: r.state, Owned: r.attempt == asked, Answer: r.answer}
	if !result.Owned && (r.state == Claimed || r.state == Sent) {
		result.Reason = outcome.ReasonCallInProgress
	}
	return result
}

// expiry is a heap of claims in order of their keys' time.
type expiry []*record

func (e expiry) Len() int           { return len(e) }
func (e expiry) Less(i, j int) bool { return e[i].created < e[j].created }
func (e expiry) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push adds a claim for the container/heap package.
func (e *expiry) Push(x any) { *e = append(*e, x.(*record)) }

// Pop removes the last claim for the container/heap package.
func (e *expiry) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
