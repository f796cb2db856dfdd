package backend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/uuid"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
)

// BenchmarkDigest measures the bytes of digests and pulls per entry in a cluster of 10
// entries and 260 servers over 20 s, without HTTP headers. Each entry starts 22 requests
// per second, which run for 6 s on average.
func BenchmarkDigest(b *testing.B) {
	for _, events := range []int{0, 4} {
		for _, load := range []bool{false, true} {
			b.Run(fmt.Sprintf("cache-events=%d/load=%v", events, load), func(b *testing.B) {
				for b.Loop() {
					received := measureCluster(b, events, load)
					b.ReportMetric(float64(received.digests)/20/10, "digest-B/s/entry")
					b.ReportMetric(float64(received.pulls)/20/10, "pull-B/s/entry")
					b.ReportMetric(float64(received.digests)/20/10/260, "digest-B/s/server")
					b.ReportMetric(float64(received.records)/20/10/260, "records/s/server")
				}
			})
		}
	}
}

type benchEntry struct {
	name     string
	registry *backend.Registry
	log      *backend.LoadLog
	loads    *backend.PeerLoads
	running  map[string]string
}

type byteCounts struct{ digests, pulls, records int }

func measureCluster(b *testing.B, events int, load bool) byteCounts {
	b.Helper()
	const entries, servers = 10, 260
	random := rand.New(rand.NewPCG(4711, 5))
	var peers []*benchEntry
	for i := range entries {
		options := backend.Options{Entry: fmt.Sprint("entry-", i), Epoch: random.Uint64()}
		peers = append(peers, &benchEntry{
			name: options.Entry, registry: backend.New(options), log: backend.NewLoadLog(options),
			loads: backend.NewPeerLoads(), running: map[string]string{},
		})
	}
	var total byteCounts
	for now := clock.Millis(0); now < 25_000; now++ {
		if now == 5000 {
			total = byteCounts{}
		}
		for i := range servers {
			if (int(now)+i*1000/servers)%1000 == 0 {
				a := engine(fmt.Sprint("engine-", i), uint64(now)).WithCacheEvents(randomEvents(random, events)).
					WithLoad(backend.Load{Age: 400, Running: random.IntN(16), KVUsed: random.IntN(4000), TokensPerSecond: float64(random.IntN(900))})
				peers[random.IntN(entries)].registry.Accept(now, a, 1000)
			}
		}
		for _, e := range peers {
			simulateRequests(e.log, now, random, e.running)
		}
		for i := range entries * entries {
			reader, peer := peers[i/entries], peers[i%entries]
			if reader != peer && (int(now)+i*5)%500 == 0 {
				pull(b, &total, now, reader, peer, load)
			}
		}
	}
	return total
}

func pull(b *testing.B, total *byteCounts, now clock.Millis, reader, peer *benchEntry, load bool) {
	b.Helper()
	request, err := backend.EncodeDigestRequest(backend.DigestRequest{Entry: reader.name, Since: reader.registry.Version(), LoadSince: reader.loads.Version(peer.name)})
	if err != nil {
		b.Fatal(err)
	}
	d := peer.registry.Digest(now, reader.registry.Version())
	if load {
		d = peer.log.AddLoadDelta(now, d, reader.loads.Version(peer.name)).
			WithWaiting([]backend.Demand{{Pool: "model:m-small", Tier: 1, Waiting: 3, Oldest: 40}, {Pool: "model:m-small", Tier: 4, Waiting: 90, Oldest: 9000}})
	}
	data, err := backend.EncodeDigest(d)
	if err != nil {
		b.Fatal(err)
	}
	decoded, err := backend.DecodeDigest(data)
	if err != nil {
		b.Fatal(err)
	}
	reader.registry.Merge(now, decoded, 2)
	if load {
		reader.loads.Merge(decoded)
	}
	total.pulls += len(request)
	total.digests += len(data)
	total.records += d.RecordCount()
}

// simulateRequests starts 22 requests per second at an entry and ends each after 6 s on
// average. It must be called once per millisecond.
func simulateRequests(l *backend.LoadLog, now clock.Millis, random *rand.Rand, running map[string]string) {
	if random.IntN(1000) < 22 {
		id := uuid.NewString()
		running[id] = fmt.Sprint("engine-", random.IntN(260))
		l.StartStream(now, backend.Stream{ID: id, Server: running[id], Position: random.IntN(500)})
		l.SetInFlight(running[id], countRequests(running, running[id]))
	}
	for id, server := range running {
		if random.IntN(6000) == 0 {
			delete(running, id)
			l.EndStream(now, id)
			l.SetInFlight(server, countRequests(running, server))
		}
	}
}

func countRequests(running map[string]string, server string) int {
	n := 0
	for _, s := range running {
		if s == server {
			n++
		}
	}
	return n
}

func randomEvents(random *rand.Rand, n int) []backend.CacheEvent {
	var events []backend.CacheEvent
	for i := range n {
		events = append(events, backend.CacheEvent{Sequence: uint64(100_000 + i), Kind: backend.PrefixStored, Hash: random.Uint64()})
	}
	return events
}

// BenchmarkDigestPull measures the time to create, encode, decode and merge a digest
// with new announcements of 65 of 260 servers.
func BenchmarkDigestPull(b *testing.B) {
	peer, reader := backend.New(backend.Options{Entry: "p"}), backend.New(backend.Options{Entry: "r"})
	for i := range 260 {
		peer.Accept(0, engine(fmt.Sprint("engine-", i), 1), 0)
	}
	reader.Merge(0, peer.Digest(0, reader.Version()), 0)
	since := reader.Version()
	for i := range 65 {
		peer.Accept(0, engine(fmt.Sprint("engine-", i), 2), 0)
	}
	for b.Loop() {
		data, err := backend.EncodeDigest(peer.Digest(0, since))
		if err != nil {
			b.Fatal(err)
		}
		d, err := backend.DecodeDigest(data)
		if err != nil {
			b.Fatal(err)
		}
		reader.Merge(0, d, 2)
	}
}

// BenchmarkUsable measures the share of time, over 10 minutes, for which servers that
// send announcements are not usable at an entry.
func BenchmarkUsable(b *testing.B) {
	for _, loss := range []int{0, 1, 5} {
		b.Run(fmt.Sprintf("loss=%d%%", loss), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(b, linkFaults{loss: loss, maxDelay: 3}, 4711, 4, 20)
				c.run(10_000, func() {})
				unused, total, last := 0, 0, clock.Millis(0)
				c.run(610_000, func() {
					if c.now == last {
						return
					}
					last = c.now
					for _, e := range c.entries {
						unused += 20 - e.registry.PoolSize(e.now(c), "model:m-small") - e.registry.PoolSize(e.now(c), "model:m-large")
						total += 20
					}
				})
				b.ReportMetric(100*float64(unused)/float64(total), "unused-%")
			}
		})
	}
}
