package control

import (
	"context"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
)

const (
	// confirmationInterval is the shortest time between two questions for the versions of servers that have
	// begun streams.
	confirmationInterval = 500 * clock.Millisecond
	// confirmationCalls is the number of such questions a second that the leader gets from all entries.
	confirmationCalls = 200
	// confirmationTime is how long a record may wait to be confirmed. Heartbeats that arrive later are too late
	// for callers, too.
	confirmationTime = 10 * clock.Second
)

// unconfirmedStream is a stream of which it is not certain yet at which version it has begun.
type unconfirmedStream struct {
	record  continuation.Record
	begunAt clock.Millis
}

// SetEntryCount sets the number of entries that ask the leader.
func (d *StreamDirectory) SetEntryCount(entries int) {
	d.confirmationPause.Store(int64(max(confirmationInterval, clock.Millis(entries)*clock.Second/confirmationCalls)))
}

// awaitConfirmation lets confirm confirm a record that was added now. It does not block.
func (d *StreamDirectory) awaitConfirmation(now clock.Millis, record continuation.Record) {
	if record.Server == "" || record.Confirmed || record.Origin == (continuation.Origin{}) {
		return
	}
	select {
	case d.unconfirmed <- unconfirmedStream{record: record, begunAt: now - record.Age}:
	default: // the stream is confirmed when it breaks off, if its server can be asked for then
		d.unconfirmedDropped.Add(1)
	}
}

// UnconfirmedDropped returns the number of records for whose confirmation there was no room.
func (d *StreamDirectory) UnconfirmedDropped() uint64 { return d.unconfirmedDropped.Load() }

// confirm confirms records soon after their streams have begun, until ctx ends: once a stream breaks off, its
// server may be gone or be another run, of which heartbeats say nothing about the one that began the stream.
func (d *StreamDirectory) confirm(ctx context.Context) {
	var waiting []unconfirmedStream
	for ctx.Err() == nil {
		if len(waiting) == 0 {
			select {
			case first := <-d.unconfirmed:
				waiting = append(waiting, first)
			case <-ctx.Done():
				return
			}
		}
		d.clock.Sleep(ctx, clock.Millis(d.confirmationPause.Load()))
		waiting = d.confirmAll(ctx, takeWaiting(waiting, d.unconfirmed))
	}
}

// takeWaiting adds the elements that a channel has now to a list, up to streamQueueSize.
func takeWaiting(list []unconfirmedStream, from <-chan unconfirmedStream) []unconfirmedStream {
	for len(list) < streamQueueSize {
		select {
		case u := <-from:
			list = append(list, u)
		default:
			return list
		}
	}
	return list
}

// confirmAll records which streams are confirmed now, and returns those that may be confirmed later.
func (d *StreamDirectory) confirmAll(ctx context.Context, streams []unconfirmedStream) []unconfirmedStream {
	servers := lo.Uniq(lo.Map(streams, func(u unconfirmedStream, _ int) string { return u.record.Server }))
	answer, err := d.Heartbeats(ctx, lo.Subset(servers, 0, maxAskedServers))
	now := d.clock.Now()
	return lo.Filter(streams, func(u unconfirmedStream, _ int) bool {
		newest, known := answer.ByServer[u.record.Server]
		switch {
		case err == nil && known && newest.Confirms(u.record.Origin.Version, u.begunAt, answer.AskedAt):
			u.record.Confirmed, u.record.Age = true, now-u.begunAt
			d.Add(u.record)
			return false
		case err == nil && known && newest.Version != u.record.Origin.Version:
			return false
		}
		return now-u.begunAt < confirmationTime
	})
}
