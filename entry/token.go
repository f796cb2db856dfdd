package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"strings"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
)

// guard refuses calls without the token. An empty token admits loopback
// addresses only.
func (e *Entry) guard(token string) fiber.Handler {
	return func(c fiber.Ctx) error {
		if admitted(c, token) {
			return c.Next()
		}
		e.metrics.strangers.Inc()
		e.options.Logger.Log(event.StrangerRefused, zap.String("path", c.Path()), zap.String("address", c.IP()))
		p := invalid(outcome.ReasonUnauthorized, fiber.HeaderAuthorization, "missing or wrong token")
		return p.withStatus(fiber.StatusUnauthorized).write(c)
	}
}

func admitted(c fiber.Ctx, token string) bool {
	if token == "" {
		ip := net.ParseIP(c.IP())
		return ip != nil && ip.IsLoopback()
	}
	given, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return false
	}
	// Hashes of equal length hide the token's length from timing.
	want, got := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(given))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}
