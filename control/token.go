package control

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"strings"

	"github.com/gofiber/fiber/v3"
)

// tokens guards the API. Without a token its part of the API is served on
// loopback addresses only.
type tokens struct {
	operator string
	peer     string
}

// role says who may make a call.
type role int

const (
	operators role = iota
	peersOnly
	everyone
)

func (t tokens) allow(c fiber.Ctx, r role) bool {
	switch r {
	case operators:
		return matches(c, t.operator)
	case peersOnly:
		return matches(c, t.peer)
	default:
		return matches(c, t.operator) || matches(c, t.peer)
	}
}

func matches(c fiber.Ctx, token string) bool {
	if token == "" {
		ip := net.ParseIP(c.IP())
		return ip != nil && ip.IsLoopback()
	}
	given, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return false
	}
	// Hashes have equal lengths, so the comparison takes the same time for
	// every given token.
	want, got := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(given))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}
