package stream_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/stream"
)

// Guards against events that are lost or merged, and against a truncated stream that is
// reported as complete.
func TestReader(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, input string
		want        []string
		wantErr     error
	}{
		{name: "empty", wantErr: io.EOF},
		{name: "two events", input: "data: a\n\ndata:b\n\n", want: []string{"|a", "|b"}, wantErr: io.EOF},
		{name: "carriage returns", input: "data: a\r\n\r\n", want: []string{"|a"}, wantErr: io.EOF},
		{name: "several lines", input: "data: a\ndata: b\n\n", want: []string{"|a\nb"}, wantErr: io.EOF},
		{name: "named", input: "event: error\ndata: {}\n\n", want: []string{"error|{}"}, wantErr: io.EOF},
		{name: "comments", input: ": x\n\ndata: a\n: y\n\n", want: []string{"#", "|a"}, wantErr: io.EOF},
		{name: "unknown fields", input: "id: 7\nretry: 1\ndata: a\n\n", want: []string{"|a"}, wantErr: io.EOF},
		{name: "name without data", input: "event: x\n\ndata: a\n\n", want: []string{"|a"}, wantErr: io.EOF},
		{name: "cut in a line", input: "data: a\n\ndata: b", want: []string{"|a"}, wantErr: io.ErrUnexpectedEOF},
		{name: "cut before the empty line", input: "data: a\n", wantErr: io.ErrUnexpectedEOF},
		{name: "line too large", input: "data: " + strings.Repeat("x", 65) + "\n\n", wantErr: stream.ErrEventTooLarge},
		{name: "lines too large", input: strings.Repeat("data: xxxxxxxx\n", 9) + "\n", wantErr: stream.ErrEventTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := stream.NewReader(strings.NewReader(tt.input), 64)
			var got []string
			for {
				e, err := r.Next()
				if err != nil {
					if !errors.Is(err, tt.wantErr) {
						t.Errorf("end: got %v, want %v", err, tt.wantErr)
					}
					break
				}
				if e.Comment {
					got = append(got, "#")
					continue
				}
				got = append(got, e.Name+"|"+string(e.Data))
			}
			if strings.Join(got, ",") != strings.Join(tt.want, ",") {
				t.Errorf("events: got %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against events that change between writer and reader, wherever the network
// splits the bytes.
func TestRoundTrip(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) stream.Chunk {
			return stream.Chunk{
				ID:       rapid.StringN(0, 8, -1).Draw(t, "id"),
				Text:     rapid.String().Draw(t, "text"),
				Position: rapid.IntRange(0, 1_000_000).Draw(t, "position"),
				Finish:   rapid.SampledFrom([]string{"", "stop"}).Draw(t, "finish"),
				Usage:    stream.Usage{PromptTokens: rapid.IntRange(0, 9).Draw(t, "prompt")},
			}
		}), 0, 20).Draw(t, "chunks")
		var wire []byte
		for _, c := range chunks {
			wire = stream.AppendComment(wire, "wait")
			wire = stream.AppendEvent(wire, "", stream.AppendChunk(nil, c))
		}
		var source io.Reader = bytes.NewReader(wire)
		if rapid.Bool().Draw(t, "byte by byte") {
			source = iotest.OneByteReader(source)
		}
		r := stream.NewReader(source, 1<<20)
		for _, want := range chunks {
			if e, err := r.Next(); err != nil || !e.Comment {
				t.Fatalf("got %v (%v), want a comment", e, err)
			}
			e, err := r.Next()
			if err != nil {
				t.Fatal(err)
			}
			if got, err := stream.ParseChunk(e.Data); err != nil || got != want {
				t.Fatalf("got %+v (%v), want %+v", got, err, want)
			}
		}
	})
}

// Guards against text that is delivered twice after a stream is resumed, and against
// letting another engine continue an answer from its text alone when it contains more
// than text, for example tool calls.
func TestTranscript(t *testing.T) {
	t.Parallel()
	var tr stream.Transcript
	steps := []struct {
		chunk stream.Chunk
		want  bool
	}{
		{stream.Chunk{Role: "assistant"}, true},
		{stream.Chunk{Text: "a", Position: 1}, true},
		{stream.Chunk{Text: "bc", Position: 3}, true},
		{stream.Chunk{Text: "bc", Position: 3}, false},
		{stream.Chunk{Text: "a", Position: 1}, false},
		{stream.Chunk{Text: "d"}, true},
		{stream.Chunk{Finish: "stop", Position: 4, Usage: stream.Usage{PromptTokens: 7}}, true},
	}
	for i, s := range steps {
		if got := tr.Add(s.chunk); got != s.want {
			t.Errorf("step %d: got %v, want %v", i, got, s.want)
		}
	}
	if tr.Text() != "abcd" || tr.Position() != 4 || tr.Finish() != "stop" || tr.Usage().PromptTokens != 7 || !tr.Continuable() {
		t.Errorf("got %q at %d, %q, %v, %v", tr.Text(), tr.Position(), tr.Finish(), tr.Usage(), tr.Continuable())
	}
	c, err := stream.ParseChunk([]byte(`{"choices":[{"delta":{"tool_calls":[{"index":0}]}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	tr.Add(c)
	if tr.Continuable() {
		t.Error("an answer with a tool call counts as continuable")
	}
}

// Guards against an error that an engine sends in place of a chunk and that reaches the caller
// as a part of the answer.
func TestErrorIsNoChunk(t *testing.T) {
	t.Parallel()
	tests := []struct {
		data  string
		valid bool
	}{
		{data: `{"error":{"message":"out of memory"}}`},
		{data: `{}`},
		{data: `"text"`},
		{data: `{"choices":[],"usage":{"prompt_tokens":1}}`, valid: true},
		{data: `{"usage":{"prompt_tokens":1}}`, valid: true},
		{data: `{"choices":[{"delta":{"content":"a"}}]}`, valid: true},
	}
	for _, tt := range tests {
		if _, err := stream.ParseChunk([]byte(tt.data)); (err == nil) != tt.valid {
			t.Errorf("%s: got %v, want a valid chunk: %v", tt.data, err, tt.valid)
		}
	}
}
