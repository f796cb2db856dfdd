package replica

import "github.com/galenaslip/galenaslip/clock"

// proposal is a command with the channel that receives its result.
type proposal struct {
	command []byte
	answer  chan Result
}

type requestKind uint8

const (
	barrierRequest requestKind = iota
	membershipRequest
	transferRequest
)

// request is a barrier, a membership change or a leadership transfer.
type request struct {
	kind   requestKind
	change MemberChange
	target string // identity of a leadership transfer's target
	answer chan Result

	point    readPoint    // what a barrier waits for
	index    uint64       // index of a membership change's entry
	term     uint64       // term in which the leader accepted the request
	deadline clock.Millis // when a leadership transfer's caller gets the outcome Unknown
}

// proposalWaiter is a caller that waits for its proposal to be applied. The term shows
// whether the entry at the proposal's index is still the caller's: another leader may have
// replaced it.
type proposalWaiter struct {
	term   uint64
	answer chan Result
}

// propose proposes the queued commands together, so that they share one sync.
func (l *loop) propose(first proposal) {
	batch := []proposal{first}
	for len(batch) < maxEventsPerStep {
		select {
		case p := <-l.replica.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.command
	}
	index, ok := uint64(0), false
	if l.failure == nil {
		index, ok = l.core.propose(l.now(), commands)
	}
	for i, p := range batch {
		if !ok {
			p.answer <- l.notLeader()
			continue
		}
		l.proposalTerm = l.core.vote.Term
		l.proposals[index+uint64(i)] = proposalWaiter{term: l.proposalTerm, answer: p.answer}
	}
}

// request starts a request at the core, and answers it if it is refused.
func (l *loop) request(q request) {
	if l.failure != nil || !l.core.acceptsProposals() {
		q.answer <- l.notLeader()
		return
	}
	now, reason := l.now(), ""
	q.term = l.core.vote.Term
	switch q.kind {
	case barrierRequest:
		q.point, _ = l.core.barrier(now)
	case membershipRequest:
		q.index, reason = l.core.changeMember(now, q.change)
	case transferRequest:
		q.deadline = now + 4*l.replica.options.ElectionTimeout
		reason = l.core.transferLeadership(now, q.target)
	}
	if reason != "" {
		q.answer <- Result{Kind: Refused, Reason: reason}
		return
	}
	l.requests = append(l.requests, q)
}

// notLeader returns a NotLeader result. It names the leader unless that is this member,
// which then does not accept requests at the moment.
func (l *loop) notLeader() Result {
	leader := l.core.leader
	if leader.Identity == l.core.identity() || leader.Address == l.replica.options.Address {
		return Result{Kind: NotLeader}
	}
	return Result{Kind: NotLeader, Leader: leader.Address}
}

// answerLostProposals answers Unknown to the waiting callers after this member has lost the
// leadership, because their entries may still be committed. It skips entries that are
// committed but not yet passed to the applier; the applier answers those.
func (l *loop) answerLostProposals() {
	c := l.core
	if len(l.proposals) == 0 || c.role == Leader && c.vote.Term == l.proposalTerm {
		return
	}
	for index, w := range l.proposals {
		if index > c.dispatchedIndex && index <= c.commitIndex && c.log.matches(index, w.term) && l.failure == nil {
			continue
		}
		w.answer <- Result{Kind: Unknown, Leader: l.notLeader().Leader}
		delete(l.proposals, index)
	}
}

// answerRequests answers the requests that are complete or can no longer succeed, and
// keeps the rest.
func (l *loop) answerRequests() {
	kept := l.requests[:0]
	for _, q := range l.requests {
		if !l.answerRequest(q) {
			kept = append(kept, q)
		}
	}
	clear(l.requests[len(kept):])
	l.requests = kept
}

// answerRequest answers the request if its outcome is known and reports whether it did.
func (l *loop) answerRequest(q request) bool {
	c := l.core
	stillLeader := c.role == Leader && c.vote.Term == q.term
	switch {
	case q.kind == transferRequest:
		return l.answerTransfer(q, stillLeader)
	case q.kind == barrierRequest && !stillLeader:
		q.answer <- l.notLeader()
	case q.kind == barrierRequest && c.readConfirmed(q.point):
		if c.dispatchedIndex < q.point.index {
			return false
		}
		l.pendingJobs = append(l.pendingJobs, applierJob{barrier: &q})
	case q.kind == membershipRequest && c.vote.Term == q.term && c.leadership.completed >= q.index:
		q.answer <- Result{Kind: Committed, Index: q.index}
	case q.kind == membershipRequest && !stillLeader:
		q.answer <- Result{Kind: Unknown, Leader: l.notLeader().Leader}
	default:
		return false
	}
	return true
}

// answerTransfer answers a leadership transfer if its outcome is known and reports whether it
// did.
func (l *loop) answerTransfer(q request, stillLeader bool) bool {
	c := l.core
	switch {
	case c.leader.Identity == q.target:
		q.answer <- Result{Kind: Committed, Leader: c.leader.Address}
	case stillLeader && c.leadership.transfer.target == "":
		q.answer <- Result{Kind: Refused, Reason: "the target did not catch up in time"}
	case l.now() >= q.deadline || l.failure != nil:
		q.answer <- Result{Kind: Unknown, Leader: l.notLeader().Leader}
	default:
		return false
	}
	return true
}
