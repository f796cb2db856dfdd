package control

import (
	"github.com/gofiber/fiber/v3"

	"github.com/galenaslip/galenaslip/token"
)

// tokens holds the bearer tokens of the API. When a token is empty, the calls
// that it protects are accepted from loopback addresses only.
type tokens struct {
	operator       string
	peer           string
	privateNetwork bool // no token is required, because the network is private
}

// audience selects the tokens that a call accepts.
type audience int

const (
	operatorsOnly     audience = iota // the operator token
	peersOnly                         // the peer token
	operatorsAndPeers                 // either token
)

// allows reports whether the request carries a token of the allowed audience.
func (t tokens) allows(c fiber.Ctx, allowed audience) bool {
	if t.privateNetwork {
		return true
	}
	switch allowed {
	case operatorsOnly:
		return token.Matches(c, t.operator)
	case peersOnly:
		return token.Matches(c, t.peer)
	default:
		return token.Matches(c, t.operator) || token.Matches(c, t.peer)
	}
}
