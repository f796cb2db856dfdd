package backend

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

type wireAnnouncement struct {
	wireStableFields
	Sequence    uint64           `json:"sequence"`
	State       State            `json:"state"`
	Challenge   string           `json:"challenge,omitempty"`
	Load        wireLoad         `json:"load"`
	CacheEvents []wireCacheEvent `json:"cache_events,omitempty"`
}

type wireStableFields struct {
	Server           string   `json:"server"`
	Incarnation      uint64   `json:"incarnation"`
	Kind             Kind     `json:"kind"`
	Role             Role     `json:"role,omitempty"`
	Address          string   `json:"address"`
	AvailabilityZone string   `json:"availability_zone,omitempty"`
	Version          string   `json:"version,omitempty"`
	Models           []string `json:"models,omitempty"`
	Services         []string `json:"services,omitempty"`
	Slots            int      `json:"slots"`
	ChecksFencing    bool     `json:"checks_fencing,omitempty"`
}

type wireLoad struct {
	AgeMS           int64   `json:"age_ms"`
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	KVUsed          int     `json:"kv_used"`
	KVTotal         int     `json:"kv_total"`
	TokensPerSecond float64 `json:"tokens_per_second"`
}

type wireCacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Hash     string         `json:"hash,omitempty"`
}

// EncodeAnnouncement returns the JSON form of an announcement.
func EncodeAnnouncement(a Announcement) ([]byte, error) {
	w := toWireAnnouncement(a)
	data, err := json.Marshal(w)
	return data, errors.Wrap(err, "encode announcement")
}

// DecodeAnnouncement parses and validates an announcement.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var w wireAnnouncement
	if err := json.Unmarshal(data, &w); err != nil {
		return Announcement{}, errors.Wrap(err, "decode announcement")
	}
	a, err := fromWireAnnouncement(w)
	return a, errors.Wrap(err, "decode announcement")
}

func toWireAnnouncement(a Announcement) wireAnnouncement {
	return wireAnnouncement{
		wireStableFields: toWireStableFields(*a.stableFields), Sequence: a.sequence, State: a.state, Challenge: a.challenge,
		Load:        toWireLoad(a.load, a.stableFields.kvTotal),
		CacheEvents: toWireEvents(a.events),
	}
}

func fromWireAnnouncement(w wireAnnouncement) (Announcement, error) {
	events, err := fromWireEvents(w.CacheEvents)
	if err != nil {
		return Announcement{}, err
	}
	a := Announcement{
		stableFields: fromWireStableFields(w.wireStableFields, w.Load.KVTotal),
		sequence:     w.Sequence, state: w.State, challenge: w.Challenge,
		load: fromWireLoad(w.Load), events: events,
	}
	return a, a.validate()
}

func toWireStableFields(s stableFields) wireStableFields {
	return wireStableFields{
		Server: s.server, Incarnation: s.incarnation, Kind: s.kind, Role: s.role,
		Address: s.address, AvailabilityZone: s.availabilityZone, Version: s.version, Models: s.models,
		Services: s.services, Slots: s.slots, ChecksFencing: s.checksFencing,
	}
}

// fromWireStableFields treats an absent role as generate, because engines without support
// for roles generate.
func fromWireStableFields(w wireStableFields, kvTotal int) *stableFields {
	if w.Role == "" {
		w.Role = Generate
	}
	return stableFields{
		server: w.Server, incarnation: w.Incarnation, kind: w.Kind, role: w.Role,
		address: w.Address, availabilityZone: w.AvailabilityZone, version: w.Version, models: w.Models,
		services: w.Services, slots: w.Slots, checksFencing: w.ChecksFencing, kvTotal: kvTotal,
	}.withDerivedFields()
}

// encodeStableFields returns the bytes from which the checksum of the stable fields is
// computed.
func encodeStableFields(s stableFields) []byte {
	data, err := json.Marshal(toWireStableFields(s))
	if err != nil {
		panic(errors.Wrap(err, "encode stable fields"))
	}
	return strconv.AppendInt(data, int64(s.kvTotal), 10)
}

func toWireLoad(l Load, kvTotal int) wireLoad {
	return wireLoad{
		AgeMS: int64(l.Age), Running: l.Running, Waiting: l.Waiting,
		KVUsed: l.KVUsed, KVTotal: kvTotal, TokensPerSecond: l.TokensPerSecond,
	}
}

func fromWireLoad(w wireLoad) Load {
	return Load{
		Age: clock.Millis(w.AgeMS), Running: w.Running, Waiting: w.Waiting,
		KVUsed: w.KVUsed, TokensPerSecond: w.TokensPerSecond,
	}
}

func toWireEvents(events []CacheEvent) []wireCacheEvent {
	wire := make([]wireCacheEvent, 0, len(events))
	for _, e := range events {
		wire = append(wire, wireCacheEvent{Sequence: e.Sequence, Kind: e.Kind, Hash: strconv.FormatUint(e.Hash, 16)})
	}
	return wire
}

func fromWireEvents(wire []wireCacheEvent) ([]CacheEvent, error) {
	var events []CacheEvent
	for _, w := range wire {
		e := CacheEvent{Sequence: w.Sequence, Kind: w.Kind}
		var err error
		if w.Kind != CacheCleared {
			e.Hash, err = strconv.ParseUint(w.Hash, 16, 64)
		}
		if err != nil {
			return nil, errors.Wrapf(err, "invalid hash %q", w.Hash)
		}
		events = append(events, e)
	}
	return events, nil
}

// AnnouncementResponse is an entry's response to an announcement.
type AnnouncementResponse struct {
	Accepted  bool
	Challenge string       // to be echoed in the next announcement
	Interval  clock.Millis // time until the next announcement
	Reason    string
}

type wireAnnouncementResponse struct {
	Accepted   bool   `json:"accepted"`
	Challenge  string `json:"challenge"`
	IntervalMS int64  `json:"interval_ms"`
	Reason     string `json:"reason"`
}

// EncodeAnnouncementResponse returns the JSON form of a response.
func EncodeAnnouncementResponse(a AnnouncementResponse) ([]byte, error) {
	data, err := json.Marshal(wireAnnouncementResponse{
		Accepted: a.Accepted, Challenge: a.Challenge, IntervalMS: int64(a.Interval), Reason: a.Reason,
	})
	return data, errors.Wrap(err, "encode answer")
}

// DecodeAnnouncementResponse parses and validates a response.
func DecodeAnnouncementResponse(data []byte) (AnnouncementResponse, error) {
	var w wireAnnouncementResponse
	if err := json.Unmarshal(data, &w); err != nil {
		return AnnouncementResponse{}, errors.Wrap(err, "decode announcement response")
	}
	if w.IntervalMS < 0 || clock.Millis(w.IntervalMS) > maxAge {
		return AnnouncementResponse{}, errors.Errorf("decode announcement response: invalid interval_ms %d", w.IntervalMS)
	}
	return AnnouncementResponse{
		Accepted: w.Accepted, Challenge: w.Challenge, Interval: clock.Millis(w.IntervalMS), Reason: w.Reason,
	}, nil
}
