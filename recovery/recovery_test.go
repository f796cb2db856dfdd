package recovery_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/recovery"
)

// logBuffer is a log output in memory.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(data)
}

// newLogger returns a logger and a function that returns all that it has logged.
func newLogger() (event.Logger, func() string) {
	l := &logBuffer{}
	logger, flush := event.NewWithOutput(l, "test", event.Info)
	return logger, func() string {
		flush()
		return l.data.String()
	}
}

// Guards against one call that ends the process, and against one that leaves no trace.
func TestPanicIsAnswered(t *testing.T) {
	serve := map[string]func(logger event.Logger) int{
		"fiber": func(logger event.Logger) int {
			app := fiber.New()
			app.Use(recovery.Middleware(logger))
			app.Get("/call", func(fiber.Ctx) error { panic("unexpected value") })
			response, err := app.Test(httptest.NewRequest(http.MethodGet, "/call", nil))
			if err != nil {
				t.Fatal(err)
			}
			return response.StatusCode
		},
		"fasthttp": func(logger event.Logger) int {
			ctx := &fasthttp.RequestCtx{}
			ctx.Request.SetRequestURI("/call")
			recovery.Handler(logger, func(*fasthttp.RequestCtx) { panic("unexpected value") })(ctx)
			return ctx.Response.StatusCode()
		},
	}
	for name, call := range serve {
		t.Run(name, func(t *testing.T) {
			logger, logged := newLogger()
			if got, want := call(logger), http.StatusInternalServerError; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := logged(), "unexpected value"; !strings.Contains(got, want) || !strings.Contains(got, "/call") {
				t.Errorf("log: got %q, want a line with %q and the path", got, want)
			}
		})
	}
}
