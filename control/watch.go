package control

import (
	"github.com/gofiber/fiber/v3"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/delegation"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/metering"
	"github.com/galenaslip/galenaslip/propagation"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// maxWatchWait is the longest time that a watch waits for changes, whatever the
	// entry asks for.
	maxWatchWait = 2 * clock.Second
	// entryTimeout is how long an entry counts as watching after its latest watch.
	entryTimeout = 2 * clock.Second
	// loadTimeout is how long the load that an entry has reported counts. It is shorter than entryTimeout,
	// because an entry that watches another member from now on reports the same requests there.
	loadTimeout = 700 * clock.Millisecond
	// maxLoadsPerSecond bounds the loads that are sent to an entry and that a member reports:
	// with many servers they are sent less often, so that bytes and processor time do not
	// grow with the number of servers.
	maxLoadsPerSecond = 2500
	// maxDirectEntries is the number of entries up to which all of them watch the leader
	// itself. More entries watch the members near them, which costs the loads of other
	// entries some hundred milliseconds of delay.
	maxDirectEntries = 40
)

// WatchRequest is a long-poll request of an entry for the changes since its last
// response. It also reports the entry's load and demand. A member that watches the leader
// for its own entries sends the same request, with their sums.
type WatchRequest struct {
	Entry    string
	Revision uint64          // revision of the entry's catalog
	Epoch    uint64          // epoch of the server list that Position refers to
	Position uint64          // position in the server list up to which the entry knows all changes
	MaxWait  clock.Millis    // how long the leader may wait for changes before it answers
	Loads    []ServerLoad    // this entry's requests in progress, one ServerLoad for each server
	Demands  []ServiceDemand // demand at this entry, one ServiceDemand for each service

	// LoadsKept is set in the request of a member that leaves Loads out: those of its earlier
	// request still hold.
	LoadsKept bool
	// AcceptsDelegation is set by entries that take WatchResponse.ConfirmationAge into
	// account. Other entries are answered by the leader alone.
	AcceptsDelegation bool
	// AcceptsCompression is set by senders that can decompress WatchResponse.Document.
	AcceptsCompression bool
	// Quarantine is what the sender has learned about parts of prompts that end servers since
	// its latest request, and QuarantineKnown up to where it knows the member's records.
	Quarantine      quarantine.Report
	QuarantineKnown gossip.Position
	// Limits is what the sender has learned about the limits of backend servers since its latest
	// request, and LimitsKnown up to where it knows the member's.
	Limits      ratelimit.Report
	LimitsKnown gossip.Position
	// VersionsKnown is the revision of the table of versions that the sender knows.
	VersionsKnown uint64
	// Share asks for a part of these limits; nil in requests of the former build.
	Share *ShareReport
	// CountsUsage is set by senders that count usage. Usage is what they have counted since their latest
	// request, and TimeOfDay their time of day.
	CountsUsage bool
	Usage       metering.Report
	TimeOfDay   clock.Millis
	// Delegate is set in the request of a member. The fields after it are set by members.
	Delegate             *delegation.Member
	EntryCount           int                   // number of entries that watch the member
	Acknowledged         uint64                // position up to which the member and all of these entries know all changes
	AcknowledgedRevision uint64                // oldest revision of the catalog that the member or one of these entries uses
	Heartbeats           []roster.Announcement // heartbeats that changed nothing, received since the last request
	RefusedHeartbeats    RefusedServers        // heartbeats that were left out when the request was decoded
}

// acknowledged returns the revision of the catalog and the position in the server list up to
// which everyone on whose behalf the request was sent knows all changes.
func (w WatchRequest) acknowledged() (revision, position uint64) {
	if w.Delegate != nil {
		return w.AcknowledgedRevision, w.Acknowledged
	}
	return w.Revision, w.Position
}

// ServiceDemand is the number of prompt tokens in recent requests to the engines of a
// service.
type ServiceDemand struct {
	Service           string
	LongPromptTokens  int // prompt tokens of requests with long prompts
	ShortPromptTokens int // prompt tokens of all other requests
}

// ServerLoad is the load that entries have placed on a backend server.
type ServerLoad struct {
	Server              string
	Requests            int // requests in progress
	PendingPromptTokens int // prompt tokens that the server has not processed yet
	DecodeCost          int // cost of generating the output, converted to prompt tokens
	Proven              int // requests at a time that the server answers well since it has lately started or recovered
}

// WatchResponse is the response to a watch. Only a granted response confirms that the
// catalog with its revision is the newest one. Without a grant only Term,
// Members and Leader are set.
type WatchResponse struct {
	Granted    bool   // whether the leader, which held the leader lease, has confirmed the revision
	Leader     string // address of the leader if another member leads
	Term       uint64
	Revision   uint64            // newest revision of the catalog
	Document   *catalog.Document // newest catalog document; nil unless newer than the entry's
	Epoch      uint64            // epoch of the server list; positions of other epochs are invalid
	Position   uint64            // position in the server list after these changes
	Servers    []roster.Record   // servers that changed since the entry's position
	Refused    RefusedServers    // servers that were left out when the response was decoded
	EntryCount int               // number of entries that watch
	Members    []string          // addresses of the control members
	Loads      []ServerLoad      // total load of all other entries, one ServerLoad for each server
	Demands    []ServiceDemand   // total demand of all other entries, one ServiceDemand for each service

	// Quarantine is what the member knows about parts of prompts that end servers beyond
	// WatchRequest.QuarantineKnown. Both are set without a grant, too.
	Quarantine         quarantine.Report
	QuarantinePosition gossip.Position
	// Limits is what the member knows about the limits of backend servers beyond
	// WatchRequest.LimitsKnown. Both are set without a grant, too.
	Limits         ratelimit.Report
	LimitsPosition gossip.Position
	// UsagePosition is the position of the member's counts. UsageNext is the first window that is not
	// decided, and UnixTime the time by which windows are counted; 0 if it is not known.
	UsagePosition gossip.Position
	UsageNext     metering.Window
	UnixTime      clock.Millis
	// Versions is the table of versions; nil if the entry knows it.
	Versions *continuation.Table
	// Share is the entry's part of these limits, which holds with the lease of this response; nil
	// if the request does not ask for it.
	Share *ratelimit.Grant
	// LoadsKept is set if Loads is left out: those of an earlier response still hold.
	LoadsKept bool
	// ConfirmationAge is by how much the leader's confirmation is older than the entry's
	// request. It is 0 in responses of the leader itself.
	ConfirmationAge clock.Millis
	// Delegates are the members that entries watch in place of the leader. It is empty if
	// the entries watch the leader.
	Delegates []delegation.Member
}

// answerWatch records the entry's report and returns the response once there is
// a change for the entry, or when the wait time has passed. A response without
// a grant is returned at once, unless this member may soon answer for the leader.
func (c *Control) answerWatch(watch WatchRequest) WatchResponse {
	receivedAt := c.options.Clock.Now()
	c.watchingEntries.update(receivedAt, watch)
	c.propagation.report(receivedAt, watch)
	c.quarantine.Merge(receivedAt, watch.Quarantine)
	c.limits.Merge(receivedAt, watch.Limits)
	c.usage.receive(receivedAt, watch)
	c.shares.report(receivedAt, watch)
	c.reported.notify()
	if len(watch.Heartbeats) > 0 {
		c.receiveHeartbeats(watch.Heartbeats)
	}
	timeout, release := c.options.Clock.After(min(watch.MaxWait, maxWatchWait))
	defer release()
	collected := false
	for {
		changed := c.changed.nextChange()
		response := c.watchResponse(watch, receivedAt)
		awaitsConfirmation := !response.Granted && watch.AcceptsDelegation && response.Leader != "" && c.delegate.isNeeded()
		isFirst := response.Epoch != watch.Epoch // the entry knows nothing of this leader's list of servers
		hasNews := response.hasNews(watch)
		switch {
		case !response.Granted && !awaitsConfirmation, hasNews && (isFirst || collected):
			return c.withOtherEntries(watch, response)
		case !hasNews:
			select {
			case <-changed:
			case <-timeout:
				return c.withOtherEntries(watch, c.watchResponse(watch, receivedAt))
			}
		}
		c.collectChanges(watch, timeout)
		collected = true
	}
}

// hasNews reports whether a granted response contains something that the entry must learn
// at once.
func (r WatchResponse) hasNews(watch WatchRequest) bool {
	return r.Granted && (r.Document != nil || len(r.Servers) > 0 || r.Epoch != watch.Epoch)
}

// collectChanges waits for further changes until they are to be sent, or until the timeout of
// a watch. Members that watch for their own entries are few, and these entries wait for them.
func (c *Control) collectChanges(watch WatchRequest, timeout <-chan struct{}) {
	watches := 0
	if watch.Delegate == nil {
		watches = c.watchingEntries.watches(c.options.Clock.Now())
	}
	collected, release := c.options.Clock.After(propagation.CollectTime(watches, c.propagationTime()))
	defer release()
	select {
	case <-collected:
	case <-timeout:
	}
}

// propagationTime returns the time within which all entries are to know a change.
func (c *Control) propagationTime() clock.Millis {
	shortest := propagationTimeout
	for _, bound := range []clock.Millis{c.options.ApplyTime, c.options.DrainTime} {
		if bound > 0 {
			shortest = min(shortest, bound)
		}
	}
	return shortest
}

// watchResponse builds the response to a watch that was received at the given time. It
// reads the catalog first and checks the leader lease afterwards, so that the catalog in a
// granted response was the newest one when it was read.
func (c *Control) watchResponse(watch WatchRequest, receivedAt clock.Millis) WatchResponse {
	document := c.machine.Catalog()
	status := c.log.Load().Status()
	response := WatchResponse{Term: status.Term, Members: lo.Map(status.Members, func(m replica.Member, _ int) string { return m.Address })}
	now := c.options.Clock.Now()
	if status.Role != replica.Leader || status.LeaseRemaining <= 0 {
		if status.Leader != c.options.Advertise {
			response.Leader = status.Leader
		}
		if watch.AcceptsDelegation && watch.Delegate == nil {
			c.delegate.grant(now, watch, receivedAt, &response)
		}
	} else {
		c.serverRegistry.receive(status.Term, nil)
		response.Granted, response.Revision = true, document.Revision
		response.Share = grantTo(c.shares.ofTerm(status.Term), now, watch)
		response.Versions = newerVersions(c.machine.Versions(), watch.VersionsKnown)
		response.Document = newerDocument(document, watch.Revision)
		response.Servers, response.Epoch, response.Position = c.serverRegistry.changesSince(watch.Epoch, watch.Position)
		if c.watchingEntries.count(now) > maxDirectEntries {
			c.propagation.delegate(now)
			response.Delegates = c.watchingEntries.delegates(now, c.delegationMember())
		}
	}
	return response
}

// withOtherEntries returns a granted response with the reports of all other entries. The
// response of a delegate already has those that the leader has received from elsewhere.
func (c *Control) withOtherEntries(watch WatchRequest, response WatchResponse) WatchResponse {
	if !response.Granted {
		return response
	}
	now := c.options.Clock.Now()
	count, demands := c.watchingEntries.demandsExcept(now, watch.Entry)
	response.EntryCount += count
	response.Demands = sumServiceDemands(response.Demands, demands)
	// Entries and members of the former build expect loads in each response.
	mayKeep := watch.AcceptsDelegation || watch.Delegate != nil
	if mayKeep && !c.watchingEntries.takeLoads(now, watch.Entry, len(response.Loads)) {
		response.Loads, response.LoadsKept = nil, true
		return response
	}
	response.Loads = sumLoads(response.Loads, c.watchingEntries.loadsExcept(now, watch.Entry))
	return response
}

// newerDocument returns the document, or nil if its revision is not above the given one.
func newerDocument(document catalog.Document, revision uint64) *catalog.Document {
	if document.Revision <= revision {
		return nil
	}
	return &document
}

// delegationMember describes this member to entries.
func (c *Control) delegationMember() delegation.Member {
	return delegation.Member{Address: c.options.Advertise, AvailabilityZone: c.options.AvailabilityZone}
}

// loadsInterval returns the shortest time between two lists of loads with this length.
func loadsInterval(count int) clock.Millis {
	return clock.Millis(count) * clock.Second / maxLoadsPerSecond
}

func (c *Control) postWatch(f fiber.Ctx) error {
	watch, err := decodeWatch(f.Body())
	if err != nil {
		return invalidError(fiber.StatusBadRequest, err)
	}
	c.recordRefused(watch.RefusedHeartbeats)
	response := c.answerWatch(watch)
	now := c.options.Clock.Now()
	response.Quarantine, response.QuarantinePosition = c.quarantine.Report(now, watch.QuarantineKnown)
	response.Limits, response.LimitsPosition = c.limits.Report(now, watch.LimitsKnown)
	c.usage.complete(now, watch, &response)
	if response.Document == nil || !watch.AcceptsCompression {
		return respond(f)(encodeWatchResponse(response, nil))
	}
	compressed, err := c.compressor.compress(*response.Document)
	if err != nil {
		return err
	}
	return respond(f)(encodeWatchResponse(response, compressed))
}
