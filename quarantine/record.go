package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// maxPartIDLength is the longest ID of a part that is kept as it is, in bytes. Callers choose
// the IDs, so longer ones are kept as a hash that cannot be forged.
const maxPartIDLength = 80

// Kind tells what a Key identifies.
type Kind uint8

// The kinds, from the least specific one.
const (
	// KindPart is a part of prompts, which different requests share.
	KindPart Kind = iota
	// KindRequest is a whole request: its path, caller and body.
	KindRequest
)

// requestPrefix begins the text form of the key of a request.
const requestPrefix = "request:"

// Key identifies a part of prompts, or a request, to the servers of a service.
type Key struct {
	Service string
	Kind    Kind
	ID      string // of the part, or the digest of the request
}

// NewKey returns the key of a part.
func NewKey(service, part string) Key {
	if len(part) > maxPartIDLength {
		sum := sha256.Sum256([]byte(part))
		part = "sha256-" + hex.EncodeToString(sum[:])
	}
	return Key{Service: service, ID: part}
}

// NewRequestKey returns the key of a request with the given digest; see Digest.
func NewRequestKey(service, digest string) Key {
	key := NewKey(service, digest)
	key.Kind = KindRequest
	return key
}

// ParseKey returns the key that has a text form.
func ParseKey(service, text string) Key {
	if digest, ok := strings.CutPrefix(text, requestPrefix); ok {
		return NewRequestKey(service, digest)
	}
	return NewKey(service, text)
}

// Text returns the form of the key, without the service, that logs and commands use.
func (k Key) Text() string {
	if k.Kind == KindRequest {
		return requestPrefix + k.ID
	}
	return k.ID
}

// clone returns a key that keeps no other memory than its own: the ID may be a part of a header line.
func (k Key) clone() Key {
	k.ID = strings.Clone(k.ID)
	return k
}

// compare orders keys.
func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.ID, other.ID))
}

// ServerRun identifies a server from its start to its end.
type ServerRun struct {
	Server    string
	StartedAt int64 // as in the server's announcement
}

// compare orders runs of servers.
func (r ServerRun) compare(other ServerRun) int {
	return cmp.Or(cmp.Compare(r.Server, other.Server), cmp.Compare(r.StartedAt, other.StartedAt))
}

// End records that a server ended while a request with the part ran on it or waited there.
type End struct {
	Key
	ServerRun
	Depth    int          // position of the part in the prompt, from 0
	Begun    bool         // the server had just begun to answer the request
	Repeated bool         // the request had lost another server that ended, and was sent here after that
	Trial    bool         // the request was sent as a trial
	Request  string       // short digest of one of the requests with the part
	Several  bool         // several different requests with the part were there
	Version  string       // of the server's software; "" if it is not known
	AtServer clock.Millis // how long the request had been at the server
	Age      clock.Millis // time since the end
}

// EndedServer records that a server ended while requests ran on it, whatever they were.
type EndedServer struct {
	Service string
	ServerRun
	Age clock.Millis // time since the end
}

// Survivals records how many requests with the part an entry has seen that did not end their
// servers, of one software version. The count does not go beyond maxSurvivals.
type Survivals struct {
	Key
	Entry   string
	Version string // "" if it is not known
	Count   int
}

// Trial records the newest request with the part that was sent to find out whether the part ends
// servers.
type Trial struct {
	Key
	Number int          // number of trials
	Age    clock.Millis // time since it was sent
}

// Probe records the newest request with the part that was let through as a probe.
type Probe struct {
	Key
	Number int          // number of probes
	Age    clock.Millis // time since it was let through
}

// Release records that the part was found sound or that an operator has ended its quarantine:
// ends before the release no longer count.
type Release struct {
	Key
	Number int          // number of releases
	Age    clock.Millis // time since the newest one
}

// Report is what one process tells another. Ages stand in place of times, because the clocks
// of processes differ.
type Report struct {
	Ends      []End
	Servers   []EndedServer
	Survivals []Survivals
	Trials    []Trial
	Probes    []Probe
	Releases  []Release
}

// IsEmpty reports whether the report has no records.
func (r Report) IsEmpty() bool {
	return len(r.Ends) == 0 && len(r.Servers) == 0 && len(r.Survivals) == 0 && len(r.Trials) == 0 && len(r.Probes) == 0 && len(r.Releases) == 0
}

// Split returns the records of parts, with those of servers, and the records of requests.
func (r Report) Split() (parts, requests Report) {
	isRequest := func(k Key) bool { return k.Kind == KindRequest }
	requests.Ends, parts.Ends = lo.FilterReject(r.Ends, func(e End, _ int) bool { return isRequest(e.Key) })
	requests.Survivals, parts.Survivals = lo.FilterReject(r.Survivals, func(v Survivals, _ int) bool { return isRequest(v.Key) })
	requests.Trials, parts.Trials = lo.FilterReject(r.Trials, func(t Trial, _ int) bool { return isRequest(t.Key) })
	requests.Probes, parts.Probes = lo.FilterReject(r.Probes, func(p Probe, _ int) bool { return isRequest(p.Key) })
	requests.Releases, parts.Releases = lo.FilterReject(r.Releases, func(l Release, _ int) bool { return isRequest(l.Key) })
	parts.Servers = r.Servers
	return parts, requests
}

// With returns a report with the records of another one too.
func (r Report) With(other Report) Report {
	r.Ends = slices.Concat(r.Ends, other.Ends)
	r.Servers = slices.Concat(r.Servers, other.Servers)
	r.Survivals = slices.Concat(r.Survivals, other.Survivals)
	r.Trials = slices.Concat(r.Trials, other.Trials)
	r.Probes = slices.Concat(r.Probes, other.Probes)
	r.Releases = slices.Concat(r.Releases, other.Releases)
	return r
}
