package backend_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
)

// Guards against new work for a server more than 3 s after it began to leave or became
// silent (guarantee G6), and against underestimated ages. Both must hold at each of
// four entries, whichever messages are lost, delayed, duplicated or reordered.
func TestLeavingServerGetsNoWork(t *testing.T) {
	usableAfterStop := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, drawLinkFaults(t), rapid.Uint64().Draw(t, "seed"), 4, 3)
		for _, s := range c.servers {
			s.stopsAt = clock.Millis(rapid.IntRange(0, 12_000).Draw(t, "stops at"))
			s.silent = rapid.Bool().Draw(t, "silent")
		}
		c.run(20_000, func() {
			for i, e := range c.entries {
				for _, s := range e.registry.Servers(e.now(c)) {
					actual := c.server(s.Server())
					if s.Usable && c.now >= actual.stopsAt+3000 {
						t.Fatalf("entry %d uses %s at %d, which stopped at %d", i, actual.name, c.now, actual.stopsAt)
					}
					if want := c.now - actual.sentAt[s.Sequence()]; s.Age < want {
						t.Fatalf("entry %d: age of %s: got %d, want at least %d", i, actual.name, s.Age, want)
					}
					if got, want := s.Models()[0], actual.models[s.Sequence()]; got != want {
						t.Fatalf("entry %d: model of %s: got %s, want %s", i, actual.name, got, want)
					}
					if s.Usable && c.now >= actual.stopsAt {
						usableAfterStop++
					}
				}
			}
		})
	})
	if usableAfterStop == 0 {
		t.Error("no server was ever in use after it stopped: the property was not exercised")
	}
}

func (c *cluster) server(name string) *server {
	i := slices.IndexFunc(c.servers, func(s *server) bool { return s.name == name })
	return c.servers[i]
}

// Guards against servers that stay unusable at some entry although the network has
// recovered from faults. One entry may have been isolated until it had dropped the
// records of all servers.
func TestEntriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, drawLinkFaults(t), rapid.Uint64().Draw(t, "seed"), 4, 3)
		c.run(10_000, func() {})
		c.linkFaults = linkFaults{maxDelay: 3}
		c.entries[0].isolated = rapid.Bool().Draw(t, "isolated")
		c.run(75_000, func() {})
		c.entries[0].isolated = false
		c.run(80_000, func() {})
		c.run(82_000, func() {
			for i, e := range c.entries {
				now := e.now(c)
				got := e.registry.PoolSize(now, "model:m-small") + e.registry.PoolSize(now, "model:m-large")
				if want := len(c.servers); got != want {
					t.Fatalf("entry %d uses %d servers at %d, want %d", i, got, c.now, want)
				}
			}
		})
	})
}

// dump returns the whole content of a registry as text, for comparison.
func dump(r *backend.Registry, now clock.Millis) string {
	out := ""
	for _, s := range r.Servers(now) {
		out += fmt.Sprintln(s.Server(), s.Incarnation(), s.Sequence(), s.State(), s.Models(), s.Load(), s.Age, s.LoadAge, s.Usable)
	}
	for _, p := range r.Pools(now) {
		names := []string{}
		for _, s := range r.Pool(now, p) {
			names = append(names, s.Server())
		}
		slices.Sort(names)
		out += fmt.Sprintln(p, names)
	}
	return out
}

// drawAnnouncement returns a random announcement. Its content is determined by its
// server, incarnation and sequence, as it is for real servers.
func drawAnnouncement(t *rapid.T) backend.Announcement {
	n := rapid.IntRange(0, 4).Draw(t, "server")
	incarnation := rapid.Uint64Range(1, 2).Draw(t, "incarnation")
	sequence := rapid.Uint64Range(1, 9).Draw(t, "sequence")
	a := backend.NewAnnouncement(fmt.Sprint("s", n), incarnation, sequence, "10.0.0.7:9000").
		WithModels("a", fmt.Sprint("m", (uint64(n)+sequence/3)%3)).
		WithLoad(backend.Load{Running: int(sequence)})
	if sequence%4 == 3 {
		a = a.WithState(backend.Leaving)
	}
	return a
}

// Guards against digests whose effect depends on the order in which, or on how often,
// they are merged.
func TestMergeCommutesAndIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var digests []backend.Digest
		for i := range 3 {
			r := backend.New(backend.Options{Entry: fmt.Sprint("e", i)})
			for range rapid.IntRange(0, 8).Draw(t, "announcements") {
				r.Accept(1000, drawAnnouncement(t), clock.Millis(rapid.IntRange(0, 2000).Draw(t, "age")))
			}
			digests = append(digests, r.Digest(1000, backend.Version{}))
		}
		const now, roundTrip = 5000, 700
		merged := func(order []int) string {
			r := backend.New(backend.Options{Entry: "reader"})
			for _, i := range order {
				r.Merge(now, digests[i], roundTrip)
			}
			return dump(r, now)
		}
		order := rapid.Permutation([]int{0, 1, 2}).Draw(t, "order")
		withDuplicates := append(slices.Clone(order), rapid.SliceOfN(rapid.IntRange(0, 2), 0, 4).Draw(t, "again")...)
		want := merged([]int{0, 1, 2})
		if got := merged(order); got != want {
			t.Fatalf("order %v: got\n%s\nwant\n%s", order, got, want)
		}
		if got := merged(withDuplicates); got != want {
			t.Fatalf("order %v: got\n%s\nwant\n%s", withDuplicates, got, want)
		}
	})
}

// Guards against an index by pool that differs from a scan of all records after any
// sequence of announcements, planned stops, merges and time passing.
func TestIndexEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Millis(0)
		r, peer := backend.New(backend.Options{Entry: "e"}), backend.New(backend.Options{Entry: "p"})
		var stops []string
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				r.Accept(now, drawAnnouncement(t), clock.Millis(rapid.IntRange(0, 3100).Draw(t, "age")))
			},
			"merge": func(t *rapid.T) {
				peer.Accept(now, drawAnnouncement(t), 0)
				r.Merge(now, peer.Digest(now, r.Version()), 10)
			},
			"stop": func(t *rapid.T) {
				stops = rapid.SliceOfN(rapid.SampledFrom([]string{"s0", "s1", "s2"}), 0, 2).Draw(t, "stops")
				r.SetPlannedStops(now, stops)
			},
			"wait": func(t *rapid.T) {
				now += clock.Millis(rapid.SampledFrom([]int{1, 700, 3000, 60_000}).Draw(t, "wait"))
			},
			"": func(t *rapid.T) {
				for _, pool := range []string{"model:a", "model:m0", "model:m1", "model:m2"} {
					compareIndex(t, r, now, pool, stops)
				}
			},
		})
	})
}

func compareIndex(t *rapid.T, r *backend.Registry, now clock.Millis, pool string, stops []string) {
	var got, want []string
	for _, s := range r.Pool(now, pool) {
		got = append(got, s.Server())
	}
	for _, s := range r.Servers(now) {
		usable := s.State() == backend.Serving && s.Age < backend.MaxUsableAge && !slices.Contains(stops, s.Server())
		if usable && slices.Contains(s.Pools(), pool) {
			want = append(want, s.Server())
		}
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Fatalf("%s: got %v, want %v", pool, got, want)
	}
}
