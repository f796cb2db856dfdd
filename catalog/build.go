package catalog

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Definition are the parts of a catalog as a format has decoded them.
type Definition struct {
	Revision   uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Format decodes documents. The format of a document is its operator's choice.
type Format interface {
	Decode(document []byte) (Catalog, error)
}

// Build checks the parts against each other and indexes them.
func Build(p Definition) (Catalog, error) {
	c := Catalog{
		revision: p.Revision, limits: p.Limits, workspaces: len(p.Workspaces),
		routes: map[string][]Route{}, services: map[string]Service{}, byKey: map[string]Workspace{},
	}
	for _, s := range p.Services {
		if _, ok := c.services[s.Name]; ok || s.Name == "" {
			return Catalog{}, errors.Errorf("service %q has no name or is listed twice", s.Name)
		}
		c.services[s.Name] = s
	}
	for _, r := range p.Routes {
		if err := c.addRoute(r); err != nil {
			return Catalog{}, err
		}
	}
	for _, w := range p.Workspaces {
		for _, key := range w.Keys {
			if other, ok := c.byKey[key]; ok && other.Name != w.Name {
				return Catalog{}, errors.Errorf("workspaces %q and %q share a key", other.Name, w.Name)
			}
			c.byKey[key] = w
		}
	}
	c.urgencies = urgencies(p)
	for _, u := range c.urgencies {
		c.lowestTier = max(c.lowestTier, u.route)
	}
	for _, routes := range c.routes {
		slices.SortFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c, nil
}

// urgencies ranks the requests to engines, the only servers that tell requests
// apart by their urgency.
func urgencies(p Definition) []urgency {
	var ranks []urgency
	workspaces := p.Workspaces
	if len(workspaces) == 0 {
		workspaces = []Workspace{{}}
	}
	for _, r := range p.Routes {
		if !r.ForEngine {
			continue
		}
		for _, w := range workspaces {
			ranks = append(ranks, urgency{w.Tier, r.Tier})
		}
	}
	slices.SortFunc(ranks, compareUrgency)
	return slices.Compact(ranks)
}

func (c Catalog) addRoute(r Route) error {
	if err := c.checkRoute(r); err != nil {
		return err
	}
	host := strings.ToLower(r.Host)
	for _, other := range c.routes[host] {
		if other.Prefix == r.Prefix {
			return errors.Errorf("routes %q and %q have the same host and prefix %q", other.Name, r.Name, r.Prefix)
		}
	}
	c.routes[host] = append(c.routes[host], r)
	return nil
}

func (c Catalog) checkRoute(r Route) error {
	switch {
	case r.Host == "":
		return errors.Errorf("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Errorf("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return errors.Errorf("route %q: timeout %d ms is not positive", r.Name, r.Timeout)
	case r.RepeatPolicy == 0:
		return errors.Errorf("route %q does not say whether requests may be repeated", r.Name)
	case r.Attempts < 1:
		return errors.Errorf("route %q: %d attempts are not possible", r.Name, r.Attempts)
	}
	total := 0
	for _, s := range r.Shares {
		if _, ok := c.services[s.Service]; !ok {
			return errors.Errorf("route %q: service %q is unknown", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return errors.Errorf("route %q: weight %d of service %q is negative", r.Name, s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.Errorf("route %q: the weights add up to %d", r.Name, total)
	}
	return nil
}
