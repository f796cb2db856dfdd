package storage

// Decoders that read what a disk returns.
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

// Salts of the frames outside segments.
const (
	VoteSalt     = voteSalt
	SnapshotSalt = snapshotSalt
)

// Marks is the type of the marks that EncodeVote takes.
type Marks = marks

// Entries returns the entries of a decoded record.
func (r record) Entries() []Entry { return r.entries }
