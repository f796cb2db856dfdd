package backend_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
)

// Guards against a reader whose record of a peer's load differs from the peer's actual
// load after digests were lost, duplicated, reordered or delayed, after tombstones were
// deleted, or after the peer restarted.
func TestLoadDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, epoch := clock.Millis(0), uint64(1)
		log, reader := backend.NewLoadLog(backend.Options{Entry: "p", Epoch: epoch}), backend.NewPeerLoads()
		inFlight, streams := map[string]int{}, map[string]string{}
		var inTransit []backend.Digest
		pull := func() backend.Digest {
			data, err := backend.EncodeDigest(log.AddLoadDelta(now, backend.New(backend.Options{Entry: "p"}).Digest(now, backend.Version{}), reader.Version("p")))
			if err != nil {
				t.Fatal(err)
			}
			d, err := backend.DecodeDigest(data)
			if err != nil {
				t.Fatal(err)
			}
			return d
		}
		t.Repeat(map[string]func(*rapid.T){
			"in flight": func(t *rapid.T) {
				name, n := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "server")), rapid.IntRange(0, 2).Draw(t, "n")
				log.SetInFlight(name, n)
				inFlight[name] = n
			},
			"start": func(t *rapid.T) {
				id, name := fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "id")), fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "server"))
				log.StartStream(now, backend.Stream{ID: id, Server: name})
				streams[id] = name
			},
			"end": func(t *rapid.T) {
				id := fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "id"))
				log.EndStream(now, id)
				delete(streams, id)
			},
			"restart": func(*rapid.T) {
				epoch++
				log = backend.NewLoadLog(backend.Options{Entry: "p", Epoch: epoch})
				inFlight, streams, inTransit = map[string]int{}, map[string]string{}, nil
			},
			"answer": func(*rapid.T) { inTransit = append(inTransit, pull()) },
			"arrive": func(t *rapid.T) {
				if len(inTransit) == 0 {
					return
				}
				before := reader.Version("p")
				reader.Merge(rapid.SampledFrom(inTransit).Draw(t, "digest"))
				if after := reader.Version("p"); after.Origin == before.Origin && after.Counter < before.Counter {
					t.Fatalf("version: got %d, want at least %d", after.Counter, before.Counter)
				}
			},
			"wait": func(t *rapid.T) { now += clock.Millis(rapid.SampledFrom([]int{10, 11_000}).Draw(t, "wait")) },
			"compare": func(t *rapid.T) {
				reader.Merge(pull())
				maps.DeleteFunc(inFlight, func(_ string, n int) bool { return n == 0 })
				got := map[string]string{}
				for _, s := range reader.Streams("p") {
					got[s.ID] = s.Server
				}
				if !maps.Equal(got, streams) || !maps.Equal(reader.InFlight("p"), inFlight) {
					t.Fatalf("got %v and %v, want %v and %v", got, reader.InFlight("p"), streams, inFlight)
				}
			},
		})
	})
}
