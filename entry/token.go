package entry

import (
	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/token"
)

// requireToken returns a handler that refuses requests without the token. An empty
// token admits only requests from loopback addresses.
func (e *Entry) requireToken(want string) fiber.Handler {
	return func(c fiber.Ctx) error {
		if token.Matches(c, want) {
			return c.Next()
		}
		e.metrics.unauthorized.Inc()
		e.options.Logger.Log(event.UnauthorizedRefused, zap.String("path", c.Path()), zap.String("address", c.IP()))
		p := invalid(outcome.ReasonUnauthorized, fiber.HeaderAuthorization, "missing or wrong token")
		return p.withStatus(fiber.StatusUnauthorized).write(c)
	}
}
