package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/placement"
	"github.com/galenaslip/galenaslip/propagation"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/roster"
)

// OrderBlockedByLease tries to deliver an order of a term to an engine and
// reports whether the check of the leader lease stopped it before it was sent.
func OrderBlockedByLease(ctx context.Context, c *Control, address string, term uint64) bool {
	_, err := c.deliverOrder(ctx, placement.Order{
		ID: "late", FencingToken: term, Kind: placement.LoadModel, Address: address, Model: "m1",
	})
	return errors.Is(err, errLeaseExpired)
}

// DecodeWatchMessages decodes data as each of the messages that carry servers. It returns the
// servers in them.
func DecodeWatchMessages(data []byte) []roster.Announcement {
	watch, _ := decodeWatch(data)
	response, _ := decodeWatchResponse(data)
	servers, refused, err := decodeAnnouncements(data)
	if err != nil && len(servers)+refused.Count > 0 {
		panic("a list that cannot be decoded has servers")
	}
	servers = append(servers, watch.Heartbeats...)
	for _, r := range response.Servers {
		servers = append(servers, r.Announcement)
	}
	return servers
}

// ReplaceBatchDelivery has a member pass batches of announcements to deliver in place of the
// leader.
func ReplaceBatchDelivery(c *Control, deliver func() error) {
	c.forwarder.deliver = func([]roster.Announcement) (propagation.Version, error) {
		return propagation.Version{}, deliver()
	}
}

// LimitShares divides the part of a member that does not lead among its entries.
type LimitShares struct {
	shares *limitShares
	clock  clock.Clock
}

// NewLimitShares returns the shares of a member whose process has just started.
func NewLimitShares(c clock.Clock, entryLease clock.Millis) *LimitShares {
	return &LimitShares{shares: newLimitShares(&Control{options: Options{Clock: c, EntryLease: entryLease}}), clock: c}
}

// Watch records the report of an entry and returns its grant.
func (s *LimitShares) Watch(entry string, r ShareReport) ratelimit.Grant {
	s.shares.member.Report(s.clock.Now(), entry, r.Weight, r.Held)
	return s.shares.member.Grant(s.clock.Now(), entry)
}

// Report returns what the member reports to the leader.
func (s *LimitShares) Report() ShareReport { return *s.shares.memberReport(s.clock.Now(), true) }

// SetGranted stores what the leader has granted.
func (s *LimitShares) SetGranted(g ratelimit.Grant, until clock.Millis) {
	s.shares.setGranted(&g, until)
}

// WatchedLoads are the loads that the entries of a member have reported.
type WatchedLoads struct{ entries watchingEntries }

// Watch records the watch of an entry with its requests at a server.
func (l *WatchedLoads) Watch(now clock.Millis, entry, server string, requests int) {
	l.entries.update(now, WatchRequest{Entry: entry, Loads: []ServerLoad{{Server: server, Requests: requests}}})
}

// Others returns the requests of the other entries at all servers, as an entry is told them.
func (l *WatchedLoads) Others(now clock.Millis, entry string) int {
	sum := 0
	for _, load := range l.entries.loadsExcept(now, entry) {
		sum += load.Requests
	}
	return sum
}

// Count returns the number of entries that count as watching.
func (l *WatchedLoads) Count(now clock.Millis) int { return l.entries.count(now) }
