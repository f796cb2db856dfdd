package backend

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/endpoint"
)

// State says whether a server accepts new work.
type State string

// Possible states of a server.
const (
	Serving State = "serving"
	Leaving State = "leaving"
)

// Kind is the kind of a backend server.
type Kind string

// Possible kinds of a backend server.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Role is the part of the generation of an answer that an engine performs. A prefill
// engine only computes prompts.
type Role string

// Possible roles of an engine.
const (
	Generate Role = "generate"
	Prefill  Role = "prefill"
)

// Limits of an announcement. They bound how much a malformed message can make an
// entry store.
const (
	maxNameLength  = 128
	maxPools       = 64
	maxCacheEvents = 4096
	maxSlots       = 1 << 16
	maxCount       = 1 << 40
	maxAge         = 24 * clock.Hour
)

// Load is a load report of a server. Age is the time between its measurement and its
// sending. Running and Waiting count requests. KVUsed is the occupied part of the KV
// cache, in tokens.
type Load struct {
	Age             clock.Millis
	Running         int
	Waiting         int
	KVUsed          int
	TokensPerSecond float64
}

// CacheEventKind says what happened to a prefix in an engine's cache.
type CacheEventKind string

// Possible kinds of cache events. CacheCleared means that the whole cache was emptied.
const (
	PrefixStored  CacheEventKind = "stored"
	PrefixEvicted CacheEventKind = "evicted"
	CacheCleared  CacheEventKind = "cleared"
)

// CacheEvent reports a change in an engine's prefix cache. Sequence numbers are
// consecutive within one incarnation of the engine. Hash identifies the prefix.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheEventKind
	Hash     uint64
}

// stableFields is the part of an announcement that rarely changes: it stays the same in
// successive heartbeats unless the server is restarted or reconfigured, for example when
// an engine loads a model. A value is shared between announcements and never modified.
type stableFields struct {
	server           string
	incarnation      uint64
	kind             Kind
	role             Role
	address          string
	availabilityZone string
	version          string // of the server's software; names that differ have no order
	models           []string
	services         []string
	slots            int
	kvTotal          int
	checksFencing    bool
	checksum         uint32   // derived from the fields above
	pools            []string // derived from role, models and services
}

// Announcement is the heartbeat in which a server describes itself. It is immutable.
type Announcement struct {
	stableFields *stableFields
	sequence     uint64
	state        State
	challenge    string
	load         Load
	events       []CacheEvent
}

// NewAnnouncement returns the announcement of a serving engine with one slot and
// no models.
func NewAnnouncement(server string, incarnation, sequence uint64, address string) Announcement {
	s := stableFields{server: server, incarnation: incarnation, address: address, kind: Engine, role: Generate, slots: 1}
	return Announcement{stableFields: s.withDerivedFields(), sequence: sequence, state: Serving}
}

// withDerivedFields returns a copy with the checksum and the pools computed. An engine
// in the prefill role is in no pool, because it does not answer requests.
func (s stableFields) withDerivedFields() *stableFields {
	s.checksum, s.pools = s.computeChecksum(), nil
	if s.role == Prefill {
		return &s
	}
	s.pools = make([]string, 0, len(s.models)+len(s.services))
	for _, m := range s.models {
		s.pools = append(s.pools, ModelPool(m))
	}
	for _, v := range s.services {
		s.pools = append(s.pools, ServicePool(v))
	}
	return &s
}

func (s stableFields) computeChecksum() uint32 {
	encoded := encodeStableFields(s)
	return uint32(xxhash.Sum64(encoded))
}

// ModelPool returns the name of the pool of the engines that serve a model.
func ModelPool(model string) string { return "model:" + model }

// ServicePool returns the name of the pool of the servers of a plain HTTP service.
func ServicePool(service string) string { return "service:" + service }

// Server returns the server's name.
func (a Announcement) Server() string { return a.stableFields.server }

// Incarnation returns the number that identifies one run of the server process. It
// grows with each restart.
func (a Announcement) Incarnation() uint64 { return a.stableFields.incarnation }

// Sequence returns the number of the announcement within its incarnation.
func (a Announcement) Sequence() uint64 { return a.sequence }

// State returns whether the server accepts new work.
func (a Announcement) State() State { return a.state }

// Kind returns the kind of the server.
func (a Announcement) Kind() Kind { return a.stableFields.kind }

// Role returns the part of the generation that the engine performs.
func (a Announcement) Role() Role { return a.stableFields.role }

// Address returns the server's IP address and port.
func (a Announcement) Address() string { return a.stableFields.address }

// AvailabilityZone returns the server's availability zone.
func (a Announcement) AvailabilityZone() string { return a.stableFields.availabilityZone }

// Version returns the version of the server's software; "" if the server does not say.
func (a Announcement) Version() string { return a.stableFields.version }

// Models returns the loaded models. The caller must not modify the slice.
func (a Announcement) Models() []string { return a.stableFields.models }

// Services returns the services that the server offers. The caller must not modify
// the slice.
func (a Announcement) Services() []string { return a.stableFields.services }

// Pools returns the pools that the server belongs to. The caller must not modify
// the slice.
func (a Announcement) Pools() []string { return a.stableFields.pools }

// Slots returns the number of requests that the server can run at the same time.
func (a Announcement) Slots() int { return a.stableFields.slots }

// KVTotal returns the size of the KV cache in tokens.
func (a Announcement) KVTotal() int { return a.stableFields.kvTotal }

// ChecksFencing reports whether the server refuses orders with an old fencing token.
func (a Announcement) ChecksFencing() bool { return a.stableFields.checksFencing }

// Challenge returns the entry's challenge that the announcement echoes.
func (a Announcement) Challenge() string { return a.challenge }

// Load returns the server's load report.
func (a Announcement) Load() Load { return a.load }

// CacheEvents returns the reported cache events. The caller must not modify the
// slice.
func (a Announcement) CacheEvents() []CacheEvent { return a.events }

// WithSequence returns a copy with another sequence number.
func (a Announcement) WithSequence(sequence uint64) Announcement {
	a.sequence = sequence
	return a
}

// WithState returns a copy with another state.
func (a Announcement) WithState(state State) Announcement {
	a.state = state
	return a
}

// WithChallenge returns a copy that echoes challenge.
func (a Announcement) WithChallenge(challenge string) Announcement {
	a.challenge = challenge
	return a
}

// WithLoad returns a copy with another load report.
func (a Announcement) WithLoad(load Load) Announcement {
	a.load = load
	return a
}

// WithCacheEvents returns a copy with other cache events.
func (a Announcement) WithCacheEvents(events []CacheEvent) Announcement {
	a.events = slices.Clone(events)
	return a
}

// WithModels returns a copy that serves models.
func (a Announcement) WithModels(models ...string) Announcement {
	return a.withStableFields(func(s *stableFields) { s.models = slices.Clone(models) })
}

// WithServices returns a copy that offers services and is of kind Service.
func (a Announcement) WithServices(services ...string) Announcement {
	return a.withStableFields(func(s *stableFields) {
		s.kind = Service
		s.services = slices.Clone(services)
	})
}

// WithRole returns a copy with another role.
func (a Announcement) WithRole(role Role) Announcement {
	return a.withStableFields(func(s *stableFields) { s.role = role })
}

// WithSlots returns a copy with another number of slots.
func (a Announcement) WithSlots(slots int) Announcement {
	return a.withStableFields(func(s *stableFields) { s.slots = slots })
}

// WithKVTotal returns a copy with another size of the KV cache.
func (a Announcement) WithKVTotal(total int) Announcement {
	return a.withStableFields(func(s *stableFields) { s.kvTotal = total })
}

// WithVersion returns a copy with another version of the server's software.
func (a Announcement) WithVersion(version string) Announcement {
	return a.withStableFields(func(s *stableFields) { s.version = version })
}

// WithAvailabilityZone returns a copy in another availability zone.
func (a Announcement) WithAvailabilityZone(zone string) Announcement {
	return a.withStableFields(func(s *stableFields) { s.availabilityZone = zone })
}

// WithChecksFencing returns a copy that does or does not check fencing tokens.
func (a Announcement) WithChecksFencing(checks bool) Announcement {
	return a.withStableFields(func(s *stableFields) { s.checksFencing = checks })
}

func (a Announcement) withStableFields(change func(*stableFields)) Announcement {
	s := *a.stableFields
	change(&s)
	a.stableFields = s.withDerivedFields()
	return a
}

// newerThan reports whether a was created after other. Sequence numbers are comparable
// only within one incarnation of the server.
func (a Announcement) newerThan(other Announcement) bool {
	if a.Incarnation() != other.Incarnation() {
		return a.Incarnation() > other.Incarnation()
	}
	return a.sequence > other.sequence
}

func (a Announcement) validate() error {
	if err := a.stableFields.validate(); err != nil {
		return err
	}
	l := a.load
	switch {
	case a.state != Serving && a.state != Leaving:
		return errors.Errorf("invalid state %q: want %q or %q", a.state, Serving, Leaving)
	case l.Age < 0 || l.Age > maxAge:
		return errors.Errorf("invalid load age_ms %d: want 0 to %d", l.Age, maxAge)
	case !validCount(l.Running) || !validCount(l.Waiting) || !validCount(l.KVUsed):
		return errors.Errorf("invalid load %+v: want counts of 0 or more", l)
	case !(l.TokensPerSecond >= 0 && l.TokensPerSecond <= maxCount):
		return errors.Errorf("invalid tokens_per_second %v", l.TokensPerSecond)
	case len(a.events) > maxCacheEvents:
		return errors.Errorf("%d cache events: want at most %d", len(a.events), maxCacheEvents)
	}
	return validateEvents(a.events)
}

func (s *stableFields) validate() error {
	switch {
	case !endpoint.ValidName(s.server):
		return errors.Errorf("invalid server %q", s.server)
	case s.kind != Engine && s.kind != Service:
		return errors.Errorf("invalid kind %q: want %q or %q", s.kind, Engine, Service)
	case s.role != Generate && s.role != Prefill:
		return errors.Errorf("invalid role %q: want %q or %q", s.role, Generate, Prefill)
	case len(s.version) > maxNameLength:
		return errors.Errorf("invalid version %.60q", s.version)
	case len(s.availabilityZone) > maxNameLength:
		return errors.Errorf("invalid availability_zone %q", s.availabilityZone)
	case s.slots < 1 || s.slots > maxSlots:
		return errors.Errorf("invalid slots %d: want 1 to %d", s.slots, maxSlots)
	case !validCount(s.kvTotal):
		return errors.Errorf("invalid kv_total %d", s.kvTotal)
	case len(s.models)+len(s.services) > maxPools:
		return errors.Errorf("%d models and services: want at most %d", len(s.models)+len(s.services), maxPools)
	}
	for _, n := range append(slices.Clone(s.models), s.services...) {
		if !validName(n) {
			return errors.Errorf("invalid model or service %q", n)
		}
	}
	return endpoint.Validate(s.address)
}

func validateEvents(events []CacheEvent) error {
	for _, e := range events {
		if e.Kind != PrefixStored && e.Kind != PrefixEvicted && e.Kind != CacheCleared {
			return errors.Errorf("invalid cache event kind %q", e.Kind)
		}
	}
	return nil
}

func validName(s string) bool { return s != "" && len(s) <= maxNameLength }

func validCount(n int) bool { return n >= 0 && n <= maxCount }
