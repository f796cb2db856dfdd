package catalog

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// Compress returns the compressed body of the document.
func (d Document) Compress() ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := w.Write(d.Body); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return compressed.Bytes(), nil
}

// Decompress returns the document with the given compressed body. It returns an error if the
// body is damaged or longer than maxBytes.
func Decompress(revision uint64, compressed []byte, maxBytes int) (Document, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), int64(maxBytes)+1))
	if err != nil {
		return Document{}, errors.Wrapf(err, "decompressing the catalog document with revision %d", revision)
	}
	if len(body) > maxBytes {
		return Document{}, errors.Errorf("catalog document with revision %d is longer than %d bytes", revision, maxBytes)
	}
	return Document{Revision: revision, Body: body}, nil
}
