package control

import (
	"encoding/binary"
	"sync"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

// Machine is the replicated state of the control group: configuration and
// claims. Handlers read it while the log applies entries.
type Machine struct {
	mu             sync.RWMutex
	configurations *configuration.Machine
	claims         *claim.Machine
}

// NewMachine returns an empty machine.
func NewMachine() *Machine {
	return &Machine{configurations: configuration.NewMachine(), claims: claim.NewMachine()}
}

// Apply runs one committed command and returns the encoded answer, which is
// empty for a command that cannot be decoded.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := decodeCommand(data)
	if err != nil {
		return nil
	}
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
	claims := m.claims.Snapshot()
	// The length comes first; the rest is the snapshot of the claims.
	data := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(configurations)+len(claims)), uint64(len(configurations)))
	data = append(data, configurations...)
	return append(data, claims...)
}

// Restore replaces the state by a snapshot. The state is unchanged when the
// snapshot is invalid.
func (m *Machine) Restore(snapshot []byte) error {
	length, size := binary.Uvarint(snapshot)
	if size <= 0 || length > uint64(len(snapshot)-size) {
		return errors.Errorf("a snapshot of %d bytes is cut short", len(snapshot))
	}
	encoded := snapshot[size:]
	configurations, claims := configuration.NewMachine(), claim.NewMachine()
	if err := configurations.Restore(encoded[:length]); err != nil {
		return err
	}
	if err := claims.Restore(encoded[length:]); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configurations, m.claims = configurations, claims
	return nil
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
	return m.claims.Holder(key)
}

func (m *Machine) sentOwners() []claim.Owner {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Owners()
}

// reset empties the machine for a new life of the data folder.
func (m *Machine) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configurations, m.claims = configuration.NewMachine(), claim.NewMachine()
}

// size is what debug state and metrics report about the machine.
type size struct {
	Revision   uint64       `json:"revision"`
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
		Revision: c.Revision(), Classes: len(c.Classes()), Stops: len(c.Stops()),
		Claims: m.claims.Len(), ClaimBytes: m.claims.Bytes(), Time: m.claims.Now(),
	}
}
