package storage

// Encoders and decoders of stored data.
var (
	DecodeFrame    = decodeFrame
	DecodeRecord   = decodeRecord
	DecodeVote     = decodeVote
	DecodeSnapshot = decodeSnapshot
	EncodeFrame    = encodeFrame
	EncodeEntries  = encodeEntries
	EncodeVote     = encodeVote
	EncodeSnapshot = encodeSnapshot
)

// Salts of the frames in the vote and snapshot files.
const (
	VoteSalt     = voteSalt
	SnapshotSalt = snapshotSalt
)

// ExpectedFiles is the second parameter of EncodeVote.
type ExpectedFiles = expectedFiles

// Entries returns the entries of a decoded record.
func (r record) Entries() []Entry { return r.entries }
