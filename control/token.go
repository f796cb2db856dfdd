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

// acceptedTokens selects the tokens that a call accepts.
type acceptedTokens int

const (
	operatorsOnly     acceptedTokens = iota // the operator token
	peersOnly                               // the peer token
	operatorsAndPeers                       // either token
)

// allows reports whether the request carries one of the allowed tokens.
func (t tokens) allows(c fiber.Ctx, allowed acceptedTokens) bool {
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
