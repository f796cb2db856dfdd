package replica_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
)

// simLink sends the messages of one node to another one after the other, as the goroutine of a
// recipient does.
type simLink struct {
	from, to  string
	outbox    replica.Outbox
	busyUntil clock.Millis
}

func (s *sim) link(from, to string) *simLink {
	for _, l := range s.links {
		if l.from == from && l.to == to {
			return l
		}
	}
	l := &simLink{from: from, to: to}
	s.links = append(s.links, l)
	return l
}

// runLinks lets each link that has sent its last message begin with the next one.
func (s *sim) runLinks() {
	for _, l := range s.links {
		if s.now < l.busyUntil {
			continue
		}
		if m, ok := l.outbox.Next(); ok {
			l.busyUntil = s.now + s.sendTime
			s.scheduledActions = append(s.scheduledActions, scheduledAction{at: l.busyUntil, run: func() { s.transmit(l.from, l.to, m) }})
		}
	}
}

// Guards against members that lose their leader again and again because each message takes the other
// side about as long as a heartbeat interval, as on a machine with little CPU: messages that were
// outdated when they were sent delayed the current ones beyond the election timeout.
func TestLeaderLastsOnSlowLinks(t *testing.T) {
	for _, voters := range []int{3, 9} {
		for _, sendTime := range []clock.Millis{simHeartbeat / 2, simHeartbeat, 3 * simHeartbeat / 2} {
			t.Run(fmt.Sprintf("%d voters, %d ms a message", voters, sendTime), func(t *testing.T) {
				s := newStoppedSimOf(t, 1, 0, 2, voters, voters)
				s.crashAtDiskError, s.appendBytes, s.syncDelay = 0, 1<<20, 4
				s.startAll()
				s.advanceUntil(func() bool { return s.newestCommitted > 10 })
				s.sendTime = sendTime
				elections, committed := s.elections, s.newestCommitted
				var without clock.Millis
				const duration = 100 * simElectionTimeout
				for range duration / simStep {
					s.advance()
					if !s.someoneLeads() {
						without += simStep
					}
				}
				if got := s.elections - elections; got > 0 {
					t.Errorf("got %d elections in %d election timeouts, want none", got, duration/simElectionTimeout)
				}
				if without > 0 {
					t.Errorf("got %d of %d ms without a leader, want 0", without, clock.Millis(duration))
				}
				if got, want := s.newestCommitted-committed, uint64(100); got < want {
					t.Errorf("got %d entries, want at least %d", got, want)
				}
			})
		}
	}
}

// someoneLeads reports whether a member leads.
func (s *sim) someoneLeads() bool {
	for _, n := range s.nodes {
		if n.core != nil && n.core.Role() == replica.Leader {
			return true
		}
	}
	return false
}

// Guards against a member that receives what was queued while it did not answer before anything
// current, and against a queue that takes memory without bound.
func TestSilentMemberReceivesCurrentMessages(t *testing.T) {
	var outbox replica.Outbox
	const count = 10_000
	for i := range uint64(count) {
		outbox.Put(replica.Message{Kind: replica.MessageHeartbeat, Round: i + 1})
		outbox.Put(replica.Message{Kind: replica.MessagePreVote, Term: i + 1})
	}
	var got []replica.Message
	for {
		m, ok := outbox.Next()
		if !ok {
			break
		}
		got = append(got, m)
	}
	want := []replica.Message{{Kind: replica.MessageHeartbeat, Round: count}, {Kind: replica.MessagePreVote, Term: count}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %d messages, first %+v, want %+v", len(got), got[:min(len(got), 2)], want)
	}
}
