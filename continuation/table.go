package continuation

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

const (
	// maxNameBytes is the longest name of a service or version, in bytes.
	maxNameBytes = 128
	// maxVersions bounds the versions of a service in the table, and maxServices its services.
	maxVersions = 64
	maxServices = 4096
)

// Table holds the versions of each service at which a stream may have begun that can still be taken up.
// It is immutable.
type Table struct {
	revision uint64 // number of changes so far
	versions map[string][]string
}

// Change adds a version to the table, or removes it.
type Change struct {
	Origin Origin
	Remove bool
}

// Revision returns the number of changes of the table.
func (t Table) Revision() uint64 { return t.revision }

// Versions returns the versions of a service.
func (t Table) Versions(service string) []string { return t.versions[service] }

// Has reports whether the table has a version.
func (t Table) Has(o Origin) bool { return slices.Contains(t.versions[o.Service], o.Version) }

// Origins returns all versions of all services, ordered by name.
func (t Table) Origins() []Origin {
	services := lo.Keys(t.versions)
	slices.Sort(services)
	return lo.FlatMap(services, func(service string, _ int) []Origin {
		return lo.Map(t.versions[service], func(v string, _ int) Origin { return Origin{service, v} })
	})
}

// With returns the table after a change. It is the same one if the change makes no difference, or
// would make the table too large.
func (t Table) With(c Change) Table {
	known := t.versions[c.Origin.Service]
	if c.Remove != t.Has(c.Origin) {
		return t
	}
	if !c.Remove && (len(known) >= maxVersions || len(known) == 0 && len(t.versions) >= maxServices) {
		return t
	}
	next := Table{revision: t.revision + 1, versions: lo.Assign(t.versions)}
	if c.Remove {
		next.versions[c.Origin.Service] = lo.Without(known, c.Origin.Version)
	} else {
		next.versions[c.Origin.Service] = append(slices.Clone(known), c.Origin.Version)
		slices.Sort(next.versions[c.Origin.Service])
	}
	if len(next.versions[c.Origin.Service]) == 0 {
		delete(next.versions, c.Origin.Service)
	}
	return next
}

// WireTable is the JSON form of Table.
type WireTable struct {
	Revision uint64              `json:"revision"`
	Versions map[string][]string `json:"versions"`
}

// ToWire returns the JSON form of a table.
func ToWire(t Table) WireTable { return WireTable{Revision: t.revision, Versions: t.versions} }

// Table returns the table that has a JSON form.
func (w WireTable) Table() Table { return Table{revision: w.Revision, versions: w.Versions} }

// Encode returns the table as bytes for a snapshot.
func (t Table) Encode() ([]byte, error) {
	data, err := json.Marshal(ToWire(t))
	return data, errors.Wrap(err, "encoding the table of versions")
}

// DecodeTable returns the table that Encode has encoded.
func DecodeTable(data []byte) (Table, error) {
	var w WireTable
	if err := json.Unmarshal(data, &w); err != nil {
		return Table{}, errors.Wrap(err, "decoding the table of versions")
	}
	return w.Table(), nil
}

// WireChange is the JSON form of Change.
type WireChange struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Remove  bool   `json:"remove,omitempty"`
}

// ToWireChange returns the JSON form of a change.
func ToWireChange(c Change) WireChange {
	return WireChange{Service: c.Origin.Service, Version: c.Origin.Version, Remove: c.Remove}
}

// Change returns the change that has a JSON form.
func (w WireChange) Change() Change {
	return Change{Origin: Origin{Service: w.Service, Version: w.Version}, Remove: w.Remove}
}
