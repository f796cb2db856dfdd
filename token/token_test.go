package token_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gofiber/fiber/v3"

	"github.com/galenaslip/galenaslip/token"
)

// Guards against a call that is accepted without the token or with only part of it.
func TestMatches(t *testing.T) {
	tests := []struct {
		name, want, header string
		matches            bool
	}{
		{name: "right", want: "0123456789abcdef", header: "Bearer 0123456789abcdef", matches: true},
		{name: "wrong", want: "0123456789abcdef", header: "Bearer 0123456789abcdeX"},
		{name: "prefix", want: "0123456789abcdef", header: "Bearer 01234567"},
		{name: "no scheme", want: "0123456789abcdef", header: "0123456789abcdef"},
		{name: "missing", want: "0123456789abcdef"},
		{name: "none wanted, not from loopback", header: "Bearer x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			app := fiber.New()
			got := false
			app.Get("/", func(c fiber.Ctx) error {
				got = token.Matches(c, tt.want)
				return nil
			})
			request := httptest.NewRequest(http.MethodGet, "/", nil)
			request.Header.Set("Authorization", tt.header)
			response, err := app.Test(request)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if got != tt.matches {
				t.Errorf("got %v, want %v", got, tt.matches)
			}
		})
	}
}
