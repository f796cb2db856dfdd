package relay

import (
	"context"
	"sync"

	"github.com/pkg/errors"
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
// for streams that other relays have begun. Add does not block.
type StreamOrigins interface {
	Add(record continuation.Record)
	Lookup(ctx context.Context, stream string) (continuation.Origin, continuation.Knowledge)
}

// ownOrigins are the origins of a relay's own streams.
type ownOrigins struct {
	clock   clock.Clock
	records *continuation.Records
}

// Add implements StreamOrigins.
func (o ownOrigins) Add(record continuation.Record) { o.records.Add(o.clock.Now(), record) }

// Lookup implements StreamOrigins.
func (o ownOrigins) Lookup(_ context.Context, stream string) (continuation.Origin, continuation.Knowledge) {
	return o.records.Lookup(o.clock.Now(), stream)
}

// versionTable is the table of versions that control has confirmed last. It is safe for concurrent use.
type versionTable struct {
	mu             sync.Mutex
	table          continuation.Table
	confirmedAfter clock.Millis
	updated        chan struct{} // closed at the next update
	waiting        int           // requests that wait for an update
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

// addWaiting counts requests that wait for an update.
func (v *versionTable) addWaiting(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waiting += n
}

// isAwaited reports whether a request waits for an update.
func (v *versionTable) isAwaited() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.waiting > 0
}

// awaitConfirmed waits until control has confirmed the servers and the versions in service after the
// given time, and returns these versions. It returns false if control has not within
// maxConfirmationWait, or if the caller disconnects.
func (x *exchange) awaitConfirmed(after clock.Millis) (continuation.Table, bool) {
	timeout, release := x.relay.clock.After(min(maxConfirmationWait, x.deadline-x.relay.clock.Now()))
	defer release()
	x.relay.versions.addWaiting(1)
	defer x.relay.versions.addWaiting(-1)
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
		if !x.allowsService(recorded.Service) {
			return x.refuseStream("stream_service_gone", recorded)
		}
		x.service = recorded.Service
	}
	var versions []string
	if knowledge == continuation.Unrecorded {
		table, confirmed := x.awaitConfirmed(x.request.arrivedAt)
		if !confirmed || len(x.route.Shares) > 1 {
			return x.refuseStream("stream_version_unknown", continuation.Origin{Service: x.service})
		}
		versions = table.Versions(x.service)
	}
	origin, verdict := x.decideOrigin(knowledge, recorded, versions)
	if verdict == continuation.VersionGone && knowledge == continuation.Recorded {
		// A server of the version may have been announced that this relay has not heard of.
		if _, confirmed := x.awaitConfirmed(x.request.arrivedAt); confirmed {
			origin, verdict = x.decideOrigin(knowledge, recorded, versions)
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
	x.continuesAfter = x.request.arrivedAt
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

var (
	errVersionUnconfirmed = errors.New("control has not confirmed the version of the server, nor that of the one that began the stream")
	errVersionChanged     = errors.New("the server has been started again at another version than the one that began the stream")
)

// confirmVersion is called before events of an attempt continue a stream. It waits until control has
// confirmed the servers after the stream broke off, and returns an error unless the server that
// continues it, and the one that began it, still are of the version that the relay took them for. A
// relay that is cut off or was frozen may not have heard that one of them has been started again.
func (x *exchange) confirmVersion(a *attempt) error {
	if x.continuesAfter == 0 || a.versionConfirmed {
		return nil
	}
	if _, confirmed := x.awaitConfirmed(x.continuesAfter); !confirmed {
		return errVersionUnconfirmed
	}
	if !x.relay.fleet.hasVersion(a.server, x.origin.Version) || a.versionUncertain.Load() {
		return errVersionChanged
	}
	if x.begunAt != nil && !x.relay.fleet.hasVersion(x.begunAt, x.origin.Version) {
		return errVersionUnconfirmed
	}
	a.versionConfirmed = true
	return nil
}

// hasVersion reports whether the newest run of a server is of a version.
func (f *fleet) hasVersion(s *server, version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.record.Version == version
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

// fixOrigin restricts the request to servers that can continue a stream.
func (x *exchange) fixOrigin(origin continuation.Origin) {
	x.origin, x.requirements.version = &origin, &origin.Version
}

// recordOrigin records where the stream has begun, before its first event is sent to the caller.
func (x *exchange) recordOrigin(a *attempt) {
	if x.origin == nil {
		x.begunAt = a.server
		x.fixOrigin(continuation.Origin{Service: x.service, Version: a.version})
	}
	if x.route.RepeatPolicy != catalog.Resumable {
		return
	}
	x.recordedAt = x.relay.clock.Now()
	for _, stream := range lo.Compact([]string{x.requestInfo.ID, x.requestInfo.Resumes}) {
		x.relay.origins.Add(continuation.Record{Stream: stream, Origin: *x.origin})
		x.relay.fleet.rememberStream(a, stream)
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
// server may have been restarted some time ago: which of the versions began its latest streams is not
// known, so that these cannot go on. The caller holds the lock.
func (f *fleet) followVersion(now clock.Millis, s *server, next roster.Record) {
	for a := range s.attempts {
		a.versionUncertain.Store(true)
	}
	for _, r := range s.recentStreams {
		if now-r.at <= announcementDelay {
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
		if s.record.State == roster.Serving && !s.withdrawal.Leaving() && !s.wrongServer && !s.isSilent(now) {
			inService = append(inService, continuation.Origin{Service: service, Version: s.record.Version})
		}
	}
	return lo.Uniq(known), lo.Uniq(inService)
}
