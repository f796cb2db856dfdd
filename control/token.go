package control

import (
	"github.com/gofiber/fiber/v3"

	"github.com/galenaslip/galenaslip/token"
)

// tokens guards the API. Without a token its part of the API is served on
// loopback addresses only.
type tokens struct {
	operator string
	peer     string
	private  bool // the network between processes is private
}

// role says who may make a call.
type role int

const (
	operators role = iota
	peersOnly
	everyone
)

func (t tokens) allow(c fiber.Ctx, r role) bool {
	if t.private {
		return true
	}
	switch r {
	case operators:
		return token.Matches(c, t.operator)
	case peersOnly:
		return token.Matches(c, t.peer)
	default:
		return token.Matches(c, t.operator) || token.Matches(c, t.peer)
	}
}
