package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/placement"
)

// OrderBlockedByLease tries to deliver an order of a term to an engine and
// reports whether the check of the leader lease stopped it before it was sent.
func OrderBlockedByLease(ctx context.Context, c *Control, address string, term uint64) bool {
	_, err := c.deliverOrder(ctx, placement.Order{
		ID: "late", FencingToken: term, Kind: placement.LoadModel, Address: address, Model: "m1",
	})
	return errors.Is(err, errLeaseExpired)
}

// DecodeWatchMessages decodes data as each of the messages of a watch.
func DecodeWatchMessages(data []byte) {
	_, _ = decodeWatch(data)
	_, _ = decodeWatchResponse(data)
	_, _ = decodeAnnouncements(data)
}
