package catalog_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// Guards against a route lookup whose result differs from that of a search through all
// routes for the longest matching prefix.
func TestRouteAgainstSearch(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"a", "b"})
	segment := rapid.SampledFrom([]string{"x", "y", "xx"})
	prefixes := rapid.Map(rapid.SliceOfN(segment, 0, 3), func(s []string) string {
		return strings.Join(append(append([]string{""}, s...), ""), "/")
	})
	rapid.Check(t, func(t *rapid.T) {
		d := catalog.Definition{Revision: 1, Services: []catalog.Service{{Name: "one"}}}
		seen := map[string]bool{}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			host, prefix := hosts.Draw(t, "host"), prefixes.Draw(t, "prefix")
			if !seen[host+prefix] {
				d.Routes = append(d.Routes, route(host, prefix, 0, catalog.Share{Service: "one", Weight: 1}))
			}
			seen[host+prefix] = true
		}
		c, err := catalog.Build(d)
		if err != nil {
			t.Fatal(err)
		}
		host, path := hosts.Draw(t, "host asked"), prefixes.Draw(t, "path")+rapid.SampledFrom([]string{"", "x", "y/z"}).Draw(t, "end")
		want := ""
		for _, r := range d.Routes {
			if r.Host == host && strings.HasPrefix(path, r.Prefix) && (want == "" || len(host+r.Prefix) > len(want)) {
				want = r.Name
			}
		}
		if got, _ := c.Route(host, path); got.Name != want {
			t.Fatalf("%s%s: got %q, want %q", host, path, got.Name, want)
		}
	})
}

// Guards against a decreasing revision whatever the order of documents, and against
// state machines that differ after the same documents.
func TestMachineKeepsHighestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var one, two catalog.Machine
		bodies := map[uint64]string{}
		highest := uint64(0)
		for i, revision := range rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(t, "revisions") {
			d := catalog.Document{Revision: revision, Body: []byte{byte(i)}}
			got := one.Apply(d)
			two.Apply(d)
			if want := revision > highest; (got.Outcome == catalog.Accepted) != want {
				t.Fatalf("revision %d over %d: got %q, want accepted %v", revision, highest, got.Outcome, want)
			}
			if revision > highest {
				highest, bodies[revision] = revision, string(d.Body)
			}
			if current := one.Current(); current.Revision != highest || string(current.Body) != bodies[highest] {
				t.Fatalf("got revision %d, want %d with its first body", current.Revision, highest)
			}
		}
		if string(one.Snapshot()) != string(two.Snapshot()) {
			t.Fatal("two machines differ after the same documents")
		}
	})
}
