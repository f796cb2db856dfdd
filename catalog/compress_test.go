package catalog_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/catalog"
)

// Guards against a document that reaches an entry changed, cut short or longer than allowed.
func TestCompress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := catalog.Document{Revision: 7, Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body")}
		compressed, err := want.Compress()
		if err != nil {
			t.Fatal(err)
		}
		got, err := catalog.Decompress(7, compressed, len(want.Body))
		if err != nil || got.Revision != want.Revision || !bytes.Equal(got.Body, want.Body) {
			t.Errorf("got %v, %v, want %v", got, err, want)
		}
		if len(want.Body) > 0 {
			if _, err := catalog.Decompress(7, compressed, len(want.Body)-1); err == nil {
				t.Error("document beyond the limit: got no error, want one")
			}
		}
		if cut := rapid.IntRange(0, len(compressed)-1).Draw(t, "cut"); cut < len(compressed) {
			if _, err := catalog.Decompress(7, compressed[:cut], len(want.Body)); err == nil {
				t.Errorf("document cut after %d of %d bytes: got no error, want one", cut, len(compressed))
			}
		}
	})
}
