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
	// pullTimeout bounds one pull of a peer's digest. It is below the age from which a
	// server's announcement is too old to use, because one silent peer delays the next
	// pull from all peers by this time.
	pullTimeout = 1 * clock.Second
)

// pullDigests pulls the digests of all peers concurrently and waits until every pull
// has ended.
func (e *Entry) pullDigests(ctx context.Context) {
	var pulls taskGroup
	addresses := e.peerAddresses()
	e.quarantinePositions.keepOnly(addresses)
	e.limitPositions.keepOnly(addresses)
	for _, address := range addresses {
		pulls.Go(func() { e.pullDigest(ctx, address) })
	}
	pulls.Wait()
}

// peerAddresses returns the addresses of the entries that hold a lease and those from
// the options, without this entry's own.
func (e *Entry) peerAddresses() []string {
	leased := lo.Map(e.leases.entries(), func(l lease.Entry, _ int) string { return l.Address })
	return lo.Without(lo.Uniq(append(leased, e.options.Peers...)), e.advertised)
}

// pullDigest pulls the digest of one peer and passes it to the dispatcher.
func (e *Entry) pullDigest(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout.Duration())
	defer cancel()
	digest, began, err := e.fetchDigest(ctx, address)
	if err != nil {
		e.metrics.pullFailures.Inc()
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			e.options.Logger.Log(event.PeerUnreachable, zap.String("address", address), zap.Error(err))
		}
		return
	}
	if count, cause := digest.Refused(); count > 0 {
		e.recordRefused(address, count, cause)
	}
	e.mergeQuarantine(address, digest)
	e.mergeLimits(address, digest)
	e.dispatcher.send(ctx, func(now clock.Millis) {
		// The digest's age includes the time that this function waited in the inbox.
		e.dispatcher.mergeDigest(now, address, digest, now-began)
	})
}

// fetchDigest returns a peer's digest and the time at which the pull began.
func (e *Entry) fetchDigest(ctx context.Context, address string) (backend.Digest, clock.Millis, error) {
	versions := make(chan backend.Version, 1)
	e.dispatcher.send(ctx, func(clock.Millis) { versions <- e.dispatcher.registry.Version() })
	var since backend.Version
	select {
	case since = <-versions:
	case <-ctx.Done():
		return backend.Digest{}, 0, ctx.Err()
	}
	body, err := backend.EncodeDigestRequest(backend.DigestRequest{
		Entry: e.options.Name, Since: since, QuarantineKnown: e.quarantinePositions.known(address), LimitsKnown: e.limitPositions.known(address),
	})
	if err != nil {
		return backend.Digest{}, 0, err
	}
	began := e.options.Clock.Now()
	answer, err := e.client.Call(ctx, e.peerRequest(address, digestPath, body))
	if err != nil {
		return backend.Digest{}, 0, err
	}
	if answer.Status != fasthttp.StatusOK {
		return backend.Digest{}, 0, errors.Errorf("peer answered with status %d", answer.Status)
	}
	digest, err := backend.DecodeDigest(answer.Body)
	return digest, began, err
}

// peerRequest returns a POST request to a peer with the peer token.
func (e *Entry) peerRequest(address, path string, body []byte) engine.Request {
	r := engine.Request{Method: fasthttp.MethodPost, Address: address, Path: path, Body: body, ReadTimeout: pullTimeout}
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
	d, p := queryDispatcher(e, func(now clock.Millis) backend.Digest { return e.dispatcher.digest(now, pull.Since) })
	if p != nil {
		return p.write(c)
	}
	if known := pull.QuarantineKnown; known != nil {
		d = d.WithQuarantine(e.quarantine.Report(e.options.Clock.Now(), *known))
	}
	if known := pull.LimitsKnown; known != nil {
		d = d.WithLimits(e.dispatcher.limiter.Limits().Report(e.options.Clock.Now(), *known))
	}
	return sendEncoded(c)(backend.EncodeDigest(d))
}

// queryDispatcher runs a function in the dispatcher's goroutine and returns its
// result. It returns a problem when the entry ends before that.
func queryDispatcher[T any](e *Entry, query func(now clock.Millis) T) (T, *problem) {
	answers := make(chan T, 1)
	e.dispatcher.send(e.ctx, func(now clock.Millis) { answers <- query(now) })
	select {
	case a := <-answers:
		return a, nil
	case <-e.ctx.Done():
		var zero T
		return zero, notRun(outcome.ReasonStopping, "the entry is stopping")
	}
}
