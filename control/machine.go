package control

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

// maxRetired bounds the identities that are remembered as replaced. Identities
// are random and are not drawn again.
const maxRetired = 4096

// Machine is the replicated state of the control group: configuration, claims
// and the identities that may not return. Handlers read it while the log
// applies entries.
type Machine struct {
	mu             sync.RWMutex
	configurations *configuration.Machine
	claims         *claim.Machine
	retired        []string
	applied        uint64
}

// NewMachine returns an empty machine.
func NewMachine() *Machine {
	return &Machine{configurations: configuration.NewMachine(), claims: claim.NewMachine()}
}

// Apply runs one committed command and returns the encoded answer, which is
// empty for a command that cannot be decoded.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
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
	switch {
	case c.change != nil:
		return configuration.EncodeAnswer(m.configurations.Apply(c.at, c.change, c.base, c.key))
	case c.claim != nil:
		return claim.EncodeResult(m.claims.Apply(c.at, c.claim))
	}
	m.retire(c.retire)
	return []byte("{}"), nil
}

func (m *Machine) retire(identity string) {
	if slices.Contains(m.retired, identity) {
		return
	}
	m.retired = append(m.retired, identity)
	if extra := len(m.retired) - maxRetired; extra > 0 {
		m.retired = m.retired[extra:]
	}
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	configurations, err := m.configurations.Snapshot()
	if err != nil {
		panic(err) // every state can be encoded
	}
	claims, err := m.claims.Snapshot()
	if err != nil {
		panic(err)
	}
	data, err := json.Marshal(wireSnapshot{Configuration: configurations, Claims: claims, Retired: m.retired})
	if err != nil {
		panic(err)
	}
	return data
}

// Restore replaces the state by a snapshot. The state is unchanged when the
// snapshot is invalid.
func (m *Machine) Restore(snapshot []byte) error {
	var w wireSnapshot
	if err := json.Unmarshal(snapshot, &w); err != nil {
		return errors.Wrap(err, "decoding a snapshot")
	}
	configurations, claims := configuration.NewMachine(), claim.NewMachine()
	if err := configurations.Restore(w.Configuration); err != nil {
		return err
	}
	if err := claims.Restore(w.Claims); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configurations, m.claims, m.retired = configurations, claims, w.Retired
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

func (m *Machine) isRetired(identity string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Contains(m.retired, identity)
}

// size is what debug state and metrics report about the machine.
type size struct {
	Revision   uint64       `json:"revision"`
	Classes    int          `json:"classes"`
	Stops      int          `json:"stops"`
	Claims     int          `json:"claims"`
	ClaimBytes int          `json:"claim_bytes"`
	Time       clock.Millis `json:"time_of_day_ms"`
	Retired    int          `json:"retired_identities"`
}

func (m *Machine) size() size {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c := m.configurations.Current()
	return size{
		Revision: c.Revision(), Classes: len(c.Classes()), Stops: len(c.Stops()),
		Claims: m.claims.Len(), ClaimBytes: m.claims.Bytes(), Time: m.claims.Now(), Retired: len(m.retired),
	}
}
