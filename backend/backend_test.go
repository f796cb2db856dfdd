package backend_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
)

func engine(name string, sequence uint64) backend.Announcement {
	return backend.NewAnnouncement(name, 1, sequence, "10.0.0.7:9000").
		WithModels("m-small").WithSlots(16).WithKVTotal(4000).WithChecksFencing(true).WithAvailabilityZone("az-1").
		WithLoad(backend.Load{Age: 400, Running: 5, KVUsed: 100, TokensPerSecond: 800})
}

// Guards against accepting a challenge that is damaged, too old, from the future, from
// another entry or from an earlier run of the entry.
func TestChallenge(t *testing.T) {
	challenger := backend.NewChallenger("entry-1", 7)
	issued := challenger.Issue(1000)
	tests := []struct {
		name      string
		challenge string
		now       clock.Millis
		age       clock.Millis
		ok        bool
	}{
		{name: "fresh", challenge: issued, now: 1400, age: 400, ok: true},
		{name: "at the limit", challenge: issued, now: 3000, age: 2000, ok: true},
		{name: "too old", challenge: issued, now: 3001, age: 2001},
		{name: "from the future", challenge: issued, now: 999, age: -1},
		{name: "missing", challenge: ""},
		{name: "other entry", challenge: backend.NewChallenger("entry-2", 7).Issue(1000), now: 1000},
		{name: "other life", challenge: backend.NewChallenger("entry-1", 8).Issue(1000), now: 1000},
		{name: "damaged", challenge: "entry-1/7/1001" + issued[len("entry-1/7/1000"):], now: 1400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			age, ok := challenger.Check(tt.now, tt.challenge)
			if ok != tt.ok || age != tt.age {
				t.Errorf("got age %d, %v, want %d, %v", age, ok, tt.age, tt.ok)
			}
		})
	}
}

// Guards against an old announcement that replaces a newer one, and against one that
// makes a server usable although it is too old.
func TestAccept(t *testing.T) {
	tests := []struct {
		name     string
		a        backend.Announcement
		age      clock.Millis
		want     backend.Acceptance
		usable   bool
		sequence uint64
	}{
		{name: "newer", a: engine("s", 11), want: backend.Accepted, usable: true, sequence: 11},
		{name: "leaving", a: engine("s", 11).WithState(backend.Leaving), want: backend.Accepted, sequence: 11},
		{name: "lower sequence", a: engine("s", 9), want: backend.Outdated, usable: true, sequence: 10},
		{name: "lower incarnation", a: backend.NewAnnouncement("s", 0, 99, "10.0.0.7:9000"), want: backend.Outdated, usable: true, sequence: 10},
		{name: "higher incarnation", a: backend.NewAnnouncement("s", 2, 1, "10.0.0.7:9000"), want: backend.Accepted, usable: true, sequence: 1},
		{name: "too old", a: engine("s", 11), age: 3000, want: backend.Expired, usable: true, sequence: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := backend.New(backend.Options{Entry: "e"})
			r.Accept(0, engine("s", 10), 0)
			if got := r.Accept(100, tt.a, tt.age); got != tt.want {
				t.Errorf("acceptance: got %q, want %q", got, tt.want)
			}
			got, _ := r.Server(100, "s")
			if got.Usable != tt.usable || got.Sequence() != tt.sequence {
				t.Errorf("got usable %v, sequence %d, want %v, %d", got.Usable, got.Sequence(), tt.usable, tt.sequence)
			}
		})
	}
}

// Guards against sending requests to an engine in the prefill role, which only computes
// prompts.
func TestPrefillIsInNoPool(t *testing.T) {
	r := backend.New(backend.Options{Entry: "e"})
	r.Accept(0, engine("s", 1).WithRole(backend.Prefill), 0)
	if got := r.PoolSize(0, "model:m-small"); got != 0 {
		t.Errorf("got %d servers, want 0", got)
	}
}

// A digest record may be a refresh, which omits the fields of a server that rarely change,
// such as its models. Guards against combining a refresh with values of these fields other
// than the sender's. The values differ if the receiver has accepted an announcement with
// changed models that the sender missed, and the sender then accepts a later one with the
// former models.
func TestRefreshNeedsSameStableFields(t *testing.T) {
	peer, reader := backend.New(backend.Options{Entry: "p"}), backend.New(backend.Options{Entry: "o"})
	pull := func(now clock.Millis) { reader.Merge(now, peer.Digest(now, reader.Version()), 0) }
	peer.Accept(0, engine("s", 1), 0)
	pull(0)
	reader.Accept(0, engine("s", 2).WithModels("m-large"), 0)
	peer.Accept(0, engine("s", 3), 0)
	pull(0)
	pull(1)
	got, _ := reader.Server(1, "s")
	if got.Sequence() != 3 || got.Models()[0] != "m-small" {
		t.Errorf("got sequence %d with models %v, want 3 with m-small", got.Sequence(), got.Models())
	}
}

// Guards against fields that are lost or changed by encoding and decoding.
func TestCodecRoundTrip(t *testing.T) {
	a := engine("engine-7", 3).WithChallenge("c").WithCacheEvents([]backend.CacheEvent{{Sequence: 9, Kind: backend.PrefixStored, Hash: 1 << 63}})
	encoded, err := backend.EncodeAnnouncement(a)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := backend.DecodeAnnouncement(encoded)
	if err != nil {
		t.Fatal(err)
	}
	reencoded, _ := backend.EncodeAnnouncement(decoded)
	if got, want := string(reencoded), string(encoded); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
