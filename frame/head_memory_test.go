package frame_test

import (
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/frame"
)

// Guards against heads whose memory is not counted: many small fields take some ten times their bytes,
// so that a few hundred peers that send heads without end use up the memory of the VM.
func TestMemoryOfHeads(t *testing.T) {
	const limit = 64 << 10
	tests := []struct {
		name, field string
	}{
		{"smallest fields", "A:\r\n"},
		{"small fields", "A: b\r\n"},
		{"large fields", "A: " + strings.Repeat("x", 8000) + "\r\n"},
		{"one field", "A: " + strings.Repeat("x", limit-100)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\n" + strings.Repeat(tt.field, max(1, (limit-100)/len(tt.field))) + "\r\n\r\n"
			memory := &budget{left: 1 << 30}
			const heads = 20
			var kept [heads]frame.Head
			before := liveHeap()
			for i := range kept {
				var err error
				if kept[i], err = frame.ReadResponse(reader(text), limit, memory); err != nil && !errors.Is(err, frame.ErrTooLarge) {
					t.Fatal(err)
				}
			}
			used, reserved := liveHeap()-before, 1<<30-memory.left
			if free := heads * frame.FreeHeadBytes; used > reserved+free+heads*4096 {
				t.Errorf("memory of %d heads: got %d bytes, want at most the %d reserved and %d that need no reservation", heads, used, reserved, free)
			}
			runtime.KeepAlive(kept)
			_, err := frame.ReadResponse(reader(text), limit, &budget{left: 20 << 10})
			if !errors.Is(err, frame.ErrNoMemory) {
				t.Errorf("with too little memory: got %v, want %v", err, frame.ErrNoMemory)
			}
		})
	}
}

// liveHeap returns the number of bytes that are in use on the heap.
func liveHeap() int {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return int(s.HeapAlloc)
}

// Guards against usual messages that depend on the memory which faulty peers have left.
func TestSmallMessageNeedsNoMemory(t *testing.T) {
	none := &budget{}
	text := "HTTP/1.1 200 OK\r\n" + strings.Repeat("Field: "+strings.Repeat("x", 60)+"\r\n", 20) + "\r\n"
	if _, err := frame.ReadResponse(reader(text), 1<<16, none); err != nil {
		t.Errorf("got %v, want no error", err)
	}
}
