package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"

	"github.com/galenaslip/galenaslip/clock"
)

// maxPartIDLength is the longest ID of a part that is kept as it is, in bytes. Callers choose
// the IDs, so longer ones are kept as a hash that cannot be forged.
const maxPartIDLength = 80

// Key identifies a part of prompts to the servers of a service.
type Key struct {
	Service string
	Part    string
}

// NewKey returns the key of a part.
func NewKey(service, part string) Key {
	if len(part) > maxPartIDLength {
		sum := sha256.Sum256([]byte(part))
		part = "sha256-" + hex.EncodeToString(sum[:])
	}
	return Key{Service: service, Part: part}
}

// compare orders keys.
func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Part, other.Part))
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

// End records that a server ended just after it had begun to answer a request with the part.
type End struct {
	Key
	ServerRun
	Depth    int          // position of the part in the prompt, from 0
	Repeated bool         // the request had lost another server that ended, and was sent here after that
	Trial    bool         // the request was sent as a trial
	Age      clock.Millis // time since the end
}

// EndedServer records that a server ended while requests ran on it, whatever they were.
type EndedServer struct {
	Service string
	ServerRun
	Age clock.Millis // time since the end
}

// Survivals records how many requests with the part an entry has seen that did not end their
// servers. The count does not go beyond maxSurvivals.
type Survivals struct {
	Key
	Entry string
	Count int
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
