package control

import (
	"encoding/binary"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/metering"
	"github.com/galenaslip/galenaslip/roster"
)

// Machine is the replicated state machine of the control group. It holds the
// configuration, the catalog, the claims, the versions and departures of backend servers, and
// the usage reports. It is safe for concurrent use: handlers read it while the log applies entries.
type Machine struct {
	mu              sync.RWMutex
	configurations  *configuration.Machine
	catalogs        *catalog.Machine
	claims          *claim.Machine
	versions        continuation.Table
	departures      roster.Departures
	usage           metering.State
	onCatalogChange func() // called without mu after a command that may have changed the catalog
}

// NewMachine returns an empty state machine.
func NewMachine() *Machine {
	return &Machine{
		configurations: configuration.NewMachine(), catalogs: &catalog.Machine{}, claims: claim.NewMachine(),
		onCatalogChange: func() {},
	}
}

// Apply runs one committed command and returns the encoded answer, which is
// empty for a command that cannot be decoded.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	c, err := decodeCommand(data)
	if err != nil {
		return nil
	}
	if c.document != nil {
		defer m.onCatalogChange()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	answer, err := m.applyCommand(c)
	if err != nil {
		panic(err) // cannot happen: every answer can be encoded
	}
	return answer
}

// applyCommand applies a decoded command and returns the encoded answer. The caller holds
// the lock.
func (m *Machine) applyCommand(c command) ([]byte, error) {
	if c.change != nil {
		return configuration.EncodeAnswer(m.configurations.Apply(c.proposedAt, c.change, c.baseRevision, c.idempotencyKey))
	}
	if c.document != nil {
		return encodeApplyResult(m.catalogs.Apply(*c.document))
	}
	if len(c.versions) > 0 {
		for _, change := range c.versions {
			m.versions = m.versions.With(change)
		}
		return nil, nil
	}
	if len(c.departures) > 0 {
		m.departures = m.departures.With(lo.Map(c.departures, func(a roster.Announcement, _ int) roster.Departure {
			return roster.Departure{Announcement: a, At: c.proposedAt}
		})...)
		return nil, nil
	}
	if c.usage != nil {
		m.usage.Apply(*c.usage)
		return strconv.AppendInt(nil, int64(m.usage.Next()), 10), nil
	}
	return claim.EncodeResult(m.claims.Apply(c.proposedAt, c.claim))
}

// Snapshot returns the encoded state: the configuration, the catalog, the claims, the
// versions, the departures and the usage reports, each preceded by its length as an unsigned varint.
func (m *Machine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	configurations, err := m.configurations.Snapshot()
	if err != nil {
		panic(err) // cannot happen: every state can be encoded
	}
	versions, err := m.versions.Encode()
	if err != nil {
		panic(err) // cannot happen: every state can be encoded
	}
	departures, err := encodeDepartures(m.departures)
	if err != nil {
		panic(err) // cannot happen: every state can be encoded
	}
	usage, err := m.usage.Encode()
	if err != nil {
		panic(err) // cannot happen: every state can be encoded
	}
	var data []byte
	for _, section := range [][]byte{configurations, m.catalogs.Snapshot(), m.claims.Snapshot(), versions, departures, usage} {
		data = binary.AppendUvarint(data, uint64(len(section)))
		data = append(data, section...)
	}
	return data
}

// nextSection splits a snapshot into its first section and the rest.
func nextSection(snapshot []byte) (section, rest []byte, err error) {
	length, size := binary.Uvarint(snapshot)
	if size <= 0 || length > uint64(len(snapshot)-size) {
		return nil, nil, errors.Errorf("a snapshot of %d bytes is truncated", len(snapshot))
	}
	snapshot = snapshot[size:]
	return snapshot[:length], snapshot[length:], nil
}

// Restore replaces the state with that of a snapshot. The state is unchanged
// when the snapshot is invalid.
func (m *Machine) Restore(snapshot []byte) error {
	configurations, catalogs, claims := configuration.NewMachine(), &catalog.Machine{}, claim.NewMachine()
	for _, restore := range []func([]byte) error{configurations.Restore, catalogs.Restore, claims.Restore} {
		section, rest, err := nextSection(snapshot)
		if err != nil {
			return err
		}
		if err := restore(section); err != nil {
			return err
		}
		snapshot = rest
	}
	versions, departures, usage, err := restoreNewer(snapshot)
	if err != nil {
		return err
	}
	defer m.onCatalogChange()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configurations, m.catalogs, m.claims, m.versions, m.departures = configurations, catalogs, claims, versions, departures
	m.usage = usage
	return nil
}

// restoreNewer returns the versions, departures and usage reports in the last sections of a snapshot. A
// snapshot of a former build lacks the last of them, or all.
func restoreNewer(snapshot []byte) (versions continuation.Table, departures roster.Departures, usage metering.State, err error) {
	var section []byte
	if len(snapshot) > 0 {
		if section, snapshot, err = nextSection(snapshot); err == nil {
			versions, err = continuation.DecodeTable(section)
		}
	}
	if err == nil && len(snapshot) > 0 {
		if section, snapshot, err = nextSection(snapshot); err == nil {
			departures, err = decodeDepartures(section)
		}
	}
	if err == nil && len(snapshot) > 0 {
		if section, _, err = nextSection(snapshot); err == nil {
			usage, err = metering.DecodeState(section)
		}
	}
	return versions, departures, usage, err
}

// Departures returns the acknowledged departures of backend servers.
func (m *Machine) Departures() roster.Departures {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.departures
}

// Usage returns the state of the usage reports.
func (m *Machine) Usage() metering.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.usage.Clone()
}

// usageNext returns the first window of usage that is not decided.
func (m *Machine) usageNext() metering.Window {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.usage.Next()
}

// Versions returns the versions of backend servers at which streams may have begun.
func (m *Machine) Versions() continuation.Table {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.versions
}

// Catalog returns the catalog document with the highest accepted revision.
func (m *Machine) Catalog() catalog.Document {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.catalogs.Current()
}

// Configuration returns the current configuration.
func (m *Machine) Configuration() configuration.Configuration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configurations.Current()
}

func (m *Machine) history() []configuration.Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configurations.History()
}

func (m *Machine) configurationAt(revision uint64) (configuration.Configuration, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configurations.At(revision)
}

func (m *Machine) lookupClaim(key string) claim.Result {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Lookup(key)
}

// claimOwner returns the owner of a claim whose attempt has not ended, if any.
func (m *Machine) claimOwner(key string) (claim.Owner, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.PendingOwner(key)
}

// sentClaimOwners returns the owners of claims in state sent.
func (m *Machine) sentClaimOwners() []claim.Owner {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.SentOwners()
}

// reset empties the state machine when the member starts again under a new
// identity.
func (m *Machine) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configurations, m.catalogs, m.claims = configuration.NewMachine(), &catalog.Machine{}, claim.NewMachine()
	m.versions, m.departures, m.usage = continuation.Table{}, roster.Departures{}, metering.State{}
}

// summary describes the state machine in /debug/state and in the metrics. Stops
// is the number of planned stops, and TimeOfDay the time of the newest claim command.
type summary struct {
	Revision        uint64       `json:"revision"`
	CatalogRevision uint64       `json:"catalog_revision"`
	Classes         int          `json:"classes"`
	Stops           int          `json:"stops"`
	Claims          int          `json:"claims"`
	ClaimBytes      int          `json:"claim_bytes"`
	TimeOfDay       clock.Millis `json:"time_of_day_ms"`
}

func (m *Machine) summary() summary {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c := m.configurations.Current()
	return summary{
		Revision: c.Revision(), CatalogRevision: m.catalogs.Current().Revision, Classes: len(c.Classes()), Stops: len(c.Stops()),
		Claims: m.claims.Len(), ClaimBytes: m.claims.Bytes(), TimeOfDay: m.claims.Now(),
	}
}
