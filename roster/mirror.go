package roster

import (
	"cmp"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

// Mirror is a copy of a Registry at another process. It is kept up to date with the
// registry's changes and answers the same question, ChangedSince, with positions of the
// registry. It is not safe for concurrent use.
type Mirror struct {
	epoch    uint64
	position uint64 // number of the registry's newest change that the mirror contains
	servers  map[string]registration
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror { return &Mirror{servers: map[string]registration{}} }

// Epoch identifies the registry that is mirrored. A later registry has a higher epoch.
func (m *Mirror) Epoch() uint64 { return m.epoch }

// Position returns the number of the registry's newest change that the mirror contains.
func (m *Mirror) Position() uint64 { return m.position }

// Apply applies the changes up to a position of the registry with the given epoch, and
// reports whether the mirror has changed. Changes of an older registry, or up to an older
// position, are ignored. The first changes of a later registry replace the mirror's content.
func (m *Mirror) Apply(now clock.Millis, epoch, position uint64, changed []Record) bool {
	if epoch < m.epoch || epoch == m.epoch && position <= m.position {
		return false
	}
	if epoch > m.epoch {
		m.epoch, m.servers = epoch, map[string]registration{}
	}
	m.position = position
	for _, record := range changed {
		// The changes come without their own numbers. With the number of the newest one,
		// a reader may see a change twice, but never misses one.
		m.servers[record.Server] = registration{record: record, updatedAt: now, changeNumber: position}
	}
	for name, known := range m.servers {
		if known.record.State == Gone && now-known.updatedAt >= goneRetention {
			delete(m.servers, name)
		}
	}
	return true
}

// ChangedSince returns the records that changed after a position of the registry with the
// given epoch. For another epoch it returns all records.
func (m *Mirror) ChangedSince(epoch, position uint64) []Record {
	if epoch != m.epoch {
		position = 0
	}
	if position >= m.position {
		return nil
	}
	var changed []registration
	for _, known := range m.servers {
		if known.changeNumber > position {
			changed = append(changed, known)
		}
	}
	slices.SortFunc(changed, func(a, b registration) int {
		return cmp.Or(cmp.Compare(a.changeNumber, b.changeNumber), cmp.Compare(a.record.Server, b.record.Server))
	})
	records := make([]Record, len(changed))
	for i, known := range changed {
		records[i] = known.record
	}
	return records
}

// IsRefresh reports whether an announcement only shows that a server is still alive, so
// that the registry would not report a change to the entries.
func (m *Mirror) IsRefresh(a Announcement) bool {
	known, ok := m.servers[a.Server]
	return ok && a.isNewerThan(known.record.Announcement) && !differs(known.record, Record{Announcement: a})
}
