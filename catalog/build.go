package catalog

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Definition is the decoded content of a catalog document, before Build validates it.
type Definition struct {
	Revision   uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// HasWorkspaces is set if the document lists workspaces, even if it lists none: then no key is valid.
	HasWorkspaces bool
	Limits        Limits
}

// Format decodes catalog documents, so that this package does not depend on the
// format in which operators write them.
type Format interface {
	Decode(document []byte) (Catalog, error)
}

// Build validates the definition and returns an indexed catalog.
func Build(d Definition) (Catalog, error) {
	c := Catalog{
		revision: d.Revision, limits: d.Limits, needsKeys: d.HasWorkspaces || len(d.Workspaces) > 0,
		routes: map[string][]Route{}, services: map[string]Service{}, workspaceByKey: map[string]Workspace{},
	}
	for _, s := range d.Services {
		if _, ok := c.services[s.Name]; ok || s.Name == "" {
			return Catalog{}, errors.Errorf("service %q has no name or is listed twice", s.Name)
		}
		c.services[s.Name] = s
	}
	for _, r := range d.Routes {
		if err := c.addRoute(r); err != nil {
			return Catalog{}, err
		}
	}
	for _, w := range d.Workspaces {
		for _, key := range w.Keys {
			if other, ok := c.workspaceByKey[key]; ok && other.Name != w.Name {
				return Catalog{}, errors.Errorf("workspaces %q and %q share a key", other.Name, w.Name)
			}
			c.workspaceByKey[key] = w
		}
	}
	c.urgencies = urgencies(d)
	for _, u := range c.urgencies {
		c.leastUrgentTier = max(c.leastUrgentTier, u.routeTier)
	}
	for _, routes := range c.routes {
		slices.SortFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c, nil
}

// urgencies returns the distinct urgencies of requests to model engines, most urgent
// first. Other backend servers do not distinguish requests by urgency.
func urgencies(d Definition) []urgency {
	var ranks []urgency
	workspaces := d.Workspaces
	if len(workspaces) == 0 {
		workspaces = []Workspace{{}}
	}
	for _, r := range d.Routes {
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

// addRoute adds a route if it is valid and no other has its host and prefix.
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

// checkRoute returns an error if a route is invalid or refers to unknown services.
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
	case r.MaxPossibleRuns < 1:
		return errors.Errorf("route %q: %d attempts are not possible", r.Name, r.MaxPossibleRuns)
	}
	total := 0.0 // a sum of integers could overflow
	for _, s := range r.Shares {
		if _, ok := c.services[s.Service]; !ok {
			return errors.Errorf("route %q: service %q is unknown", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return errors.Errorf("route %q: weight %d of service %q is negative", r.Name, s.Weight, s.Service)
		}
		total += float64(s.Weight)
	}
	if total <= 0 {
		return errors.Errorf("route %q: the weights add up to %g", r.Name, total)
	}
	return nil
}
