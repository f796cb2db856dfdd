package replica_test

import (
	"bytes"
	"fmt"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage"
)

// recordCommitted checks that all members commit the same entry at an index. For a new
// entry it adds the state after it to expectedStates.
func (s *sim) recordCommitted(n *simNode, e storage.Entry) {
	known, ok := s.committed[e.Index]
	if ok && (known.Term != e.Term || !bytes.Equal(known.Data, e.Data)) {
		s.t.Fatalf("%d ms: %s commits entry %d of term %d %q, another member committed term %d %q",
			s.now, n.name, e.Index, e.Term, e.Data, known.Term, known.Data)
	}
	if ok {
		return
	}
	if e.Index != s.newestCommitted+1 {
		s.t.Fatalf("%d ms: %s commits entry %d after entry %d", s.now, n.name, e.Index, s.newestCommitted)
	}
	s.committed[e.Index], s.newestCommitted = e, e.Index
	model := s.expectedStates[e.Index-1]
	if e.Kind == 0 {
		model.apply(e.Data)
	}
	s.expectedStates[e.Index] = model
}

// checkState compares the state of a node's state machine with expectedStates.
func (s *sim) checkState(n *simNode) {
	if got, want := n.hashChain, s.expectedStates[n.applied]; got != want {
		s.t.Fatalf("%d ms: %s at entry %d: state %+v, want %+v", s.now, n.name, n.applied, got, want)
	}
}

// checkLeader checks that a term has only one leader and that a new leader has every
// committed entry of earlier terms.
func (s *sim) checkLeader(n *simNode) {
	if n.core.Role() != replica.Leader {
		return
	}
	key, identity := fmt.Sprint(n.core.Term()), n.core.Identity()
	known, ok := s.leaders[key]
	if ok && known != identity {
		s.t.Fatalf("%d ms: term %s has leaders %s and %s", s.now, key, known, identity)
	}
	if ok {
		return
	}
	s.leaders[key] = identity
	s.elections++
	base, entries := n.core.Log()
	for i, e := range s.committed {
		if i <= base {
			continue
		}
		if at := i - base - 1; at >= uint64(len(entries)) || entries[at].Term != e.Term {
			if e.Term < n.core.Term() {
				s.t.Fatalf("%d ms: leader %s of term %s lacks committed entry %d of term %d", s.now, n.name, key, i, e.Term)
			}
		}
	}
}

// checkLease checks that at most one member holds a lease, and that a read under the lease
// sees every committed entry.
func (s *sim) checkLease() {
	holder := ""
	for _, n := range s.nodes {
		if s.clock(n) >= n.publishedLeaseEnd {
			continue
		}
		if holder != "" {
			s.t.Fatalf("%d ms: %s and %s hold a lease", s.now, holder, n.name)
		}
		holder = n.name
		if !s.running(n) || s.clock(n) >= n.core.LeaseUntil() {
			continue
		}
		if index, ok := n.core.ReadIndex(s.clock(n)); ok && index < s.newestCommitted {
			s.t.Fatalf("%d ms: a read at %s sees entry %d, committed is %d", s.now, n.name, index, s.newestCommitted)
		}
	}
}

// checkLogs checks Raft's log matching property: if two logs have an entry with the same
// index and term, all entries before it are equal too.
func (s *sim) checkLogs() {
	for i, x := range s.nodes {
		for _, y := range s.nodes[i+1:] {
			if x.core != nil && y.core != nil {
				s.compareLogs(x, y)
			}
		}
	}
}

// compareLogs checks the log matching property for the entries that both nodes have in memory.
func (s *sim) compareLogs(x, y *simNode) {
	xBase, xs := x.core.Log()
	yBase, ys := y.core.Log()
	from := max(xBase, yBase)
	if from > xBase+uint64(len(xs)) || from > yBase+uint64(len(ys)) {
		return
	}
	xs, ys = xs[from-xBase:], ys[from-yBase:]
	agree := false
	for i := min(len(xs), len(ys)) - 1; i >= 0; i-- {
		equal := xs[i].Term == ys[i].Term
		if agree && (!equal || !bytes.Equal(xs[i].Data, ys[i].Data)) {
			s.t.Fatalf("%d ms: %s and %s differ at entry %d before an entry of equal term", s.now, x.name, y.name, xs[i].Index)
		}
		agree = agree || equal
	}
}

// checkRecovery ends all faults and checks that the group commits new entries and that all
// members catch up.
func (s *sim) checkRecovery() {
	s.blockedUntil, s.loss, s.delay, s.syncDelay = map[string]clock.Millis{}, 0, 3, 4
	for _, n := range s.nodes {
		n.frozenUntil, n.stalledUntil = 0, 0
		n.disk.ScheduleFailure(0, nil)
		n.disk.Refuse(nil)
	}
	s.faultsEnded = true
	start := s.newestCommitted
	for range 60 * simElectionTimeout / simStep {
		s.advance()
		s.manageMembers()
		if s.newestCommitted > start+20 && s.converged() {
			return
		}
	}
	for _, n := range s.nodes {
		if n.core != nil {
			members, previous := n.core.Members()
			s.t.Logf("%s: identity %s, %v, term %d, commit %d, excluded %v, members %v, previous %v",
				n.name, n.core.Identity(), n.core.Role(), n.core.Term(), n.core.CommitIndex(), n.core.Excluded(), members, previous)
		}
	}
	s.t.Fatalf("no agreement after the faults ended: %d entries are committed, %d were before", s.newestCommitted, start)
}

// converged reports whether every node is running, in the group and close to the newest
// committed entry.
func (s *sim) converged() bool {
	for _, n := range s.nodes {
		if !s.running(n) || n.core.Excluded() || n.applied+30 < s.newestCommitted {
			return false
		}
	}
	return true
}
