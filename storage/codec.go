package storage

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/pkg/errors"
)

// A frame consists of a marker, the payload's length, a CRC (4 bytes each, little endian) and
// the payload.
const (
	frameMarker = 0x6a6c5347
	frameHeader = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Salts are mixed into the CRC, so that a frame is valid only in its own file. Frames in
// segments use the segment's number; frames in other files use these numbers.
const (
	voteSalt     = ^uint64(0)
	snapshotSalt = ^uint64(1)
	ownerSalt    = ^uint64(2)
)

// checksum returns the CRC of a payload together with its salt, its offset and its length.
func checksum(salt, offset uint64, payload []byte) uint32 {
	var position [20]byte
	binary.LittleEndian.PutUint64(position[0:], salt)
	binary.LittleEndian.PutUint64(position[8:], offset)
	binary.LittleEndian.PutUint32(position[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, payload)
}

// encodeFrame returns the frame of a payload for the given salt and offset in the file.
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
	frameStart   = 1 // first frame of a segment; contains the index at which the log continues
	frameEntries = 2
	frameReset   = 3 // the log was dropped and continues after a snapshot
)

var errMalformed = errors.New("malformed record")

// payloadReader decodes a payload. After a decoding error, malformed is set and all further
// values are empty.
type payloadReader struct {
	data      []byte
	malformed bool
}

func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.malformed = true
		r.data = nil
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *payloadReader) bytes() []byte {
	length := r.uvarint()
	if length > uint64(len(r.data)) {
		r.malformed = true
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

// record is the decoded payload of a frame in a segment.
type record struct {
	kind    byte
	index   uint64 // only in a start or reset frame
	entries []Entry
}

// encodeIndexRecord returns the payload of a start or reset frame.
func encodeIndexRecord(kind byte, index uint64) []byte {
	return binary.AppendUvarint([]byte{kind}, index)
}

func decodeRecord(payload []byte) (record, error) {
	if len(payload) == 0 {
		return record{}, errMalformed
	}
	r := &payloadReader{data: payload[1:]}
	result := record{kind: payload[0]}
	switch result.kind {
	case frameStart, frameReset:
		result.index = r.uvarint()
	case frameEntries:
		result.entries = decodeEntries(r)
	default:
		return record{}, errMalformed
	}
	if r.malformed || len(r.data) > 0 {
		return record{}, errMalformed
	}
	return result, nil
}

func decodeEntries(r *payloadReader) []Entry {
	count := r.uvarint()
	var entries []Entry
	for i := uint64(0); i < count && !r.malformed; i++ {
		e := Entry{Index: r.uvarint(), Term: r.uvarint()}
		kind := r.uvarint()
		if kind > 255 {
			r.malformed = true
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

// expectedFiles identifies the newest segment and snapshot that must exist. It is stored with
// the vote, so that the loss of one of these files is detected.
type expectedFiles struct {
	segment  uint64 // number of the segment
	snapshot uint64 // index of the snapshot; 0 means none
}

func encodeVote(v Vote, files expectedFiles) ([]byte, error) {
	payload, err := json.Marshal(wireVote{
		Term: v.Term, VotedFor: v.VotedFor, Identity: v.Identity, Epoch: v.Epoch,
		FolderID: v.FolderID, Founders: v.Founders, FounderFolderIDs: v.FounderFolderIDs, Segment: files.segment, Snapshot: files.snapshot,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode vote")
	}
	return encodeFrame(voteSalt, 0, payload), nil
}

func decodeVote(data []byte) (Vote, expectedFiles, error) {
	payload, ok := decodeFrame(voteSalt, data, 0)
	if !ok || len(payload)+frameHeader != len(data) {
		return Vote{}, expectedFiles{}, errMalformed
	}
	var w wireVote
	if err := json.Unmarshal(payload, &w); err != nil {
		return Vote{}, expectedFiles{}, errors.Wrap(err, "decode vote")
	}
	return Vote{
		Term: w.Term, VotedFor: w.VotedFor, Identity: w.Identity, Epoch: w.Epoch,
		FolderID: w.FolderID, Founders: w.Founders, FounderFolderIDs: w.FounderFolderIDs,
	}, expectedFiles{segment: w.Segment, snapshot: w.Snapshot}, nil
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
	r := &payloadReader{data: payload}
	s := Snapshot{Index: r.uvarint(), Term: r.uvarint(), Members: r.bytes(), Data: r.bytes()}
	if r.malformed || len(r.data) > 0 {
		return Snapshot{}, errMalformed
	}
	return s, nil
}
