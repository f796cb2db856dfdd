package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/placement"
)

// Withheld delivers an order of a term to an engine and reports whether the check
// of the leader lease before the write stopped it.
func Withheld(ctx context.Context, c *Control, address string, term uint64) bool {
	_, err := c.deliver(ctx, placement.Order{
		ID: "late", FencingToken: term, Kind: placement.LoadModel, Address: address, Model: "m1",
	})
	return errors.Is(err, errWithheld)
}
