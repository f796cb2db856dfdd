package replica

import "github.com/galenaslip/galenaslip/storage"

// MessageKind is the kind of a message between members.
type MessageKind uint8

// The kinds.
const (
	// MessagePreVote asks whether a vote would be granted.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries log entries.
	MessageAppend
	// MessageAppendReply answers MessageAppend and the end of a snapshot.
	MessageAppendReply
	// MessageHeartbeat keeps up the leader's authority and lease.
	MessageHeartbeat
	// MessageHeartbeatReply answers MessageHeartbeat.
	MessageHeartbeatReply
	// MessageSnapshot carries a part of a snapshot.
	MessageSnapshot
	// MessageSnapshotReply asks for the next part of a snapshot.
	MessageSnapshotReply
	// MessageCampaign tells the target of a leadership transfer to campaign.
	MessageCampaign
	// MessageHello asks another founding member which folders found the group.
	MessageHello
	// MessageHelloReply answers MessageHello.
	MessageHelloReply
	// MessageExcluded tells a sender that it is not part of the group.
	MessageExcluded
)

// Message is sent from one member to another. Members are meant by identity.
// Which of the other fields are used depends on the kind.
type Message struct {
	Kind             MessageKind
	From, To         string
	Name             string // of the sender
	Address          string // of the sender
	Epoch            uint64
	Term             uint64
	Index            uint64 // entry before Entries; last entry of a candidate, a reply or a snapshot
	LogTerm          uint64 // term of the entry at Index
	Commit           uint64
	Round            uint64 // heartbeat round
	Hint             uint64 // in a rejection: index up to which the logs may agree
	Offset           uint64 // position in a snapshot
	Reject           bool
	Transfer         bool // vote asked for by the leader itself
	Done             bool // last part of a snapshot
	Members          []byte
	Data             []byte
	Entries          []storage.Entry
	FolderID         string
	FounderFolderIDs map[string]string
}

// fromLeader reports whether only the leader of the message's term sends it.
func (m Message) fromLeader() bool {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot, MessageCampaign:
		return true
	default:
		return false
	}
}
