package control

import (
	"sync"

	"github.com/galenaslip/galenaslip/catalog"
)

// documentCompressor compresses catalog documents for entries. It keeps the newest result,
// because all entries need the same document at about the same time. It is safe for
// concurrent use.
type documentCompressor struct {
	mu         sync.Mutex
	revision   uint64
	compressed []byte
}

// compress returns the compressed body of a document.
func (d *documentCompressor) compress(document catalog.Document) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.compressed != nil && d.revision == document.Revision {
		return d.compressed, nil
	}
	compressed, err := document.Compress()
	if err != nil {
		return nil, err
	}
	d.revision, d.compressed = document.Revision, compressed
	return compressed, nil
}
