package frame_test

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/frame"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// fragmentReader is a reader that returns its data in fragments of the given sizes,
// then byte by byte.
type fragmentReader struct {
	data  []byte
	sizes []int
}

func (f *fragmentReader) Read(p []byte) (int, error) {
	if len(f.data) == 0 {
		return 0, io.EOF
	}
	size := 1
	if len(f.sizes) > 0 {
		size, f.sizes = f.sizes[0], f.sizes[1:]
	}
	n := copy(p, f.data[:min(size, len(f.data))])
	f.data = f.data[n:]
	return n, nil
}

// Guards against a chunked body that depends on how the network fragments it, that
// includes bytes of the next message, or that is truncated but accepted as complete.
func TestChunkedBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 40), 0, 8).Draw(t, "pieces")
		next := rapid.SliceOfN(rapid.Byte(), 0, 10).Draw(t, "next")
		message := []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		head := len(message)
		var want []byte
		for _, p := range pieces {
			message = frame.AppendChunk(message, p)
			want = append(want, p...)
		}
		message = append(message, frame.LastChunk...)
		end := len(message)
		cut := rapid.IntRange(head, end).Draw(t, "cut")
		complete := cut == end
		data := append(bytes.Clone(message[:cut]), next...)
		if !complete {
			data = message[:cut]
		}
		r := bufio.NewReaderSize(&fragmentReader{data: data, sizes: rapid.SliceOf(rapid.IntRange(1, 64)).Draw(t, "sizes")}, 16)
		h, err := frame.ReadResponse(r, 4096, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := frame.ResponseBody(r, h, "GET")
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(body)
		if complete != (err == nil) || !bytes.HasPrefix(want, got) {
			t.Fatalf("got %d bytes and %v, want a prefix of %d bytes and complete %v", len(got), err, len(want), complete)
		}
		if !complete {
			return
		}
		if !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
		if rest, _ := io.ReadAll(r); !bytes.Equal(rest, next) {
			t.Fatalf("next message: got %x, want %x", rest, next)
		}
	})
}
