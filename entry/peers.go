package entry

import (
	"context"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
)

const (
	digestPath  = "/peer/v1/digest"
	releasePath = "/peer/v1/release/"
	// pullTimeout bounds one pull. It is below the age at which a server is no
	// longer used, so that one silent peer does not delay the next pull for long.
	pullTimeout = 1 * clock.Second
)

// pullAll pulls from every peer at once and waits for all answers.
func (e *Entry) pullAll(ctx context.Context) {
	var pulls taskGroup
	for _, address := range e.peerAddresses() {
		pulls.Go(func() { e.pull(ctx, address) })
	}
	pulls.Wait()
}

// peerAddresses joins the fixed list with the entries that hold a lease.
func (e *Entry) peerAddresses() []string {
	leased := lo.Map(e.leases.entries(), func(l lease.Entry, _ int) string { return l.Address })
	return lo.Without(lo.Uniq(append(leased, e.options.Peers...)), e.advertised)
}

func (e *Entry) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout.Duration())
	defer cancel()
	digest, began, err := e.fetch(ctx, address)
	if err != nil {
		e.metrics.pulls.Inc()
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			e.options.Logger.Log(event.PeerUnreachable, zap.String("address", address), zap.Error(err))
		}
		return
	}
	e.dispatcher.send(ctx, func(now clock.Millis) {
		// The wait in the inbox makes the digest older, so it counts as well.
		e.dispatcher.merge(now, address, digest, now-began)
	})
}

// fetch returns a peer's digest and the moment at which the pull began.
func (e *Entry) fetch(ctx context.Context, address string) (backend.Digest, clock.Millis, error) {
	versions := make(chan backend.Version, 1)
	e.dispatcher.send(ctx, func(clock.Millis) { versions <- e.dispatcher.registry.Version() })
	var since backend.Version
	select {
	case since = <-versions:
	case <-ctx.Done():
		return backend.Digest{}, 0, ctx.Err()
	}
	body, err := backend.EncodeDigestRequest(backend.DigestRequest{Entry: e.options.Name, Since: since})
	if err != nil {
		return backend.Digest{}, 0, err
	}
	began := e.options.Clock.Now()
	answer, err := e.client.Call(ctx, e.peerRequest(address, digestPath, body))
	if err != nil {
		return backend.Digest{}, 0, err
	}
	if answer.Status != fasthttp.StatusOK {
		return backend.Digest{}, 0, errors.Errorf("status %d", answer.Status)
	}
	digest, err := backend.DecodeDigest(answer.Body)
	return digest, began, err
}

func (e *Entry) peerRequest(address, path string, body []byte) engine.Request {
	r := engine.Request{Method: fasthttp.MethodPost, Address: address, Path: path, Body: body, Silence: pullTimeout}
	if e.options.Tokens.Peer != "" {
		r.Headers = []engine.Header{{Name: fiber.HeaderAuthorization, Value: "Bearer " + e.options.Tokens.Peer}}
	}
	return r
}

// digest serves POST /peer/v1/digest.
func (e *Entry) digest(c fiber.Ctx) error {
	pull, err := backend.DecodeDigestRequest(c.BodyRaw())
	if err != nil {
		e.options.Logger.Log(event.MessageMalformed, zap.String("address", c.IP()), zap.Error(err))
		return invalid(outcome.ReasonInvalidRequest, "", err.Error()).write(c)
	}
	d, p := ask(e, func(now clock.Millis) backend.Digest { return e.dispatcher.digest(now, pull.Since) })
	if p != nil {
		return p.write(c)
	}
	return sendEncoded(c)(backend.EncodeDigest(d))
}

// ask runs a question on the dispatcher's goroutine and returns its answer.
func ask[T any](e *Entry, question func(now clock.Millis) T) (T, *problem) {
	answers := make(chan T, 1)
	e.dispatcher.send(e.ctx, func(now clock.Millis) { answers <- question(now) })
	select {
	case a := <-answers:
		return a, nil
	case <-e.ctx.Done():
		var none T
		return none, notRun(outcome.ReasonStopping, "the entry is stopping")
	}
}
