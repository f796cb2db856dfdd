package replica

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

var kindNames = map[MessageKind]string{
	MessagePreVote: "pre_vote", MessagePreVoteReply: "pre_vote_reply",
	MessageVote: "vote", MessageVoteReply: "vote_reply",
	MessageAppend: "append", MessageAppendReply: "append_reply",
	MessageHeartbeat: "heartbeat", MessageHeartbeatReply: "heartbeat_reply",
	MessageSnapshot: "snapshot", MessageSnapshotReply: "snapshot_reply",
	MessageCampaign: "campaign", MessageHello: "hello",
	MessageHelloReply: "hello_reply", MessageExcluded: "outside",
}

var kindsByName = lo.Invert(kindNames)

type wireEntry struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Kind  uint8  `json:"kind,omitempty"`
	Data  []byte `json:"data,omitempty"`
}

type wireMessage struct {
	Kind             string            `json:"kind"`
	From             string            `json:"from"`
	To               string            `json:"to"`
	Name             string            `json:"name,omitempty"`
	Address          string            `json:"address,omitempty"`
	Epoch            uint64            `json:"epoch,omitempty"`
	Term             uint64            `json:"term,omitempty"`
	Index            uint64            `json:"index,omitempty"`
	LogTerm          uint64            `json:"log_term,omitempty"`
	Commit           uint64            `json:"commit,omitempty"`
	Round            uint64            `json:"round,omitempty"`
	Hint             uint64            `json:"hint,omitempty"`
	Offset           uint64            `json:"offset,omitempty"`
	Reject           bool              `json:"reject,omitempty"`
	Transfer         bool              `json:"transfer,omitempty"`
	Done             bool              `json:"done,omitempty"`
	DiskFailingFor   clock.Millis      `json:"disk_failing_ms,omitempty"`
	Members          []byte            `json:"members,omitempty"`
	Data             []byte            `json:"data,omitempty"`
	Entries          []wireEntry       `json:"entries,omitempty"`
	FolderID         string            `json:"life,omitempty"`
	FounderFolderIDs map[string]string `json:"lives,omitempty"`
}

// EncodeMessage returns the JSON encoding of a message.
func EncodeMessage(m Message) ([]byte, error) {
	name, ok := kindNames[m.Kind]
	if !ok {
		return nil, errors.Errorf("replica: message kind %d is unknown", m.Kind)
	}
	w := wireMessage{
		Kind: name, From: m.From, To: m.To, Name: m.Name, Address: m.Address,
		Epoch: m.Epoch, Term: m.Term, Index: m.Index, LogTerm: m.LogTerm,
		Commit: m.Commit, Round: m.Round, Hint: m.Hint, Offset: m.Offset,
		Reject: m.Reject, Transfer: m.Transfer, Done: m.Done, DiskFailingFor: m.DiskFailingFor,
		Members: m.Members, Data: m.Data, FolderID: m.FolderID, FounderFolderIDs: m.FounderFolderIDs,
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, wireEntry(e))
	}
	data, err := json.Marshal(w)
	return data, errors.Wrap(err, "replica: encode message")
}

// DecodeMessage decodes the JSON encoding of a message. Unknown fields and entries that are
// not consecutive are errors.
func DecodeMessage(data []byte) (Message, error) {
	var w wireMessage
	if err := decodeStrict(data, &w); err != nil {
		return Message{}, errors.Wrap(err, "replica: decode message")
	}
	kind, ok := kindsByName[w.Kind]
	if !ok {
		return Message{}, errors.Errorf("replica: message kind %q is unknown", w.Kind)
	}
	m := Message{
		Kind: kind, From: w.From, To: w.To, Name: w.Name, Address: w.Address,
		Epoch: w.Epoch, Term: w.Term, Index: w.Index, LogTerm: w.LogTerm,
		Commit: w.Commit, Round: w.Round, Hint: w.Hint, Offset: w.Offset,
		Reject: w.Reject, Transfer: w.Transfer, Done: w.Done, DiskFailingFor: w.DiskFailingFor,
		Members: w.Members, Data: w.Data, FolderID: w.FolderID, FounderFolderIDs: w.FounderFolderIDs,
	}
	for i, e := range w.Entries {
		if e.Index != w.Index+uint64(i)+1 {
			return Message{}, errors.Errorf("replica: entry %d does not follow entry %d", e.Index, w.Index+uint64(i))
		}
		m.Entries = append(m.Entries, storage.Entry(e))
	}
	return m, nil
}

// decodeStrict decodes one JSON value. Unknown fields and trailing data are errors.
func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the value")
	}
	return nil
}

type wireMember struct {
	Identity         string `json:"identity"`
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	Voter            bool   `json:"voter,omitempty"`
}

type wireMembership struct {
	Epoch    uint64       `json:"epoch"`
	Members  []wireMember `json:"members"`
	Previous []string     `json:"previous,omitempty"`
	Leaving  []string     `json:"leaving,omitempty"`
	Removed  []string     `json:"removed,omitempty"`

	FounderFolderIDs map[string]string `json:"lives,omitempty"`
}

func encodeMembership(m membership) []byte {
	w := wireMembership{Epoch: m.epoch, Previous: m.previous, Leaving: m.leaving, Removed: m.removed, FounderFolderIDs: m.founderFolderIDs}
	for _, member := range m.members {
		w.Members = append(w.Members, wireMember(member))
	}
	// Marshal cannot fail: strings, numbers and booleans always have a JSON encoding.
	return lo.Must(json.Marshal(w))
}

func decodeMembership(data []byte) (membership, error) {
	if len(data) == 0 {
		return membership{}, nil
	}
	var w wireMembership
	if err := decodeStrict(data, &w); err != nil {
		return membership{}, errors.Wrap(err, "replica: decode membership")
	}
	m := membership{epoch: w.Epoch, previous: w.Previous, leaving: w.Leaving, removed: w.Removed, founderFolderIDs: w.FounderFolderIDs}
	for _, member := range w.Members {
		m.members = append(m.members, Member(member))
	}
	return m, nil
}
