package storage

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/pkg/errors"
)

// A frame is marker, length, CRC (4 bytes each, little endian) and payload.
const (
	frameMarker = 0x6a6c5347
	frameHeader = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Numbers that take the place of the segment number in frames of other files.
const (
	voteSalt     = ^uint64(0)
	snapshotSalt = ^uint64(1)
	ownerSalt    = ^uint64(2)
)

func checksum(salt, offset uint64, payload []byte) uint32 {
	var place [20]byte
	binary.LittleEndian.PutUint64(place[0:], salt)
	binary.LittleEndian.PutUint64(place[8:], offset)
	binary.LittleEndian.PutUint32(place[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, payload)
}

// encodeFrame returns the payload framed for its place.
func encodeFrame(salt, offset uint64, payload []byte) []byte {
	frame := make([]byte, frameHeader, frameHeader+len(payload))
	binary.LittleEndian.PutUint32(frame[0:], frameMarker)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[8:], checksum(salt, offset, payload))
	return append(frame, payload...)
}

// decodeFrame returns the payload of the frame at the offset, if it is valid.
func decodeFrame(salt uint64, data []byte, offset int) ([]byte, bool) {
	rest := data[offset:]
	if len(rest) < frameHeader || binary.LittleEndian.Uint32(rest) != frameMarker {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(rest[4:])
	if uint64(length) > uint64(len(rest)-frameHeader) {
		return nil, false
	}
	payload := rest[frameHeader : frameHeader+int(length)]
	if checksum(salt, uint64(offset), payload) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, false
	}
	return payload, true
}

// frameFollows reports whether a valid frame starts after the offset.
func frameFollows(salt uint64, data []byte, offset int) bool {
	for o := offset + 1; o+frameHeader <= len(data); o++ {
		if _, ok := decodeFrame(salt, data, o); ok {
			return true
		}
	}
	return false
}

// Kinds of frames in a segment.
const (
	frameStart   = 1 // first frame of a segment: index that the log continues at
	frameEntries = 2
	frameReset   = 3 // the log starts again after a snapshot
)

var errMalformed = errors.New("malformed record")

type reader struct {
	data []byte
	bad  bool
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.bad = true
		r.data = nil
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) bytes() []byte {
	length := r.number()
	if length > uint64(len(r.data)) {
		r.bad = true
		r.data = nil
		return nil
	}
	value := r.data[:length:length]
	r.data = r.data[length:]
	return value
}

func encodeEntries(entries []Entry) []byte {
	size := 16
	for _, e := range entries {
		size += len(e.Data) + 32
	}
	out := append(make([]byte, 0, size), frameEntries)
	out = binary.AppendUvarint(out, uint64(len(entries)))
	for _, e := range entries {
		out = binary.AppendUvarint(out, e.Index)
		out = binary.AppendUvarint(out, e.Term)
		out = binary.AppendUvarint(out, uint64(e.Kind))
		out = binary.AppendUvarint(out, uint64(len(e.Data)))
		out = append(out, e.Data...)
	}
	return out
}

// record is a decoded frame of a segment.
type record struct {
	kind    byte
	index   uint64 // of a start or reset frame
	entries []Entry
}

func encodeMark(kind byte, index uint64) []byte {
	return binary.AppendUvarint([]byte{kind}, index)
}

func decodeRecord(payload []byte) (record, error) {
	if len(payload) == 0 {
		return record{}, errMalformed
	}
	r := &reader{data: payload[1:]}
	result := record{kind: payload[0]}
	switch result.kind {
	case frameStart, frameReset:
		result.index = r.number()
	case frameEntries:
		result.entries = decodeEntries(r)
	default:
		return record{}, errMalformed
	}
	if r.bad || len(r.data) > 0 {
		return record{}, errMalformed
	}
	return result, nil
}

func decodeEntries(r *reader) []Entry {
	count := r.number()
	var entries []Entry
	for i := uint64(0); i < count && !r.bad; i++ {
		e := Entry{Index: r.number(), Term: r.number()}
		kind := r.number()
		if kind > 255 {
			r.bad = true
		}
		e.Kind = uint8(kind)
		e.Data = r.bytes()
		entries = append(entries, e)
	}
	return entries
}

type wireVote struct {
	Term             uint64            `json:"term"`
	VotedFor         string            `json:"voted"`
	Identity         string            `json:"identity"`
	Epoch            uint64            `json:"epoch"`
	FolderID         string            `json:"life"`
	Founders         []byte            `json:"founders,omitempty"`
	FounderFolderIDs map[string]string `json:"lives,omitempty"`
	Segment          uint64            `json:"segment"`
	Snapshot         uint64            `json:"snapshot"`
}

// marks are the newest files that must exist beside the vote.
type marks struct {
	segment  uint64
	snapshot uint64
}

func encodeVote(v Vote, m marks) ([]byte, error) {
	payload, err := json.Marshal(wireVote{
		Term: v.Term, VotedFor: v.VotedFor, Identity: v.Identity, Epoch: v.Epoch,
		FolderID: v.FolderID, Founders: v.Founders, FounderFolderIDs: v.FounderFolderIDs, Segment: m.segment, Snapshot: m.snapshot,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode vote")
	}
	return encodeFrame(voteSalt, 0, payload), nil
}

func decodeVote(data []byte) (Vote, marks, error) {
	payload, ok := decodeFrame(voteSalt, data, 0)
	if !ok || len(payload)+frameHeader != len(data) {
		return Vote{}, marks{}, errMalformed
	}
	var w wireVote
	if err := json.Unmarshal(payload, &w); err != nil {
		return Vote{}, marks{}, errors.Wrap(err, "decode vote")
	}
	return Vote{
		Term: w.Term, VotedFor: w.VotedFor, Identity: w.Identity, Epoch: w.Epoch,
		FolderID: w.FolderID, Founders: w.Founders, FounderFolderIDs: w.FounderFolderIDs,
	}, marks{segment: w.Segment, snapshot: w.Snapshot}, nil
}

func encodeSnapshot(s Snapshot) []byte {
	payload := binary.AppendUvarint(nil, s.Index)
	payload = binary.AppendUvarint(payload, s.Term)
	payload = binary.AppendUvarint(payload, uint64(len(s.Members)))
	payload = append(payload, s.Members...)
	payload = binary.AppendUvarint(payload, uint64(len(s.Data)))
	payload = append(payload, s.Data...)
	return encodeFrame(snapshotSalt, 0, payload)
}

func decodeSnapshot(data []byte) (Snapshot, error) {
	payload, ok := decodeFrame(snapshotSalt, data, 0)
	if !ok || len(payload)+frameHeader != len(data) {
		return Snapshot{}, errMalformed
	}
	r := &reader{data: payload}
	s := Snapshot{Index: r.number(), Term: r.number(), Members: r.bytes(), Data: r.bytes()}
	if r.bad || len(r.data) > 0 {
		return Snapshot{}, errMalformed
	}
	return s, nil
}
