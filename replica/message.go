package replica

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// MessageKind is the kind of a message between members.
type MessageKind uint8

// The kinds of messages. Replies follow directly after their requests.
const (
	// MessagePreVote asks whether the recipient would vote for the sender.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries log entries.
	MessageAppend
	// MessageAppendReply answers MessageAppend and the last part of a snapshot.
	MessageAppendReply
	// MessageHeartbeat renews the leader's authority and lease.
	MessageHeartbeat
	// MessageHeartbeatReply answers MessageHeartbeat.
	MessageHeartbeatReply
	// MessageSnapshot carries one part of a snapshot.
	MessageSnapshot
	// MessageSnapshotReply asks for the next part of a snapshot.
	MessageSnapshotReply
	// MessageCampaign tells the target of a leadership transfer to campaign.
	MessageCampaign
	// MessageHello asks another founding member for the folder IDs of the founding members.
	MessageHello
	// MessageHelloReply answers MessageHello.
	MessageHelloReply
	// MessageExcluded tells a sender that it does not belong to the group.
	MessageExcluded
)

// Message is a message between two members. From and To are identities. Which of the
// other fields are used depends on Kind.
type Message struct {
	Kind             MessageKind
	From, To         string
	Name             string // name of the sender
	Address          string // address of the sender
	Epoch            uint64
	Term             uint64
	Index            uint64 // index of the entry before Entries, or of the last entry of a candidate, reply or snapshot
	LogTerm          uint64 // term of the entry at Index
	Commit           uint64
	Round            uint64 // number of a heartbeat round; a reply repeats it
	Hint             uint64 // in a rejected append: highest index up to which the logs may agree; in a refused vote: the refusal, 0 from older members
	Offset           uint64 // byte offset in a snapshot
	Reject           bool
	Transfer         bool         // the vote request is part of a leadership transfer
	Done             bool         // this is the last part of a snapshot
	DiskFailingFor   clock.Millis // in a heartbeat reply: how long the sender's disk has taken no writes; 0 if it works
	Members          []byte       // encoded membership of a snapshot
	Data             []byte       // bytes of a snapshot from Offset on
	Entries          []storage.Entry
	FolderID         string            // folder ID of the sender
	FounderFolderIDs map[string]string // folder IDs of all founding members, by identity; empty until the group is founded
}

// fromLeader reports whether only the leader of the message's term sends this kind.
func (m Message) fromLeader() bool {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot, MessageCampaign:
		return true
	default:
		return false
	}
}
