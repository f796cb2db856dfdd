package replica

import (
	"github.com/samber/lo"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

const (
	// NoLeaderInterval is the time between two lines of event.NoLeader, and from the loss of the
	// leader to the first one. A usual election ends before.
	NoLeaderInterval = 3 * clock.Second
	// maxChangeLines limits the lines for changes of the leader and of memberships in each
	// changeLineInterval.
	maxChangeLines     = 10
	changeLineInterval = clock.Second
	// maxReportedPeers limits the peers in a report.
	maxReportedPeers = 32
)

// leaderless is how long a member has known no leader.
type leaderless struct {
	now    bool         // whether no leader is known
	since  clock.Millis // when the leader was lost, if none is known
	former clock.Millis // length of all earlier times together
}

// durations returns how long no leader has been known, and the length of all such times together.
func (t leaderless) durations(now clock.Millis) (current, total clock.Millis) {
	if t.now {
		current = now - t.since
	}
	return current, t.former + current
}

// electionLog writes log lines for changes of the leader and of the membership, and reports while
// no leader is known. The loop owns it.
type electionLog struct {
	started      bool // observe was called before
	leaderless   leaderless
	leader       string // identity of the leader that was logged last; empty if none
	newest       uint64 // index of the newest membership that was logged
	newestEpoch  uint64
	committed    uint64       // index of the newest committed membership that was logged
	reportAt     clock.Millis // when the next report is due, while no leader is known
	lines        int          // lines for changes since linesSince
	linesSince   clock.Millis
	omittedLines uint64 // lines for changes that were left out since the last report
}

// nextReport returns when the loop has to wake up: at due, or before for the next report.
func (e *electionLog) nextReport(due clock.Millis) clock.Millis {
	if !e.leaderless.now {
		return due
	}
	return min(due, e.reportAt)
}

// observe logs what has changed since the last call and reports that no leader is known when the
// report is due.
func (e *electionLog) observe(now clock.Millis, l *loop) {
	c, leader := l.core, l.core.leader.Identity
	if leader == "" != e.leaderless.now || !e.started {
		e.setLeaderless(now, leader == "")
	}
	if leader != e.leader {
		e.logChange(now, l, event.LeaderChanged, zap.String("leader", c.leader.Name), zap.String("identity", leader),
			zap.String("address", c.leader.Address), zap.String("former", e.leader), zap.Uint64("term", c.vote.Term),
			zap.Stringer("role", c.role))
		e.leader = leader
	}
	newest, committed := c.current(), c.committed()
	if newest.index != e.newest || newest.value.epoch != e.newestEpoch || committed.index != e.committed || !e.started {
		e.newest, e.newestEpoch, e.committed = newest.index, newest.value.epoch, committed.index
		e.logChange(now, l, event.MembershipAdopted, append(membershipFields(newest), zap.Uint64("committed_index", committed.index), zap.Uint64("term", c.vote.Term))...)
	}
	e.started = true
	if e.leaderless.now && now >= e.reportAt {
		e.reportAt = now + NoLeaderInterval
		e.report(now, l)
	}
}

// setLeaderless records that the leader was lost or found.
func (e *electionLog) setLeaderless(now clock.Millis, lost bool) {
	_, total := e.leaderless.durations(now)
	e.leaderless = leaderless{now: lost, since: now, former: total}
	e.reportAt = now + NoLeaderInterval
}

// logChange writes a line unless too many were written in the current interval.
func (e *electionLog) logChange(now clock.Millis, l *loop, kind event.Event, fields ...zap.Field) {
	if now-e.linesSince >= changeLineInterval {
		e.lines, e.linesSince = 0, now
	}
	if e.lines >= maxChangeLines {
		e.omittedLines++
		return
	}
	e.lines++
	l.replica.options.Log(kind, fields...)
}

// report writes what this member knows of the group while it knows no leader.
func (e *electionLog) report(now clock.Millis, l *loop) {
	c := l.core
	cause := c.noLeaderCause(now, e.leaderless.since)
	if l.failure != nil {
		cause = causeFailed
	}
	fields := []zap.Field{
		zap.String("cause", cause), zap.Int64("for_ms", int64(now-e.leaderless.since)),
		zap.String("identity", c.identity()), zap.Stringer("role", c.role), zap.Uint64("term", c.vote.Term),
		zap.String("voted_for", c.vote.VotedFor), zap.Uint64("elections", c.elections.started), zap.Uint64("pre_votes", c.elections.preVotes),
		zap.Dict("membership", membershipFields(c.current())...), zap.Dict("committed_membership", membershipFields(c.committed())...),
		zap.Uint64("last_index", c.log.last()), zap.Uint64("last_term", c.log.lastTerm()),
		zap.Uint64("commit", c.commitIndex), zap.Uint64("applied", l.replica.applied.Load()),
		zap.Dict("disk", c.diskFields(now)...), zap.Objects("peers", c.peerReports(now)),
	}
	if missing := c.missingFounders(); len(missing) > 0 {
		fields = append(fields, zap.Strings("founders_not_reached", missing))
	}
	if e.omittedLines > 0 {
		fields = append(fields, zap.Uint64("omitted_lines", e.omittedLines))
		e.omittedLines = 0
	}
	l.replica.options.Log(event.NoLeader, fields...)
}

// membershipFields describes a membership. Members are named; the former voters of a change in
// progress are given by their identities.
func membershipFields(m indexedMembership) []zap.Field {
	names := func(voter bool) []string {
		return lo.FilterMap(m.value.members, func(x Member, _ int) (string, bool) { return x.Name, x.Voter == voter })
	}
	voters, learners := names(true), names(false)
	fields := []zap.Field{
		zap.Uint64("index", m.index), zap.Uint64("epoch", m.value.epoch),
		zap.Int("voter_count", len(voters)), zap.Strings("voters", voters), zap.Strings("learners", learners),
	}
	if m.value.joint() {
		fields = append(fields, zap.Strings("previous", m.value.previous))
	}
	return fields
}

// diskFields describes the disk of this member.
func (c *core) diskFields(now clock.Millis) []zap.Field {
	fields := []zap.Field{zap.Int64("failing_ms", int64(c.diskFailingFor(now))), zap.Uint64("failures", c.disk.failures)}
	if c.diskFails() {
		fields = append(fields, zap.Error(c.disk.failure))
	}
	if c.batchInFlight {
		fields = append(fields, zap.Int64("write_ms", int64(now-c.disk.writeBegunAt)))
	}
	return fields
}

// peerReport is what a report says of another member.
type peerReport struct {
	member          Member
	voter           bool
	sender          sender      // empty if nothing was heard from it
	received, given *voteAnswer // nil if there is none
	now             clock.Millis
}

// peerReports describes what was last heard from the other members, and the answers to their and to
// this member's requests.
func (c *core) peerReports(now clock.Millis) []peerReport {
	answer := func(answers map[string]voteAnswer, identity string) *voteAnswer {
		if a, ok := answers[identity]; ok {
			return &a
		}
		return nil
	}
	peers := c.observedPeers()
	return lo.Map(peers[:min(len(peers), maxReportedPeers)], func(p Member, _ int) peerReport {
		return peerReport{
			member: p, voter: c.current().value.votes(p.Identity), sender: c.knownSenders[p.Identity], now: now,
			received: answer(c.elections.received, p.Identity), given: answer(c.elections.given, p.Identity),
		}
	})
}

// MarshalLogObject encodes the report for a log line.
func (p peerReport) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("name", p.member.Name)
	o.AddString("identity", p.member.Identity)
	o.AddString("address", p.member.Address)
	o.AddBool("voter", p.voter)
	if p.sender.member.Identity != "" {
		o.AddInt64("heard_ms", int64(p.now-p.sender.heardAt))
		o.AddUint64("epoch", p.sender.epoch)
		if p.sender.member.Address != p.member.Address {
			o.AddString("heard_from", p.sender.member.Address)
		}
	}
	if p.received != nil {
		o.AddString("answer", p.received.String())
		o.AddInt64("answer_ms", int64(p.now-p.received.at))
	}
	if p.given != nil {
		o.AddString("answered", p.given.String())
		o.AddInt64("answered_ms", int64(p.now-p.given.at))
	}
	return nil
}
