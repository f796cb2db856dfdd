package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

const (
	// digestLength is the length of a digest in bytes before it is written in hexadecimal.
	digestLength = 16
	// shortDigestLength is the length in characters of the form that tells the requests with a
	// part from each other.
	shortDigestLength = 8
	// maxDigestedBytes is how much of the begin and of the end of a body is digested, so that a
	// long body costs little.
	maxDigestedBytes = 64 << 10
)

// Digest returns a digest of a request that is the same at all entries. Requests of different
// callers have different digests, so that no caller can have the requests of another one
// refused as a whole. Long bodies with the same length, begin and end have the same digest.
func Digest(caller, method, host, target string, body []byte) string {
	h := sha256.New()
	for _, field := range []string{caller, method, host, target} {
		writeField(h, []byte(field))
	}
	head := body[:min(len(body), maxDigestedBytes)]
	writeLength(h, len(body))
	writeField(h, head)
	writeField(h, body[max(len(head), len(body)-maxDigestedBytes):])
	return hex.EncodeToString(h.Sum(nil)[:digestLength])
}

// writeField adds a field with its length, so that the bounds between fields count.
func writeField(h hash.Hash, field []byte) {
	writeLength(h, len(field))
	_, _ = h.Write(field) // never fails
}

func writeLength(h hash.Hash, n int) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(n)))
}

// partIDBytes is the length of the part of a hash that identifies a part of a prompt.
const partIDBytes = 16

// PartID returns an ID for a part of a prompt that has none. It does not show the text.
func PartID(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:partIDBytes])
}
