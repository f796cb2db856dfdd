package replica

import (
	"fmt"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// refusal is why a member refuses a vote or a pre-vote. Its number is sent in Message.Hint.
type refusal uint8

const (
	refusalNone refusal = iota
	// refusalHearsLeader means that the voter heard from a leader within the election timeout, or
	// has started within it.
	refusalHearsLeader
	// refusalOldTerm means that the voter has a newer term.
	refusalOldTerm
	// refusalLogBehind means that the candidate lacks entries that the voter has.
	refusalLogBehind
	// refusalVoted means that the voter has voted for another candidate in the term.
	refusalVoted
	// refusalDiskFails means that the voter could not store its vote.
	refusalDiskFails
)

var refusalNames = [...]string{"unknown", "hears_leader", "old_term", "log_behind", "voted_for_another", "disk_refuses_writes"}

func (r refusal) String() string {
	if int(r) >= len(refusalNames) {
		return refusalNames[0]
	}
	return refusalNames[r]
}

// sender is another process from which messages were received.
type sender struct {
	member  Member
	heardAt clock.Millis // when the last message arrived
	epoch   uint64       // membership epoch of that message
}

// voteAnswer is an answer to a vote or pre-vote request.
type voteAnswer struct {
	preVote bool
	granted bool
	refusal refusal // only if not granted; refusalNone means that the sender gave no reason
	term    uint64  // term of the answer or, for an answer that was given, of the request
	at      clock.Millis
}

// electionRecord is what a member remembers of elections for its log lines and metrics. It decides
// nothing.
type electionRecord struct {
	started  uint64                // elections that this member started, without pre-votes
	preVotes uint64                // rounds of pre-vote requests that this member sent
	stoodAt  clock.Millis          // when this member last sent vote or pre-vote requests
	received map[string]voteAnswer // newest answer of each voter to this member, by identity
	given    map[string]voteAnswer // newest answer of this member to each candidate, by identity
}

// put stores an answer. The number of answers is bounded like that of the known senders.
func put(answers *map[string]voteAnswer, identity string, a voteAnswer) {
	if *answers == nil || len(*answers) >= maxKnownSenders {
		*answers = map[string]voteAnswer{}
	}
	(*answers)[identity] = a
}

// noteGiven records this member's answer to a vote or pre-vote request.
func (c *core) noteGiven(now clock.Millis, m Message, r refusal) {
	put(&c.elections.given, m.From, voteAnswer{preVote: m.Kind == MessagePreVote, granted: r == refusalNone, refusal: r, term: m.Term, at: now})
}

// noteReceived records a voter's answer to this member.
func (c *core) noteReceived(now clock.Millis, m Message) {
	a := voteAnswer{preVote: m.Kind == MessagePreVoteReply, granted: !m.Reject, term: m.Term, at: now}
	switch m.Kind {
	case MessagePreVoteReply, MessageVoteReply:
		if m.Reject {
			a.refusal = refusal(min(m.Hint, uint64(len(refusalNames))))
		}
	case MessageAppendReply: // The answer to a pre-vote request of an old term.
		if !m.Reject || c.role != PreCandidate {
			return
		}
		a.preVote, a.refusal = true, refusalOldTerm
	default:
		return
	}
	put(&c.elections.received, m.From, a)
}

// preVoteRefusal returns why the pre-vote is refused.
func (c *core) preVoteRefusal(now clock.Millis, m Message) refusal {
	switch {
	case m.Term <= c.vote.Term:
		return refusalOldTerm
	case c.hearsLeader(now):
		return refusalHearsLeader
	case !c.candidateUpToDate(m):
		return refusalLogBehind
	default:
		return refusalNone
	}
}

// voteRefusal returns why the vote in the current term is refused.
func (c *core) voteRefusal(now clock.Millis, m Message) refusal {
	switch {
	case c.vote.VotedFor != "" && c.vote.VotedFor != m.From:
		return refusalVoted
	case !m.Transfer && c.hearsLeader(now):
		return refusalHearsLeader
	case !c.candidateUpToDate(m):
		return refusalLogBehind
	default:
		return refusalNone
	}
}

// refuseAtOnce refuses a vote or pre-vote without changing the term. A refusal promises nothing, so
// that it needn't wait for the disk; it names only a term that is durable.
func (c *core) refuseAtOnce(now clock.Millis, m Message, r refusal) {
	c.noteGiven(now, m, r)
	if c.durableTerm == 0 || m.Epoch != c.vote.Epoch || c.excluded {
		return
	}
	reply := Message{Kind: m.Kind + 1, Term: c.durableTerm, Reject: true, Hint: uint64(r)}
	c.readyMessages = append(c.readyMessages, c.envelopeFor(m.From, reply))
}

// CauseDiskRefuses is the cause of event.NoLeader for a member that cannot store votes.
const CauseDiskRefuses = "disk_refuses_writes"

// The causes that a member can name for having no leader, in the order in which they are checked.
const (
	causeFailed           = "failed"            // the state machine failed
	causeExcluded         = "excluded"          // the member isn't in the group
	causeNotFounded       = "not_founded"       // not all founding members were reached yet
	causeDiskRefuses      = CauseDiskRefuses    // no vote can be stored
	causeWriteHangs       = "write_hangs"       // a write has taken longer than an election timeout
	causeNotVoter         = "not_a_voter"       // the member may not stand for election
	causeMajorityMissing  = "majority_missing"  // too few voters are heard
	causeMajorityRefuses  = "votes_refused"     // too many voters refuse their vote or pre-vote
	causeElectionsNotWon  = "elections_not_won" // the member stands for election, and neither wins nor is refused by a majority
	causeNoElectionByThis = "no_election_due"   // the member hasn't stood for election since the leader was lost
)

// heardWithin is how long ago a voter may have been heard to count as reachable, in election
// timeouts. Without a leader, each voter sends requests whenever its election timer runs out, which
// takes up to maxFailedTimeouts more than two of them.
const heardWithin = maxFailedTimeouts + 3

// noLeaderCause returns why this member knows no leader, as far as it can tell by itself. It has
// known none since the given time.
func (c *core) noLeaderCause(now, since clock.Millis) string {
	m := c.current().value
	reachable, notRefusing := map[string]bool{}, map[string]bool{}
	for _, v := range append(m.voters(), m.previous...) {
		s, heard := c.knownSenders[v]
		reachable[v] = v == c.identity() || heard && now-s.heardAt < heardWithin*c.options.electionTimeout
		a, answered := c.elections.received[v]
		notRefusing[v] = reachable[v] && (!answered || a.granted || a.at < since)
	}
	switch {
	case c.excluded:
		return causeExcluded
	case !c.founded:
		return causeNotFounded
	case c.diskFails():
		return causeDiskRefuses
	case c.diskFailingFor(now) > 0:
		return causeWriteHangs
	case !c.mayCampaign():
		return causeNotVoter
	case !m.hasMajority(reachable):
		return causeMajorityMissing
	case !m.hasMajority(notRefusing):
		return causeMajorityRefuses
	case c.elections.stoodAt >= since && c.elections.preVotes > 0:
		return causeElectionsNotWon
	default:
		return causeNoElectionByThis
	}
}

// missingFounders returns the founding voters whose folder IDs are not known yet.
func (c *core) missingFounders() []string {
	if c.founded {
		return nil
	}
	return lo.Filter(c.founders(), func(f string, _ int) bool { return c.reportedFolderIDs[f] == "" })
}

// observedPeers returns the other members of the newest and the committed membership, voters first.
func (c *core) observedPeers() []Member {
	members := slices.Clone(c.current().value.members)
	for _, m := range c.committed().value.members {
		if _, ok := c.current().value.find(m.Identity); !ok {
			members = append(members, m)
		}
	}
	members = slices.DeleteFunc(members, func(m Member) bool { return m.Identity == c.identity() })
	slices.SortStableFunc(members, func(a, b Member) int {
		return lo.Ternary(a.Voter, 0, 1) - lo.Ternary(b.Voter, 0, 1)
	})
	return members
}

// String returns the answer as it is written in log lines.
func (a voteAnswer) String() string {
	kind := lo.Ternary(a.preVote, "pre_vote", "vote")
	if a.granted {
		return fmt.Sprintf("%s of term %d granted", kind, a.term)
	}
	return fmt.Sprintf("%s refused: %s (term %d)", kind, a.refusal, a.term)
}
