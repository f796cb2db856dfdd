package recovery

import (
	"runtime/debug"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
)

// Middleware returns a handler that turns a panic of the handlers after it into an error.
func Middleware(logger event.Logger) fiber.Handler {
	return func(f fiber.Ctx) (err error) {
		defer func() {
			if cause := recover(); cause != nil {
				logPanic(logger, f.Path(), cause)
				err = errors.Errorf("unexpected error: %v", cause)
			}
		}()
		return f.Next()
	}
}

// Handler returns a handler that answers with status 500 if next panics.
func Handler(logger event.Logger, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if cause := recover(); cause != nil {
				logPanic(logger, string(ctx.Path()), cause)
				ctx.Error("unexpected error", fasthttp.StatusInternalServerError)
			}
		}()
		next(ctx)
	}
}

func logPanic(logger event.Logger, path string, cause any) {
	logger.Log(event.HandlerPanicked, zap.String("path", path), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
}
