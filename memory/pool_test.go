package memory_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/memory"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// Guards against a pool that gives out more than it has or loses what is returned, and against
// sources that take all of it: with n sources that take what they get, a further one still gets as
// much as each of them may hold.
func TestPoolLeavesMemoryToOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 24
		p := memory.NewPool(limit)
		n := rapid.IntRange(1, 8).Draw(t, "sources")
		greedy := make([]memory.Source, n)
		r := p.Begin()
		r.Of(&greedy[0]).Reserve(memory.FreeBytes)
		held := 0
		for range rapid.IntRange(1, 3000).Draw(t, "requests") {
			bytes := rapid.IntRange(1, 1<<18).Draw(t, "bytes")
			if r.Of(&greedy[rapid.IntRange(0, n-1).Draw(t, "source")]).Reserve(bytes) {
				held += bytes
			}
			if got := p.InUse(); got != held || got > limit {
				t.Fatalf("in use: got %d bytes, want %d and at most %d", got, held, limit)
			}
		}
		if left, want := limit-held, limit/(n+1)-n*(1<<18); left < want {
			t.Errorf("left by %d sources: got %d bytes, want at least %d", n, left, want)
		}
		var modest memory.Source
		other := p.Begin()
		if !other.Of(&modest).Reserve(limit / (n + 1) / 4) {
			t.Errorf("beside %d sources: got no memory for another one", n)
		}
		r.Release()
		other.Release()
		if got := p.InUse(); got != 0 {
			t.Errorf("in use after the release: got %d bytes, want none", got)
		}
	})
}

// Guards against bytes that are kept beyond a limit, lost, or held without a reservation.
func TestReadAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := make([]byte, rapid.IntRange(0, 100_000).Draw(t, "size"))
		limit := rapid.IntRange(0, 100_000).Draw(t, "limit")
		length := int64(-1)
		if rapid.Bool().Draw(t, "length known") {
			length = int64(len(data))
		}
		p := memory.NewPool(1 << 20)
		r := p.Begin()
		var source memory.Source
		got, err := memory.ReadAll(io.LimitReader(bytes.NewReader(data), 1<<20), length, limit, r.Of(&source))
		switch {
		case len(data) > limit && !errors.Is(err, memory.ErrTooLarge):
			t.Errorf("%d bytes with a limit of %d: got %v, want %v", len(data), limit, err, memory.ErrTooLarge)
		case len(data) <= limit && (err != nil || len(got) != len(data)):
			t.Errorf("got %d bytes and %v, want %d", len(got), err, len(data))
		case cap(got) > p.InUse()+memory.FreeBytes:
			t.Errorf("got %d bytes of memory, want at most the %d reserved and %d more", cap(got), p.InUse(), memory.FreeBytes)
		}
	})
}

// Guards against a source that gets more than it leaves for the others, because it asks for much at once.
func TestSourceLeavesAsMuchToOthers(t *testing.T) {
	const limit = 1 << 20
	for _, first := range []int{0, limit / 8, limit / 4, limit / 2} {
		for _, step := range []int{limit / 64, limit / 8, limit / 4, limit/2 + 1, limit} {
			pool := memory.NewPool(limit + memory.FreeBytes)
			var other, source memory.Source
			reservation := pool.Begin()
			reservation.Of(&other).Reserve(memory.FreeBytes) // what needs no reservation
			reservation.Of(&other).Reserve(first)
			before := pool.InUse()
			for reservation.Of(&source).Reserve(step) {
			}
			if got, want := pool.InUse()-before, limit+memory.FreeBytes-pool.InUse(); got > want {
				t.Errorf("source beside %d bytes, %d at a time: got %d bytes, want no more than the %d that are left", before, step, got, want)
			}
		}
	}
}
