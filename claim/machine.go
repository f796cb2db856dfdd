package claim

import (
	"container/heap"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// Limits of the replicated state.
const (
	// MaxKeyAge is the age at which a key expires and its claim is dropped. A
	// command with an older key is refused, because its claim may have been dropped.
	MaxKeyAge = 24 * clock.Hour
	// MaxClockSkew is how far in the future the time of a key may be, because the
	// clocks of the callers and of the leader differ.
	MaxClockSkew = 5 * clock.Minute
	// MaxAnswerBytes is the size in bytes of the largest answer that is recorded.
	MaxAnswerBytes = 1 << 20
	// MaxClaims and MaxTotalBytes bound memory and snapshots. At either bound a new
	// key is refused; no claim is dropped before its key expires.
	MaxClaims     = 200_000
	MaxTotalBytes = 64 << 20
	// maxFormerAttempts is the number of former attempts that a claim remembers.
	maxFormerAttempts = 8
	// recordOverheadBytes is the estimated memory of a claim without its body
	// hash and answer.
	recordOverheadBytes = 512
)

// Command is a replicated command. The types below implement it.
type Command interface {
	apply(m *Machine) Result
}

// Acquire claims a key for an attempt. ExpiredOwner is the owner whose lease has
// certainly expired, as determined by the leader, or empty. The attempt can take over
// a claim of this owner, but not that of an owner that may still be running.
type Acquire struct {
	Key          string
	BodyHash     string
	Attempt      Attempt
	ExpiredOwner Owner
}

// MarkSent marks a claim as sent. The attempt may write the first byte to a backend
// server only if the result has Owned set and the state Sent.
type MarkSent struct {
	Key     string
	Attempt Attempt
}

// EndAttempt records how an attempt ended.
type EndAttempt struct {
	Key     string
	Attempt Attempt
	State   State // Answered, NotRun or Unknown
	Answer  Answer
}

// ExpireOwner changes all claims of an owner from state Sent to Unknown, because the
// owner's lease has certainly expired.
type ExpireOwner struct {
	Owner Owner
}

// Machine is the replicated state machine of all claims. It is deterministic. It
// is not safe for concurrent use.
type Machine struct {
	now         clock.Millis // latest time of day of any command; never moves back
	records     map[string]*record
	byKeyTime   keyTimeHeap
	sentByOwner map[Owner]map[string]*record
	bytes       int
}

// NewMachine returns a machine without claims.
func NewMachine() *Machine {
	return &Machine{records: map[string]*record{}, sentByOwner: map[Owner]map[string]*record{}}
}

// Apply runs a command that was proposed at the time of day at. The machine's time
// moves forward to at; it stays if at is earlier.
func (m *Machine) Apply(at clock.Millis, command Command) Result {
	m.now = max(m.now, at)
	m.dropExpired()
	return command.apply(m)
}

// Lookup returns the state of a claim without changing it.
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

// PendingOwner returns the owner of a claim in state Claimed or Sent. Another entry can
// change such a claim once the owner's lease has expired.
func (m *Machine) PendingOwner(key string) (Owner, bool) {
	r, ok := m.records[key]
	if !ok || (r.state != Claimed && r.state != Sent) {
		return Owner{}, false
	}
	return r.attempt.Owner, true
}

// SentOwners returns the owners of claims in state Sent, sorted by entry and
// incarnation.
func (m *Machine) SentOwners() []Owner {
	owners := make([]Owner, 0, len(m.sentByOwner))
	for o := range m.sentByOwner {
		owners = append(owners, o)
	}
	slices.SortFunc(owners, compareOwners)
	return owners
}

// Len returns the number of claims.
func (m *Machine) Len() int { return len(m.records) }

// Bytes returns the estimated memory of all claims in bytes.
func (m *Machine) Bytes() int { return m.bytes }

// Now returns the latest time of day of any command.
func (m *Machine) Now() clock.Millis { return m.now }

func (a Acquire) apply(m *Machine) Result {
	if reason := m.checkKey(a.Key); reason != outcome.ReasonNone {
		return Result{State: None, Reason: reason}
	}
	r, ok := m.records[a.Key]
	if !ok {
		return m.addClaim(a)
	}
	if r.bodyHash != a.BodyHash {
		return Result{State: r.state, Reason: outcome.ReasonKeyReused}
	}
	if r.state == Sent && a.ownerHasEnded(r) {
		m.setState(r, Unknown)
	}
	if r.attempt != a.Attempt && m.canTakeOver(r, a) {
		m.takeOver(r, a.Attempt)
	}
	return r.result(a.Attempt)
}

// canTakeOver reports whether the attempt may take over the claim: the call has
// certainly not run, and either the current attempt or its owner has ended. An
// Acquire of a former attempt can only be a delayed message, so it is refused.
func (m *Machine) canTakeOver(r *record, a Acquire) bool {
	if slices.Contains(r.formerAttemptIDs, a.Attempt.ID) {
		return false
	}
	return r.state == NotRun || r.state == Claimed && a.ownerHasEnded(r)
}

// ownerHasEnded reports whether the owner of the claim no longer runs: its lease
// has expired, or the same entry has since restarted with a higher incarnation.
func (a Acquire) ownerHasEnded(r *record) bool {
	restarted := r.attempt.Entry == a.Attempt.Entry && r.attempt.Incarnation < a.Attempt.Incarnation
	return restarted || r.attempt.Owner == a.ExpiredOwner
}

func (s MarkSent) apply(m *Machine) Result {
	r, refusal := m.ownedRecord(s.Key, s.Attempt)
	if r == nil {
		return refusal
	}
	if r.state == Claimed {
		m.setState(r, Sent)
	}
	return r.result(s.Attempt)
}

func (s EndAttempt) apply(m *Machine) Result {
	r, refusal := m.ownedRecord(s.Key, s.Attempt)
	if r == nil {
		return refusal
	}
	if s.Answer.size() > MaxAnswerBytes {
		return Result{State: r.state, Owned: true, Reason: outcome.ReasonTooLarge}
	}
	if !canEnd(r.state, s.State) {
		return r.result(s.Attempt)
	}
	if s.State == Answered {
		r.answer = s.Answer
		m.bytes += s.Answer.size()
	}
	m.setState(r, s.State)
	return r.result(s.Attempt)
}

// canEnd reports whether the attempt that owns a claim may change it from one state to
// the other when it ends. Answered and NotRun are final. An attempt that has sent nothing
// can only end as NotRun.
func canEnd(from, to State) bool {
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

func (e ExpireOwner) apply(m *Machine) Result {
	for _, r := range m.sentByOwner[e.Owner] {
		m.setState(r, Unknown)
	}
	return Result{}
}

func (m *Machine) addClaim(a Acquire) Result {
	if len(m.records) >= MaxClaims || m.bytes >= MaxTotalBytes {
		return Result{State: None, Reason: outcome.ReasonOverloaded}
	}
	keyTime, _ := KeyTime(a.Key)
	r := &record{key: a.Key, keyTime: keyTime, bodyHash: a.BodyHash, attempt: a.Attempt, state: Claimed}
	m.insert(r)
	return r.result(a.Attempt)
}

func (m *Machine) insert(r *record) {
	m.records[r.key] = r
	m.bytes += r.size()
	heap.Push(&m.byKeyTime, r)
	m.indexSent(r)
}

func (m *Machine) takeOver(r *record, attempt Attempt) {
	r.formerAttemptIDs = append(slices.Clone(r.formerAttemptIDs), r.attempt.ID)
	if extra := len(r.formerAttemptIDs) - maxFormerAttempts; extra > 0 {
		r.formerAttemptIDs = r.formerAttemptIDs[extra:]
	}
	r.attempt = attempt
	m.setState(r, Claimed)
}

// ownedRecord returns the claim if the attempt owns it. Otherwise it returns nil
// and the result that refuses the command.
func (m *Machine) ownedRecord(key string, attempt Attempt) (*record, Result) {
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

// checkKey returns why a key is refused, or ReasonNone if it is valid and has not
// expired.
func (m *Machine) checkKey(key string) outcome.Reason {
	keyTime, ok := KeyTime(key)
	switch {
	case !ok || keyTime > m.now+MaxClockSkew:
		return outcome.ReasonKeyInvalid
	case keyTime+MaxKeyAge < m.now:
		return outcome.ReasonKeyExpired
	}
	return outcome.ReasonNone
}

func (m *Machine) dropExpired() {
	for len(m.byKeyTime) > 0 && m.byKeyTime[0].keyTime+MaxKeyAge < m.now {
		r := heap.Pop(&m.byKeyTime).(*record)
		m.bytes -= r.size()
		m.unindexSent(r)
		delete(m.records, r.key)
	}
}

// setState changes the state of a claim and updates the index of sent claims.
func (m *Machine) setState(r *record, state State) {
	m.unindexSent(r)
	r.state = state
	m.indexSent(r)
}

func (m *Machine) indexSent(r *record) {
	if r.state != Sent {
		return
	}
	owner := r.attempt.Owner
	if m.sentByOwner[owner] == nil {
		m.sentByOwner[owner] = map[string]*record{}
	}
	m.sentByOwner[owner][r.key] = r
}

func (m *Machine) unindexSent(r *record) {
	owner := r.attempt.Owner
	if r.state != Sent {
		return
	}
	delete(m.sentByOwner[owner], r.key)
	if len(m.sentByOwner[owner]) == 0 {
		delete(m.sentByOwner, owner)
	}
}

// size returns the estimated memory of the claim in bytes.
func (r *record) size() int {
	return recordOverheadBytes + len(r.bodyHash) + r.answer.size()
}

func (r *record) result(requester Attempt) Result {
	result := Result{State: r.state, Owned: r.attempt == requester, Answer: r.answer}
	if !result.Owned && (r.state == Claimed || r.state == Sent) {
		result.Reason = outcome.ReasonCallInProgress
	}
	return result
}

// keyTimeHeap is a heap of claims with the oldest key first. It implements
// heap.Interface.
type keyTimeHeap []*record

func (h keyTimeHeap) Len() int           { return len(h) }
func (h keyTimeHeap) Less(i, j int) bool { return h[i].keyTime < h[j].keyTime }
func (h keyTimeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a claim. Only the container/heap package calls it.
func (h *keyTimeHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop removes the last claim. Only the container/heap package calls it.
func (h *keyTimeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
