package control

import (
	"encoding/binary"
	"sync"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

// Machine is the replicated state of the control group: configuration, catalog
// and claims. Handlers read it while the log applies entries.
type Machine struct {
	mu             sync.RWMutex
	configurations *configuration.Machine
	catalogs       *catalog.Machine
	claims         *claim.Machine
	onCatalog      func() // called after the catalog may have changed
}

// NewMachine returns an empty machine.
func NewMachine() *Machine {
	return &Machine{
		configurations: configuration.NewMachine(), catalogs: &catalog.Machine{}, claims: claim.NewMachine(),
		onCatalog: func() {},
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
		defer m.onCatalog()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	answer, err := m.run(c)
	if err != nil {
		panic(err) // every answer can be encoded
	}
	return answer
}

func (m *Machine) run(c command) ([]byte, error) {
	if c.change != nil {
		return configuration.EncodeAnswer(m.configurations.Apply(c.at, c.change, c.base, c.key))
	}
	if c.document != nil {
		return encodeCatalogAnswer(m.catalogs.Apply(*c.document))
	}
	return claim.EncodeResult(m.claims.Apply(c.at, c.claim))
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	configurations, err := m.configurations.Snapshot()
	if err != nil {
		panic(err) // every state can be encoded
	}
	var data []byte
	for _, section := range [][]byte{configurations, m.catalogs.Snapshot(), m.claims.Snapshot()} {
		data = binary.AppendUvarint(data, uint64(len(section)))
		data = append(data, section...)
	}
	return data
}

// nextSection splits the first section of a snapshot off.
func nextSection(snapshot []byte) (section, rest []byte, err error) {
	length, size := binary.Uvarint(snapshot)
	if size <= 0 || length > uint64(len(snapshot)-size) {
		return nil, nil, errors.Errorf("a snapshot of %d bytes is cut short", len(snapshot))
	}
	snapshot = snapshot[size:]
	return snapshot[:length], snapshot[length:], nil
}

// Restore replaces the state by a snapshot. The state is unchanged when the
// snapshot is invalid.
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
	defer m.onCatalog()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configurations, m.catalogs, m.claims = configurations, catalogs, claims
	return nil
}

// Catalog returns the document with the highest accepted revision.
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

func (m *Machine) lookup(key string) claim.Result {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Lookup(key)
}

func (m *Machine) holder(key string) (claim.Owner, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.PendingOwner(key)
}

func (m *Machine) sentOwners() []claim.Owner {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.SentOwners()
}

// reset empties the machine for a new life of the data folder.
func (m *Machine) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configurations, m.catalogs, m.claims = configuration.NewMachine(), &catalog.Machine{}, claim.NewMachine()
}

// size is what debug state and metrics report about the machine.
type size struct {
	Revision   uint64       `json:"revision"`
	Catalog    uint64       `json:"catalog_revision"`
	Classes    int          `json:"classes"`
	Stops      int          `json:"stops"`
	Claims     int          `json:"claims"`
	ClaimBytes int          `json:"claim_bytes"`
	Time       clock.Millis `json:"time_of_day_ms"`
}

func (m *Machine) size() size {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c := m.configurations.Current()
	return size{
		Revision: c.Revision(), Catalog: m.catalogs.Current().Revision, Classes: len(c.Classes()), Stops: len(c.Stops()),
		Claims: m.claims.Len(), ClaimBytes: m.claims.Bytes(), Time: m.claims.Now(),
	}
}
