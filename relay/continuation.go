package relay

import (
	"context"
	"sync"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// maxConfirmationWait is how long a stream without a record waits until control has confirmed which
	// versions are in service. Control confirms several times a second.
	maxConfirmationWait = 1 * clock.Second
	// announcementDelay is how long a server that was restarted may take requests before the relay
	// learns of its new run.
	announcementDelay = 5 * clock.Second
	// maxRecentStreams bounds the streams of a server that are remembered for that time.
	maxRecentStreams = 512
	// maxOwnStreams bounds the records of streams that a relay keeps without a directory.
	maxOwnStreams = 1 << 16
)

// StreamOrigins records which service and which version of its servers began a stream, and finds that
// for streams that other relays have begun. Add does not block. Heartbeats returns the newest heartbeats
// of servers that the control leader has received. Dropped and UnconfirmedDropped count records that were not
// told at first, or wait for no confirmation, because there were too many.
type StreamOrigins interface {
	Add(record continuation.Record)
	Dropped() uint64
	UnconfirmedDropped() uint64
	Lookup(ctx context.Context, stream string) (continuation.Record, continuation.Knowledge)
	Heartbeats(ctx context.Context, servers []string) (continuation.Heartbeats, error)
}

// ownOrigins are the origins of a relay's own streams. It takes the servers that the relay knows for
// servers whose heartbeats have just arrived.
type ownOrigins struct {
	relay   *Relay
	records *continuation.Records
}

// Add implements StreamOrigins.
func (o *ownOrigins) Add(record continuation.Record) { o.records.Add(o.relay.clock.Now(), record) }

// Dropped implements StreamOrigins.
func (o *ownOrigins) Dropped() uint64 { return 0 }

// UnconfirmedDropped implements StreamOrigins.
func (o *ownOrigins) UnconfirmedDropped() uint64 { return 0 }

// Lookup implements StreamOrigins.
func (o *ownOrigins) Lookup(_ context.Context, stream string) (continuation.Record, continuation.Knowledge) {
	return o.records.Lookup(o.relay.clock.Now(), stream)
}

// Heartbeats implements StreamOrigins.
func (o *ownOrigins) Heartbeats(_ context.Context, servers []string) (continuation.Heartbeats, error) {
	heartbeats := map[string]continuation.Heartbeat{}
	for _, name := range servers {
		if version, ok := o.relay.fleet.versionOf(name); ok {
			heartbeats[name] = continuation.Heartbeat{Server: name, Version: version}
		}
	}
	return continuation.Heartbeats{ByServer: heartbeats, AskedAt: o.relay.clock.Now()}, nil
}

// versionTable is the table of versions that control has confirmed last. It is safe for concurrent use.
type versionTable struct {
	mu             sync.Mutex
	table          continuation.Table
	confirmedAfter clock.Millis
	updated        chan struct{} // closed at the next update
}

// update stores what control has confirmed after the given time; table is nil if it has not changed.
func (v *versionTable) update(confirmedAfter clock.Millis, table *continuation.Table) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if table != nil {
		v.table = *table
	}
	v.confirmedAfter = max(v.confirmedAfter, confirmedAfter)
	if v.updated != nil {
		close(v.updated)
	}
	v.updated = make(chan struct{})
}

// get returns the table, after which time it was confirmed, and a channel that is closed at the next
// update.
func (v *versionTable) get() (table continuation.Table, confirmedAfter clock.Millis, updated <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.updated == nil {
		v.updated = make(chan struct{})
	}
	return v.table, v.confirmedAfter, v.updated
}

// awaitConfirmed returns the versions of a service that control has confirmed after the given time. It
// returns false if it has not within maxConfirmationWait, or if the caller disconnects.
func (x *exchange) awaitConfirmed(after clock.Millis) (continuation.Table, bool) {
	timeout, release := x.relay.clock.After(min(maxConfirmationWait, x.deadline-x.relay.clock.Now()))
	defer release()
	for {
		table, confirmedAfter, updated := x.relay.versions.get()
		if confirmedAfter >= after {
			return table, true
		}
		select {
		case <-updated:
		case <-timeout:
			return table, false
		case <-x.caller.done:
			return table, false
		}
	}
}

// findOrigin finds out where a stream may go on that the caller takes up, or returns a refusal.
func (x *exchange) findOrigin() *refusal {
	if !x.route.Stream || x.requestInfo.LastEventID == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), (x.deadline - x.relay.clock.Now()).Duration())
	defer cancel()
	recorded, knowledge := x.relay.origins.Lookup(ctx, x.requestInfo.Resumes)
	if knowledge == continuation.Recorded {
		if !x.allowsService(recorded.Origin.Service) {
			return x.refuseStream("stream_service_gone", recorded.Origin)
		}
		x.service = recorded.Origin.Service
		x.begun, x.begunAt = recorded, x.relay.clock.Now()-recorded.Age
	}
	var versions []string
	if knowledge == continuation.Unavailable {
		return x.refuseStreamForNow(continuation.Origin{Service: x.service})
	}
	if knowledge == continuation.Unrecorded {
		if len(x.route.Shares) > 1 {
			return x.refuseStream("stream_version_unknown", continuation.Origin{Service: x.service})
		}
		table, confirmed := x.awaitConfirmed(x.request.arrivedAt)
		if !confirmed {
			return x.refuseStreamForNow(continuation.Origin{Service: x.service})
		}
		versions = table.Versions(x.service)
	}
	origin, verdict := x.decideOrigin(knowledge, recorded.Origin, versions)
	if verdict == continuation.VersionGone && knowledge == continuation.Recorded {
		// A server of the version may have been announced that this relay has not heard of.
		if _, confirmed := x.awaitConfirmed(x.request.arrivedAt); confirmed {
			origin, verdict = x.decideOrigin(knowledge, recorded.Origin, versions)
		}
	}
	switch verdict {
	case continuation.VersionGone:
		return x.refuseStream("stream_version_gone", origin)
	case continuation.VersionUnknown:
		return x.refuseStream("stream_version_unknown", continuation.Origin{Service: x.service})
	}
	x.requirements.service = x.service
	x.fixOrigin(origin)
	x.continues = true
	x.relay.options.Logger.Log(event.StreamTakenUp, zap.String("request", x.requestInfo.ID), zap.String("resumes", x.requestInfo.Resumes),
		zap.String("service", origin.Service), zap.String("version", origin.Version), zap.Bool("recorded", knowledge == continuation.Recorded),
		zap.String("last_event", x.requestInfo.LastEventID), zap.Int64("took_ms", int64(x.relay.clock.Now()-x.request.arrivedAt)))
	return nil
}

// decideOrigin decides at servers of which origin the stream goes on, by the servers that the relay
// knows.
func (x *exchange) decideOrigin(k continuation.Knowledge, recorded continuation.Origin, versions []string) (continuation.Origin, continuation.Verdict) {
	known, inService := x.relay.fleet.origins(x.relay.clock.Now(), x.service)
	return continuation.Decide(k, recorded, x.service, lo.Union(versions, known), inService)
}

// versionOf returns the version of a server that the relay knows.
func (f *fleet) versionOf(server string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[server]
	if !ok {
		return "", false
	}
	return s.record.Version, true
}

// allowsService reports whether the route of the request leads to a service.
func (x *exchange) allowsService(service string) bool {
	return lo.SomeBy(x.route.Shares, func(s catalog.Share) bool { return s.Service == service && s.Weight > 0 })
}

// refuseStream returns the refusal of a stream that cannot go on. The caller is not told to come back:
// it can only begin anew.
func (x *exchange) refuseStream(reason string, origin continuation.Origin) *refusal {
	return &refusal{status: statusUnavailable, reason: reason, origin: origin}
}

// refuseStreamForNow returns the refusal of a stream that may go on once control can be asked again.
func (x *exchange) refuseStreamForNow(origin continuation.Origin) *refusal {
	r := x.refuseStream("stream_version_unknown", origin)
	r.retryAfter = controlRetryAfter
	return r
}

// fixOrigin restricts the request to servers that can continue a stream.
func (x *exchange) fixOrigin(origin continuation.Origin) {
	x.origin, x.requirements.version = &origin, &origin.Version
}

// recordOrigin records where the stream has begun, before its first event is sent to the caller.
func (x *exchange) recordOrigin(a *attempt) {
	if x.origin == nil {
		x.fixOrigin(continuation.Origin{Service: x.service, Version: a.version})
		x.begun = continuation.Record{Stream: x.requestInfo.ID, Origin: *x.origin, Server: a.forwardedTo}
		x.begunAt = x.relay.clock.Now()
	}
	if x.route.RepeatPolicy != catalog.Resumable {
		return
	}
	x.recordedAt = x.relay.clock.Now()
	for _, stream := range lo.Compact([]string{x.requestInfo.ID, x.requestInfo.Resumes}) {
		// The stream is remembered first: a new version of its server that is noticed between the two steps then
		// makes the record contradictory, in whichever order they are added.
		x.relay.fleet.rememberStream(a, stream)
		x.relay.origins.Add(continuation.Record{Stream: stream, Origin: *x.origin, Server: a.forwardedTo, Confirmed: a.versionConfirmed})
	}
}

// refreshOrigin records the stream again when it lasts for so long that its record would be dropped.
func (x *exchange) refreshOrigin(a *attempt) {
	if x.out.headSent && x.relay.clock.Now()-x.recordedAt >= continuation.Retention/2 {
		x.recordOrigin(a)
	}
}

// recentStream is a stream that has begun or gone on at a server lately.
type recentStream struct {
	stream string
	at     clock.Millis
}

// rememberStream remembers that a stream has begun or gone on at the server of an attempt.
func (f *fleet) rememberStream(a *attempt, stream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, now := a.server, f.clock.Now()
	for len(s.recentStreams) > 0 && (now-s.recentStreams[0].at > announcementDelay || len(s.recentStreams) >= maxRecentStreams) {
		s.recentStreams = s.recentStreams[1:]
	}
	s.recentStreams = append(s.recentStreams, recentStream{stream: stream, at: now})
}

// followVersion is called when a record of a server with another run and another version arrives. The
// server may have been restarted some time ago: of its latest streams, those that did not certainly begin
// before the new run started cannot go on, because it is not known which version began them. The caller
// holds the lock.
func (f *fleet) followVersion(now clock.Millis, s *server, next roster.Record) {
	for a := range s.attempts {
		a.versionUncertain.Store(true)
	}
	run := continuation.Heartbeat{RunAge: continuation.RunAge(f.clock.Wall(), next.StartedAt, 0)}
	for _, r := range s.recentStreams {
		if now-r.at <= announcementDelay && !run.StartedAfter(r.at, now) {
			f.streamOrigins.Add(continuation.Record{Stream: r.stream, Origin: continuation.Origin{Service: next.Service, Version: next.Version}})
		}
	}
	s.recentStreams = nil
}

// origins returns the versions of all servers of a service that the relay knows, gone ones included,
// and the origins of those that take requests.
func (f *fleet) origins(now clock.Millis, service string) (known []string, inService []continuation.Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.record.Service != service {
			continue
		}
		known = append(known, s.record.Version)
		if s.takesStreams(now) {
			inService = append(inService, continuation.Origin{Service: service, Version: s.record.Version})
		}
	}
	return lo.Uniq(known), lo.Uniq(inService)
}

// hasOrigin reports whether a server of an origin takes requests that is not excluded.
func (f *fleet) hasOrigin(now clock.Millis, origin continuation.Origin, excluded []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.SomeBy(lo.Values(f.servers), func(s *server) bool {
		return s.record.Service == origin.Service && s.record.Version == origin.Version && s.takesStreams(now) && !lo.Contains(excluded, s.record.Server)
	})
}

// takesStreams reports whether streams may go on at the server. The caller holds the lock of the fleet.
func (s *server) takesStreams(now clock.Millis) bool {
	return s.record.State == roster.Serving && !s.withdrawal.Leaving() && !s.wrongServer && !s.isSilent(now)
}
