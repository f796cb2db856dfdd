package backend

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// DigestRequest is an entry's request for a peer's digest. Sending it is called a pull.
type DigestRequest struct {
	Entry     string
	Since     Version
	LoadSince LoadVersion
	// QuarantineKnown is the position up to which the sender knows the receiver's records of
	// requests that end servers. It is nil if the sender wants none, as in former builds.
	QuarantineKnown *gossip.Position
	// LimitsKnown is the same for the limits of servers.
	LimitsKnown *gossip.Position
}

type wireDigestRequest struct {
	Entry           string               `json:"entry"`
	Since           map[string]uint64    `json:"since"`
	LoadSince       wireLoadVersion      `json:"load_since"`
	QuarantineKnown *gossip.WirePosition `json:"quarantine_known,omitempty"`
	LimitsKnown     *gossip.WirePosition `json:"limits_known,omitempty"`
}

type wireLoadVersion struct {
	Origin  string `json:"origin"`
	Counter uint64 `json:"counter"`
}

// EncodeDigestRequest returns the JSON form of a request.
func EncodeDigestRequest(p DigestRequest) ([]byte, error) {
	data, err := json.Marshal(wireDigestRequest{
		Entry: p.Entry, Since: p.Since.counters, LoadSince: wireLoadVersion(p.LoadSince),
		QuarantineKnown: (*gossip.WirePosition)(p.QuarantineKnown), LimitsKnown: (*gossip.WirePosition)(p.LimitsKnown),
	})
	return data, errors.Wrap(err, "encode digest request")
}

// DecodeDigestRequest parses and validates a request.
func DecodeDigestRequest(data []byte) (DigestRequest, error) {
	var w wireDigestRequest
	if err := json.Unmarshal(data, &w); err != nil {
		return DigestRequest{}, errors.Wrap(err, "decode pull")
	}
	if !validName(w.Entry) {
		return DigestRequest{}, errors.Errorf("decode pull: invalid entry %q", w.Entry)
	}
	return DigestRequest{
		Entry: w.Entry, Since: Version{counters: w.Since}, LoadSince: LoadVersion(w.LoadSince),
		QuarantineKnown: (*gossip.Position)(w.QuarantineKnown), LimitsKnown: (*gossip.Position)(w.LimitsKnown),
	}, nil
}

type wireDigest struct {
	Entry      string                   `json:"entry"`
	Version    map[string]uint64        `json:"version"`
	Full       []wireRecord             `json:"full,omitempty"`
	Refresh    map[string][]wireRefresh `json:"refresh,omitempty"`
	Waiting    []wireDemand             `json:"waiting,omitempty"`
	Load       wireLoadDelta            `json:"load"`
	InFlight   map[string]int           `json:"in_flight,omitempty"`
	Quarantine json.RawMessage          `json:"quarantine,omitempty"` // a wireQuarantine
	Limits     json.RawMessage          `json:"limits,omitempty"`     // a wireLimits
}

// wireQuarantine has the news about requests that end servers and the position that they lead to.
type wireQuarantine struct {
	Position gossip.WirePosition    `json:"position"`
	Report   *quarantine.WireReport `json:"report,omitempty"`
}

// wireLimits has the news about the limits of servers and the position that they lead to.
type wireLimits struct {
	Position gossip.WirePosition      `json:"position"`
	Report   []ratelimit.WireReported `json:"report,omitempty"`
}

// wireLoadDelta is the change of the sender's load from one version to another.
// Started streams are grouped by server; each is an array of the counter of its start,
// its ID and its position. Ended streams are identified by the counter of their start.
type wireLoadDelta struct {
	Origin  string                  `json:"origin"`
	From    uint64                  `json:"from"`
	To      uint64                  `json:"to"`
	Started map[string][]wireStream `json:"started,omitempty"`
	Ended   []uint64                `json:"ended,omitempty"`
}

type wireStream struct {
	counter  uint64
	id       string
	position int
}

// MarshalJSON implements json.Marshaler.
func (w wireStream) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{w.counter, w.id, w.position})
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *wireStream) UnmarshalJSON(data []byte) error {
	return unmarshalFields(data, 3, &w.counter, &w.id, &w.position)
}

// unmarshalFields decodes a JSON array into fields. The array must have at least the
// number of elements given by required.
func unmarshalFields(data []byte, required int, fields ...any) error {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	if len(raw) < required || len(raw) > len(fields) {
		return errors.Errorf("array has %d fields: want %d to %d", len(raw), required, len(fields))
	}
	for i, r := range raw {
		if err := json.Unmarshal(r, fields[i]); err != nil {
			return errors.Wrapf(err, "field %d", i)
		}
	}
	return nil
}

type wireRecord struct {
	Origin       string           `json:"origin"`
	Counter      uint64           `json:"counter"`
	AgeMS        int64            `json:"age_ms"`
	Announcement wireAnnouncement `json:"announcement"`
}

type wireDemand struct {
	Pool     string `json:"pool"`
	Tier     int    `json:"tier"`
	Waiting  int    `json:"waiting"`
	OldestMS int64  `json:"oldest_ms"`
}

// wireRefresh is the JSON form of a digest record that omits the stable fields because the
// receiver has them. It is an array, because field names would triple its size: server, counter, checksum,
// sequence, age in ms, load age in ms, running, waiting, KV used, tokens per second,
// and a list of cache events if there are any.
type wireRefresh struct {
	server   string
	counter  uint64
	checksum uint32
	sequence uint64
	ageMS    int64
	load     wireLoad
	events   []wireCacheEvent
}

// MarshalJSON implements json.Marshaler.
func (w wireRefresh) MarshalJSON() ([]byte, error) {
	fields := []any{
		w.server, w.counter, w.checksum, w.sequence, w.ageMS,
		w.load.AgeMS, w.load.Running, w.load.Waiting, w.load.KVUsed, w.load.TokensPerSecond,
	}
	if len(w.events) > 0 {
		fields = append(fields, w.events)
	}
	return json.Marshal(fields)
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *wireRefresh) UnmarshalJSON(data []byte) error {
	return unmarshalFields(
		data, 10,
		&w.server, &w.counter, &w.checksum, &w.sequence, &w.ageMS,
		&w.load.AgeMS, &w.load.Running, &w.load.Waiting, &w.load.KVUsed, &w.load.TokensPerSecond,
		&w.events,
	)
}

// EncodeDigest returns the JSON form of a digest.
func EncodeDigest(d Digest) ([]byte, error) {
	w := wireDigest{Entry: d.entry, Version: d.version.counters, InFlight: d.inFlight, Refresh: map[string][]wireRefresh{}}
	for _, e := range d.records {
		if e.stableFields == nil {
			w.Refresh[e.acceptanceID.origin] = append(w.Refresh[e.acceptanceID.origin], toWireRefresh(e))
			continue
		}
		w.Full = append(w.Full, toWireRecord(e))
	}
	for _, q := range d.waiting {
		w.Waiting = append(w.Waiting, wireDemand{Pool: q.Pool, Tier: q.Tier, Waiting: q.Waiting, OldestMS: int64(q.Oldest)})
	}
	w.Load = toWireLoadDelta(d.load)
	if d.quarantinePosition.Instance != 0 {
		var err error
		w.Quarantine, err = json.Marshal(wireQuarantine{Position: gossip.WirePosition(d.quarantinePosition), Report: quarantine.ToWire(d.quarantine)})
		if err != nil {
			return nil, errors.Wrap(err, "encode digest")
		}
	}
	if d.limitsPosition.Instance != 0 {
		var err error
		w.Limits, err = json.Marshal(wireLimits{Position: gossip.WirePosition(d.limitsPosition), Report: ratelimit.ToWire(d.limits)})
		if err != nil {
			return nil, errors.Wrap(err, "encode digest")
		}
	}
	data, err := json.Marshal(w)
	return data, errors.Wrap(err, "encode digest")
}

func toWireRefresh(e digestRecord) wireRefresh {
	return wireRefresh{
		server: e.server, counter: e.acceptanceID.counter, checksum: e.checksum, sequence: e.sequence,
		ageMS: int64(e.age), load: toWireLoad(e.load, 0), events: toWireEvents(e.events),
	}
}

func toWireRecord(e digestRecord) wireRecord {
	a := Announcement{stableFields: e.stableFields, sequence: e.sequence, state: e.state, load: e.load, events: e.events}
	return wireRecord{Origin: e.acceptanceID.origin, Counter: e.acceptanceID.counter, AgeMS: int64(e.age), Announcement: toWireAnnouncement(a)}
}

func toWireLoadDelta(l loadDelta) wireLoadDelta {
	w := wireLoadDelta{Origin: l.origin, From: l.from, To: l.to, Ended: l.ended, Started: map[string][]wireStream{}}
	for _, s := range l.started {
		server := s.stream.Server
		w.Started[server] = append(w.Started[server], wireStream{counter: s.counter, id: s.stream.ID, position: s.stream.Position})
	}
	return w
}

// DecodeDigest parses and validates a digest.
func DecodeDigest(data []byte) (Digest, error) {
	w, refused, err := decodeWireDigest(data)
	if err != nil {
		return Digest{}, errors.Wrap(err, "decode digest")
	}
	d := Digest{entry: w.Entry, version: Version{counters: w.Version}, inFlight: w.InFlight, refused: refused}
	if !validName(w.Entry) {
		return Digest{}, errors.Errorf("decode digest: invalid entry %q", w.Entry)
	}
	d.addRecords(w)
	d.addQuarantine(w.Quarantine)
	d.addLimits(w.Limits)
	return d, errors.Wrap(d.addLoad(w), "decode digest")
}

// rawDigest is a wireDigest whose records are not decoded yet.
type rawDigest struct {
	wireDigest
	Full    []json.RawMessage            `json:"full"`
	Refresh map[string][]json.RawMessage `json:"refresh"`
}

// decodeWireDigest decodes a digest without the records that cannot be decoded. It decodes
// records one by one only if the digest cannot be decoded at once, which is faster.
func decodeWireDigest(data []byte) (wireDigest, refusedRecords, error) {
	var w wireDigest
	var refused refusedRecords
	if json.Unmarshal(data, &w) == nil {
		return w, refused, nil
	}
	var raw rawDigest
	if err := json.Unmarshal(data, &raw); err != nil {
		return wireDigest{}, refused, err
	}
	w = raw.wireDigest
	w.Full, w.Refresh = decodeElements[wireRecord](raw.Full, &refused), map[string][]wireRefresh{}
	for origin, elements := range raw.Refresh {
		w.Refresh[origin] = decodeElements[wireRefresh](elements, &refused)
	}
	return w, refused, nil
}

// decodeElements returns the elements of a list that can be decoded.
func decodeElements[T any](elements []json.RawMessage, refused *refusedRecords) []T {
	decoded := make([]T, 0, len(elements))
	for _, e := range elements {
		var element T
		if err := json.Unmarshal(e, &element); err != nil {
			refused.add(err)
			continue
		}
		decoded = append(decoded, element)
	}
	return decoded
}

// addRecords adds the records that describe a usable server.
func (d *Digest) addRecords(w wireDigest) {
	for _, f := range w.Full {
		d.addRecord(fromWireRecord(f))
	}
	for _, origin := range sortedKeys(w.Refresh) {
		for _, f := range w.Refresh[origin] {
			d.addRecord(fromWireRefresh(origin, f))
		}
	}
}

// addQuarantine adds the news about requests that end servers. If they cannot be decoded, they are
// left out as records are.
func (d *Digest) addQuarantine(data json.RawMessage) {
	if len(data) == 0 {
		return
	}
	var w wireQuarantine
	if err := json.Unmarshal(data, &w); err != nil {
		d.refused.add(err)
		return
	}
	d.quarantine, d.quarantinePosition = w.Report.Report(), gossip.Position(w.Position)
}

// addLimits adds the news about the limits of servers, in the same way.
func (d *Digest) addLimits(data json.RawMessage) {
	if len(data) == 0 {
		return
	}
	var w wireLimits
	if err := json.Unmarshal(data, &w); err != nil {
		d.refused.add(err)
		return
	}
	d.limits, d.limitsPosition = ratelimit.FromWire(w.Report), gossip.Position(w.Position)
}

func (d *Digest) addRecord(r digestRecord, err error) {
	if err != nil {
		d.refused.add(err)
		return
	}
	d.records = append(d.records, r)
}

func fromWireRecord(w wireRecord) (digestRecord, error) {
	a, err := fromWireAnnouncement(w.Announcement)
	if err != nil {
		return digestRecord{}, err
	}
	if w.AgeMS < 0 || clock.Millis(w.AgeMS) > maxAge {
		return digestRecord{}, errors.Errorf("invalid age_ms %d of server %q", w.AgeMS, a.Server())
	}
	return digestRecord{
		server: a.Server(), acceptanceID: acceptanceID{origin: w.Origin, counter: w.Counter},
		stableFields: a.stableFields, checksum: a.stableFields.checksum, sequence: a.sequence, state: a.state,
		age: clock.Millis(w.AgeMS), load: a.load, events: a.events,
	}, nil
}

func fromWireRefresh(origin string, w wireRefresh) (digestRecord, error) {
	events, err := fromWireEvents(w.events)
	if err != nil {
		return digestRecord{}, err
	}
	e := digestRecord{
		server: w.server, acceptanceID: acceptanceID{origin: origin, counter: w.counter}, checksum: w.checksum,
		sequence: w.sequence, state: Serving, age: clock.Millis(w.ageMS),
		load: fromWireLoad(w.load), events: events,
	}
	if e.age < 0 || e.age > maxAge {
		return digestRecord{}, errors.Errorf("invalid age %d of server %q", e.age, e.server)
	}
	placeholder := stableFields{server: e.server, kind: Engine, role: Generate, slots: 1, address: "127.0.0.1:1"}
	a := Announcement{stableFields: &placeholder, state: e.state, load: e.load, events: e.events}
	return e, a.validate()
}

func (d *Digest) addLoad(w wireDigest) error {
	for server, n := range w.InFlight {
		if !validName(server) || !validCount(n) {
			return errors.Errorf("invalid in_flight %d of server %q", n, server)
		}
	}
	for _, q := range w.Waiting {
		if !validCount(q.Waiting) || q.OldestMS < 0 {
			return errors.Errorf("invalid waiting %+v", q)
		}
		d.waiting = append(d.waiting, Demand{Pool: q.Pool, Tier: q.Tier, Waiting: q.Waiting, Oldest: clock.Millis(q.OldestMS)})
	}
	return d.addLoadDelta(w.Load)
}

func (d *Digest) addLoadDelta(w wireLoadDelta) error {
	if w.From > w.To {
		return errors.Errorf("invalid load from %d to %d", w.From, w.To)
	}
	d.load = loadDelta{origin: w.Origin, from: w.From, to: w.To, ended: w.Ended}
	for _, server := range sortedKeys(w.Started) {
		for _, s := range w.Started[server] {
			if !validName(server) || !validName(s.id) || !validCount(s.position) {
				return errors.Errorf("invalid stream %q of server %q", s.id, server)
			}
			stream := Stream{ID: s.id, Server: server, Position: s.position}
			d.load.started = append(d.load.started, startedStream{stream: stream, counter: s.counter})
		}
	}
	return nil
}
