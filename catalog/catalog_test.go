package catalog_test

import (
	"bytes"
	"testing"

	"github.com/galenaslip/galenaslip/catalog"
)

// route returns a valid route to engines. Its name is the host followed by the prefix.
func route(host, prefix string, tier int, shares ...catalog.Share) catalog.Route {
	return catalog.Route{
		Name: host + prefix, Host: host, Prefix: prefix, RepeatPolicy: catalog.Idempotent, Timeout: 1000, Tier: tier,
		Shares: shares, MaxPossibleRuns: 1, ForEngine: true,
	}
}

// validDefinition returns the definition of a valid catalog.
func validDefinition() catalog.Definition {
	one := catalog.Share{Service: "one", Weight: 1}
	return catalog.Definition{
		Revision: 3,
		Services: []catalog.Service{{Name: "one"}, {Name: "two"}},
		Routes:   []catalog.Route{route("a", "/", 0, one), route("a", "/x/", 2, one), route("b", "/x/", 1, one)},
		Workspaces: []catalog.Workspace{
			{Name: "large", Keys: []string{"k1", "k2"}, Tier: 1}, {Name: "small", Keys: []string{"k3"}},
		},
	}
}

// Guards against treating a route as least urgent although a less urgent one exists,
// or although its servers are no engines. Requests to the least urgent route may be
// refused.
func TestLeastUrgent(t *testing.T) {
	routes := []catalog.Route{
		{Name: "query", Tier: 0, ForEngine: true}, {Name: "tag", Tier: 1, ForEngine: true}, {Name: "digest", Tier: 2, ForEngine: true},
		{Name: "posting", Tier: 3},
	}
	d := catalog.Definition{Services: []catalog.Service{{Name: "s"}}}
	for _, r := range routes {
		r.Host, r.Prefix, r.Timeout, r.MaxPossibleRuns, r.RepeatPolicy = "h", "/"+r.Name+"/", 1, 1, catalog.OnceOnly
		r.Shares = []catalog.Share{{Service: "s", Weight: 1}}
		d.Routes = append(d.Routes, r)
	}
	c, err := catalog.Build(d)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range d.Routes {
		if got, want := c.IsLeastUrgent(r), r.Name == "digest"; got != want {
			t.Errorf("%s: got %t, want %t", r.Name, got, want)
		}
	}
	if got, want := c.RankCount(), 3; got != want {
		t.Errorf("ranks: got %d, want %d", got, want)
	}
}

// Guards against routing a request by a prefix that is not the longest match.
func TestRoute(t *testing.T) {
	c, err := catalog.Build(validDefinition())
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		host, path, want string
	}{
		{"a", "/x/y", "a/x/"}, {"A", "/x/", "a/x/"}, {"a", "/x", "a/"}, {"b", "/x/y", "b/x/"}, {"b", "/", ""}, {"c", "/x/", ""},
	}
	for _, tt := range tests {
		got, _ := c.Route(tt.host, tt.path)
		if got.Name != tt.want {
			t.Errorf("%s%s: got %q, want %q", tt.host, tt.path, got.Name, tt.want)
		}
	}
}

// Guards against accepting an invalid catalog.
func TestBuildRejectsInvalidDefinition(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *catalog.Definition)
	}{
		{"unknown service", func(d *catalog.Definition) { d.Routes[0].Shares = []catalog.Share{{Service: "three", Weight: 1}} }},
		{"same host and prefix", func(d *catalog.Definition) { d.Routes[1].Prefix = "/" }},
		{"same host in other case", func(d *catalog.Definition) { d.Routes[2].Host, d.Routes[2].Prefix = "A", "/x/" }},
		{"no weight", func(d *catalog.Definition) { d.Routes[0].Shares = []catalog.Share{{Service: "one"}} }},
		{"negative weight", func(d *catalog.Definition) {
			d.Routes[0].Shares = []catalog.Share{{Service: "one", Weight: 2}, {Service: "two", Weight: -1}}
		}},
		{"no timeout", func(d *catalog.Definition) { d.Routes[0].Timeout = 0 }},
		{"no repeat policy", func(d *catalog.Definition) { d.Routes[0].RepeatPolicy = 0 }},
		{"bad prefix", func(d *catalog.Definition) { d.Routes[0].Prefix = "/x" }},
		{"shared key", func(d *catalog.Definition) { d.Workspaces[1].Keys = []string{"k1"} }},
		{"service twice", func(d *catalog.Definition) { d.Services[1].Name = "one" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := validDefinition()
			tt.change(&d)
			if _, err := catalog.Build(d); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}

// Guards against urgency ranks in the wrong order, with which engines would preempt the
// wrong request. The workspace's tier counts before the route's.
func TestUrgency(t *testing.T) {
	c, err := catalog.Build(validDefinition())
	if err != nil {
		t.Fatal(err)
	}
	large, _ := c.Workspace("k1")
	small, _ := c.Workspace("k3")
	previous := -1
	for _, w := range []catalog.Workspace{small, large} {
		for _, path := range []string{"/", "/x/"} {
			r, _ := c.Route("a", path)
			got := c.Urgency(w, r)
			if got <= previous {
				t.Errorf("workspace tier %d, route tier %d: got rank %d, want more than %d", w.Tier, r.Tier, got, previous)
			}
			previous = got
		}
	}
}

// Guards against a distribution over services that does not follow the weights.
func TestChoose(t *testing.T) {
	r := route("a", "/", 0, catalog.Share{Service: "one", Weight: 90}, catalog.Share{Service: "none"}, catalog.Share{Service: "two", Weight: 10})
	counts := map[string]int{}
	const points = 1000
	for i := range points {
		counts[r.ChooseService(float64(i)/points)]++
	}
	if got, want := counts["one"], 900; got != want {
		t.Errorf("one: got %d, want %d", got, want)
	}
	if got, want := counts["two"], 100; got != want {
		t.Errorf("two: got %d, want %d", got, want)
	}
}

// Guards against replacing the configuration by an older one, or by different content
// with the same revision.
func TestMachine(t *testing.T) {
	m := &catalog.Machine{}
	steps := []struct {
		revision uint64
		body     string
		want     catalog.Outcome
		inForce  string
	}{
		{5, "a", catalog.Accepted, "a"}, {5, "b", catalog.Superseded, "a"}, {3, "c", catalog.Superseded, "a"},
		{9, "d", catalog.Accepted, "d"}, {9, "d", catalog.Superseded, "d"},
	}
	for _, s := range steps {
		if got := m.Apply(catalog.Document{Revision: s.revision, Body: []byte(s.body)}); got.Outcome != s.want {
			t.Errorf("revision %d: got %q, want %q", s.revision, got.Outcome, s.want)
		}
		if got := string(m.Current().Body); got != s.inForce {
			t.Errorf("revision %d: got %q in force, want %q", s.revision, got, s.inForce)
		}
	}
	var restored catalog.Machine
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if got, want := restored.Current(), m.Current(); got.Revision != want.Revision || !bytes.Equal(got.Body, want.Body) {
		t.Errorf("restored: got %v, want %v", got, want)
	}
}
