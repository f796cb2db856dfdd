package control

import (
	"context"
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/delegation"
	"github.com/galenaslip/galenaslip/propagation"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// delegateWait is how long the leader waits for changes before it answers a member's
	// watch. It bounds how late the member reports what its entries know.
	delegateWait = 100 * clock.Millisecond
	// idleDelegateWait is the corresponding time while all entries watch the leader itself.
	idleDelegateWait = 1 * clock.Second
)

// delegate answers entries on behalf of the leader while this member does not lead. It
// watches the leader as one entry does, with the sums of its own entries' reports, and
// passes on what the leader confirms. It is safe for concurrent use.
type delegate struct {
	control *Control
	watcher *Watcher

	mu           sync.Mutex
	confirmation delegation.Confirmation
	document     catalog.Document   // newest catalog document that the leader has sent
	mirror       *roster.Mirror     // the leader's server list
	versions     continuation.Table // newest table of versions that the leader has sent
	reported     int                // number of this member's entries in its latest report
	others       WatchResponse      // the latest granted response, with the entries of other members alone
	heartbeats   map[string]roster.Announcement

	loadsReportedAt clock.Millis // when the latest report with loads was made
	loadsReported   int          // number of loads in that report
}

func newDelegate(c *Control) *delegate {
	d := &delegate{control: c, mirror: roster.NewMirror(), heartbeats: map[string]roster.Announcement{}}
	d.watcher = NewWatcher(WatcherOptions{
		Entry: "member " + c.options.Advertise, Token: c.options.PeerToken, Delegate: lo.ToPtr(c.delegationMember()), Seeds: d.leader,
		Clock: c.options.Clock, Logger: c.options.Logger, Update: d.update, Report: d.report, Quarantine: c.quarantine, Limits: c.limits,
		Usage: c.usage.ownBook(),
	})
	return d
}

// run watches the leader until ctx ends.
func (d *delegate) run(ctx context.Context) { d.watcher.Run(ctx) }

// leader returns the address of the leader, or nothing if this member leads or knows none.
func (d *delegate) leader() []string {
	status := d.control.log.Load().Status()
	if status.Role == replica.Leader || status.Leader == "" || status.Leader == d.control.options.Advertise {
		return nil
	}
	return []string{status.Leader}
}

// report sums up what this member's entries have reported.
func (d *delegate) report() Report {
	c := d.control
	now := c.options.Clock.Now()
	count, demands := c.watchingEntries.demandsExcept(now, "")
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Report{Revision: max(c.machine.Catalog().Revision, d.document.Revision), MaxWait: idleDelegateWait, Share: c.shares.memberReport(now, d.delegates())}
	position := propagation.Version{Term: d.mirror.Epoch(), Number: d.mirror.Position()}
	r.AcknowledgedRevision, r.Acknowledged = c.propagation.oldestKnown(now, r.Revision, position)
	if !d.delegates() {
		// Entries that ask this member are sent on to the leader, which hears from them itself.
		d.reported = 0
		return r
	}
	d.reported = count
	r.LoadsKept = now-d.loadsReportedAt < loadsInterval(d.loadsReported)
	r.Demands, r.EntryCount, r.Heartbeats, r.MaxWait = demands, count, lo.Values(d.heartbeats), delegateWait
	d.heartbeats = map[string]roster.Announcement{}
	if !r.LoadsKept {
		r.Loads = c.watchingEntries.loadsExcept(now, "")
		d.loadsReportedAt, d.loadsReported = now, len(r.Loads)
	}
	return r
}

// isNeeded reports whether the leader wants entries to watch members.
func (d *delegate) isNeeded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delegates()
}

// delegates is isNeeded for callers that hold the lock.
func (d *delegate) delegates() bool { return len(d.others.Delegates) > 0 }

// update stores a response that the leader has granted, and reports whether it did.
func (d *delegate) update(askedAt clock.Millis, response WatchResponse) bool {
	next := delegation.Confirmation{AskedAt: askedAt, Term: response.Term, Revision: response.Revision}
	d.mu.Lock()
	if !next.Replaces(d.confirmation) {
		d.mu.Unlock()
		return false
	}
	wasValid := d.confirmation.Valid(d.control.options.Clock.Now())
	d.control.metrics.serversRefused.Add(float64(response.Refused.Count))
	if response.Document != nil {
		d.document = *response.Document
	}
	if response.Versions != nil {
		d.versions = *response.Versions
	}
	changed := d.mirror.Apply(d.control.options.Clock.Now(), response.Epoch, response.Position, response.Servers)
	changed = changed || !wasValid || next.Revision != d.confirmation.Revision
	if response.LoadsKept {
		response.Loads = d.others.Loads
	}
	d.confirmation, d.others = next, response
	d.others.EntryCount = max(response.EntryCount-d.reported, 0)
	d.control.shares.setGranted(response.Share, askedAt+d.control.options.EntryLease)
	d.mu.Unlock()
	if changed {
		d.control.changed.notify()
	}
	return true
}

// grant completes the response to an entry's watch that was received at the given time, if
// entries watch members, the leader's newest confirmation is recent enough and the entry does
// not know more than this member.
func (d *delegate) grant(now clock.Millis, watch WatchRequest, receivedAt clock.Millis, response *WatchResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	document := d.control.machine.Catalog()
	if d.document.Revision > document.Revision {
		document = d.document
	}
	if !d.delegates() || !d.confirmation.Valid(now) || document.Revision < d.confirmation.Revision || d.mirror.Epoch() < watch.Epoch {
		return
	}
	response.Granted, response.Term, response.Revision = true, d.confirmation.Term, document.Revision
	response.Document = newerDocument(document, watch.Revision)
	response.Servers = d.mirror.ChangedSince(watch.Epoch, watch.Position)
	response.Epoch, response.Position = d.mirror.Epoch(), d.mirror.Position()
	response.EntryCount, response.Loads, response.Demands = d.others.EntryCount, d.others.Loads, d.others.Demands
	response.ConfirmationAge, response.Delegates = d.confirmation.Age(receivedAt), d.others.Delegates
	response.Share = grantTo(d.control.shares.member, now, watch)
	response.Versions = newerVersions(d.versions, watch.VersionsKnown)
}

// acceptHeartbeat takes a heartbeat that has no news for the entries, and reports whether
// it did. The next request to the leader passes it on.
func (d *delegate) acceptHeartbeat(a roster.Announcement) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.delegates() || !d.confirmation.Valid(d.control.options.Clock.Now()) || !d.mirror.IsRefresh(a) {
		return false
	}
	if waiting, ok := d.heartbeats[a.Server]; !ok || a.Sequence > waiting.Sequence {
		d.heartbeats[a.Server] = a
	}
	return true
}
