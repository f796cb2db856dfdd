package control

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/roster"
)

// refusalLogInterval is the shortest time between two log lines about refused servers.
const refusalLogInterval = 10 * clock.Second

// RefusedServers tells which elements of a list of servers were left out when it was decoded,
// because they describe no usable server. Another writer may have announced them, to a member
// of a former build.
type RefusedServers struct {
	Count int
	Cause error // why the first of them was left out
}

// log writes the event for refused servers, if there are any.
func (r RefusedServers) log(now clock.Millis, limiter *event.Limiter) {
	if r.Count > 0 {
		limiter.Log(now, event.ServerRefused, zap.Int("servers", r.Count), zap.String("cause", fmt.Sprintf("%.300s", r.Cause.Error())))
	}
}

// wireServer is the JSON form of a roster.Record and of a roster.Announcement.
type wireServer struct {
	Server           string       `json:"server"`
	Service          string       `json:"service,omitempty"`
	Address          string       `json:"address,omitempty"`
	AvailabilityZone string       `json:"availability_zone,omitempty"`
	Version          string       `json:"version,omitempty"`
	Slots            int          `json:"slots,omitempty"`
	State            roster.State `json:"state"`
	WarmupLeft       clock.Millis `json:"cold_left_ms,omitempty"`
	StartedAt        int64        `json:"started_ms,omitempty"`
	Sequence         uint64       `json:"sequence,omitempty"`
	Reclaimable      bool         `json:"reclaimable,omitempty"`
	LeavesIn         clock.Millis `json:"leaves_ms,omitempty"`
	Silent           bool         `json:"silent,omitempty"`

	decodeError error // set if the element of a list could not be decoded
}

// wireServers is a list of servers. An element that cannot be decoded does not make the list
// invalid.
type wireServers []wireServer

// UnmarshalJSON implements json.Unmarshaler. It decodes the elements one by one only if the
// list cannot be decoded at once, which is faster.
func (w *wireServers) UnmarshalJSON(data []byte) error {
	type plainList []wireServer
	if json.Unmarshal(data, (*plainList)(w)) == nil {
		return nil
	}
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return err
	}
	*w = make(wireServers, len(elements))
	for i, e := range elements {
		server := &(*w)[i]
		server.decodeError = json.Unmarshal(e, server)
	}
	return nil
}

func toWireServer(r roster.Record) wireServer {
	a := r.Announcement
	return wireServer{
		Server: a.Server, Service: a.Service, Address: a.Address, AvailabilityZone: a.AvailabilityZone, Version: a.Version, Slots: a.Slots,
		State: a.State, WarmupLeft: a.WarmupLeft, StartedAt: a.StartedAt, Sequence: a.Sequence, Silent: r.Silent,
		Reclaimable: a.Reclaimable, LeavesIn: a.LeavesIn,
	}
}

// toRecord returns the record, or an error if it describes no usable server.
func (w wireServer) toRecord() (roster.Record, error) {
	if w.decodeError != nil {
		return roster.Record{}, errors.Wrap(w.decodeError, "decoding a server")
	}
	r := roster.Record{Silent: w.Silent, Announcement: roster.Announcement{
		Server: w.Server, Service: w.Service, Address: w.Address, AvailabilityZone: w.AvailabilityZone, Version: w.Version, Slots: w.Slots,
		State: w.State, WarmupLeft: w.WarmupLeft, StartedAt: w.StartedAt, Sequence: w.Sequence,
		Reclaimable: w.Reclaimable, LeavesIn: w.LeavesIn,
	}}
	return r, r.Validate()
}

func toWireAnnouncements(announcements []roster.Announcement) wireServers {
	return lo.Map(announcements, func(a roster.Announcement, _ int) wireServer { return toWireServer(roster.Record{Announcement: a}) })
}

// fromWireServers returns the usable servers of a list.
func fromWireServers(wire wireServers) ([]roster.Record, RefusedServers) {
	records := make([]roster.Record, 0, len(wire))
	var refused RefusedServers
	for _, w := range wire {
		record, err := w.toRecord()
		if err == nil {
			records = append(records, record)
			continue
		}
		if refused.Count == 0 {
			refused.Cause = err
		}
		refused.Count++
	}
	return records, refused
}

func fromWireAnnouncements(wire wireServers) ([]roster.Announcement, RefusedServers) {
	records, refused := fromWireServers(wire)
	return lo.Map(records, func(r roster.Record, _ int) roster.Announcement { return r.Announcement }), refused
}

func encodeAnnouncements(announcements []roster.Announcement) ([]byte, error) {
	data, err := json.Marshal(toWireAnnouncements(announcements))
	return data, errors.WithStack(err)
}

func decodeAnnouncements(data []byte) ([]roster.Announcement, RefusedServers, error) {
	var wire wireServers
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, RefusedServers{}, errors.Wrap(err, "decoding announcements")
	}
	announcements, refused := fromWireAnnouncements(wire)
	return announcements, refused, nil
}
