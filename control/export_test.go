package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/placement"
	"github.com/galenaslip/galenaslip/propagation"
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
