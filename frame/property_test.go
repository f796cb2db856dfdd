package frame_test

import (
	"bufio"
	"bytes"
	"flag"
	"io"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/frame"
)

// TestMain fixes the seed of rapid unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// torn returns its data in pieces of the given sizes.
type torn struct {
	data  []byte
	sizes []int
}

func (t *torn) Read(p []byte) (int, error) {
	if len(t.data) == 0 {
		return 0, io.EOF
	}
	size := 1
	if len(t.sizes) > 0 {
		size, t.sizes = t.sizes[0], t.sizes[1:]
	}
	n := copy(p, t.data[:min(size, len(t.data))])
	t.data = t.data[n:]
	return n, nil
}

// Guards against a body that changes with the way in which the network cuts it
// up, against bytes of the next message in it, and against a cut one that passes
// for whole.
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
		whole := cut == end
		data := append(bytes.Clone(message[:cut]), next...)
		if !whole {
			data = message[:cut]
		}
		r := bufio.NewReaderSize(&torn{data: data, sizes: rapid.SliceOf(rapid.IntRange(1, 64)).Draw(t, "sizes")}, 16)
		h, err := frame.ReadResponse(r, 4096)
		if err != nil {
			t.Fatal(err)
		}
		body, err := frame.ResponseBody(r, h, "GET")
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(body)
		if whole != (err == nil) || !bytes.HasPrefix(want, got) {
			t.Fatalf("got %d bytes and %v, want a part of %d and whole %v", len(got), err, len(want), whole)
		}
		if !whole {
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
