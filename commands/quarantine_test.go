package commands_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/commands"
)

// Guards against an operator who cannot see or lift a quarantine: an output without the
// evidence, a release for another part, or a failure that looks like a success.
func TestQuarantineCommands(t *testing.T) {
	var released []string
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/debug/state":
			ctx.SetBodyString(`{"suspects":[{"service":"s","part":"a/b","quarantined":true,"servers":["i-1","i-2"],"answers":0,"score":2.5,"required_score":3}]}`)
		case "/debug/quarantine/release":
			part := string(ctx.QueryArgs().Peek("part"))
			released = append(released, string(ctx.Method())+" "+string(ctx.QueryArgs().Peek("service"))+" "+part)
			if part != "a/b" {
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			}
		}
	}}
	address := freeAddress(t)
	go func() { _ = server.ListenAndServe(address) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	run := func(args ...string) (string, int) {
		var out, errOut bytes.Buffer
		code := commands.Execute(append([]string{"quarantine"}, args...), &out, &errOut)
		return out.String(), code
	}
	eventually(t, "the server to listen", func() bool { _, code := run("list", address); return code == 0 })
	out, _ := run("list", address)
	if want := "s a/b quarantined=true score=2.50/3 answers=0 servers=i-1,i-2\n"; out != want {
		t.Errorf("list: got %q, want %q", out, want)
	}
	if _, code := run("release", address, "s", "a/b"); code != 0 {
		t.Errorf("release: got code %d, want 0", code)
	}
	if _, code := run("release", address, "s", "unknown"); code == 0 {
		t.Error("release of an unknown part: got code 0, want a failure")
	}
	if got, want := strings.Join(released, ", "), "POST s a/b, POST s unknown"; got != want {
		t.Errorf("calls: got %q, want %q", got, want)
	}
}
