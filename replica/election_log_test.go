package replica_test

import (
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/replica"
)

// Guards against a member without a leader whose log lines name a wrong cause, so that operators
// cannot tell whether voters are missing, refuse, or cannot store their votes.
func TestNoLeaderCause(t *testing.T) {
	tests := []struct {
		name   string
		end    func(s *sim, leader, observer, other *simNode) // takes the leader away from the observer
		want   string
		answer string // part of an answer that the observer has received
	}{
		{name: "all others are lost", want: "majority_missing", end: func(s *sim, leader, _, other *simNode) {
			s.stopForGood(leader)
			s.stopForGood(other)
		}},
		{name: "the disk refuses writes", want: "disk_refuses_writes", end: func(s *sim, leader, observer, _ *simNode) {
			s.stopForGood(leader)
			observer.disk.Refuse(syscall.ENOSPC)
		}},
		{name: "the other disk refuses writes", want: "votes_refused", answer: "disk_refuses_writes", end: func(s *sim, leader, _, other *simNode) {
			s.stopForGood(leader)
			other.disk.Refuse(syscall.ENOSPC)
		}},
		{name: "a write hangs", want: "write_hangs", end: func(s *sim, leader, observer, _ *simNode) {
			s.stopForGood(leader)
			observer.stalledUntil = s.now + 1000*simElectionTimeout
		}},
		{name: "only this member has lost the leader", want: "votes_refused", answer: "hears_leader", end: func(s *sim, leader, observer, _ *simNode) {
			s.blockedUntil[leader.name+">"+observer.name] = s.now + 1000*simElectionTimeout
		}},
		{name: "answers are lost", want: "majority_missing", end: func(s *sim, leader, observer, other *simNode) {
			s.blockedUntil[leader.name+">"+observer.name] = s.now + 1000*simElectionTimeout
			s.blockedUntil[other.name+">"+observer.name] = s.now + 1000*simElectionTimeout
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStoppedSimOf(t, 3, 0, 2, 3, 3)
			s.crashAtDiskError, s.syncDelay = 0, 4
			s.startAll()
			s.advanceUntil(func() bool { return s.newestCommitted > 10 })
			leader := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.core.Role() == replica.Leader })
			observer := s.nodes[(leader+1)%3]
			tt.end(s, s.nodes[leader], observer, s.nodes[(leader+2)%3])
			since := s.clock(observer)
			for range 20 * simElectionTimeout / simStep {
				s.advance()
			}
			if got := observer.core.Leader(); got != "" {
				t.Fatalf("leader: got %q, want none", got)
			}
			if got := observer.core.NoLeaderCause(s.clock(observer), since); got != tt.want {
				t.Errorf("cause: got %q, want %q; answers %v", got, tt.want, observer.core.Answers())
			}
			for identity, answer := range observer.core.Answers() {
				if strings.Contains(answer, tt.answer) {
					return
				}
				t.Logf("answer of %s: %s", identity, answer)
			}
			if tt.answer != "" {
				t.Errorf("got no answer with %q", tt.answer)
			}
		})
	}
}

// stopForGood ends a node's process, which is not started again.
func (s *sim) stopForGood(n *simNode) {
	s.crash(n, false)
	n.restartAt = s.now + 1_000_000*simElectionTimeout
}

// Guards against founding members that wait for one another without a line that says so.
func TestNoLeaderCauseBeforeFounding(t *testing.T) {
	s := newStoppedSimOf(t, 1, 0, 2, 3, 3)
	s.startNode(s.nodes[0])
	s.startNode(s.nodes[1])
	s.stopForGood(s.nodes[2])
	for range 20 * simElectionTimeout / simStep {
		s.advance()
	}
	n := s.nodes[0]
	if got, want := n.core.NoLeaderCause(s.clock(n), 0), "not_founded"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// loggedLines records log lines.
type loggedLines struct {
	mu    sync.Mutex
	lines []loggedLine
}

type loggedLine struct {
	kind   event.Event
	fields map[string]any
}

func (l *loggedLines) log(kind event.Event, fields ...zap.Field) {
	encoder := zapcore.NewMapObjectEncoder()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, loggedLine{kind, encoder.Fields})
}

// of returns the lines of one kind.
func (l *loggedLines) of(kind event.Event) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for _, line := range l.lines {
		if line.kind == kind {
			found = append(found, line.fields)
		}
	}
	return found
}

// Guards against a member that says nothing of the group while it knows no leader, or that fills the
// log while elections go on without end.
func TestNoLeaderLines(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.commit("start")
	g.stop("b")
	g.stop("c")
	g.stop("a")
	lines := &loggedLines{}
	r := g.startLogging("a", lines)
	start := g.clock.Now()
	waitUntil(func() bool { return len(lines.of(event.NoLeader)) >= 4 })
	status := r.Status()
	elapsed := g.clock.Now() - start
	if got, want := len(lines.of(event.NoLeader)), int(elapsed/(3*clock.Second))+1; got > want {
		t.Errorf("got %d lines in %d ms, want at most %d", got, elapsed, want)
	}
	if got := status.NoLeaderFor; got < 9*clock.Second || got != status.NoLeaderTotal {
		t.Errorf("time without a leader: got %d ms, total %d ms, want equal ones of at least 9 s", got, status.NoLeaderTotal)
	}
	last := lines.of(event.NoLeader)[3]
	if got, want := last["cause"], "majority_missing"; got != want {
		t.Errorf("cause: got %v, want %v", got, want)
	}
	peers, _ := last["peers"].([]any)
	if len(peers) != 2 {
		t.Errorf("peers: got %v, want b and c", peers)
	}
	voters, _ := last["membership"].(map[string]any)
	if got := voters["voter_count"]; got != int64(3) {
		t.Errorf("voters: got %v, want 3", got)
	}
	g.start("b")
	waitUntil(func() bool { return r.Status().Leader != "" })
	waitUntil(func() bool { return len(lines.of(event.LeaderChanged)) > 0 })
	if got := lines.of(event.LeaderChanged)[0]["leader"]; got == "" {
		t.Error("got no name of the leader that was found")
	}
	if got := r.Status().NoLeaderFor; got != 0 {
		t.Errorf("time without a leader: got %d ms, want 0", got)
	}
	if len(lines.of(event.MembershipAdopted)) == 0 {
		t.Error("got no line for the membership")
	}
}

// startLogging starts a member on its disk with a log.
func (g *group) startLogging(name string, lines *loggedLines) *replica.Replica {
	g.tb.Helper()
	options := g.options(name)
	options.Log = lines.log
	return g.startWith(name, options)
}

// Guards against refusals that older members cannot decode, or that count as a reason when an older
// member gives none.
func TestRefusalOnTheWire(t *testing.T) {
	reply := replica.Message{Kind: replica.MessagePreVoteReply, From: "b", To: "a", Epoch: 1, Term: 4, Reject: true, Hint: 3}
	data, err := replica.EncodeMessage(reply)
	if err != nil {
		t.Fatal(err)
	}
	// Decoders of the version before refuse fields that they don't know.
	if got, want := string(data), `{"kind":"pre_vote_reply","from":"b","to":"a","epoch":1,"term":4,"hint":3,"reject":true}`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	s := newStoppedSimOf(t, 1, 0, 2, 3, 3)
	s.startAll()
	s.advanceUntil(func() bool { return s.newestCommitted > 0 })
	n := s.nodes[0]
	for hint, want := range map[uint64]string{0: "unknown", 3: "log_behind", 1 << 40: "unknown"} {
		n.core.Step(s.clock(n), replica.Message{Kind: replica.MessagePreVoteReply, From: "b", To: "a", Epoch: 1, Reject: true, Hint: hint})
		if got := n.core.Answers()["b"]; !strings.Contains(got, want) {
			t.Errorf("hint %d: got %q, want it to contain %q", hint, got, want)
		}
	}
}
