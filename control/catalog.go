package control

import (
	"context"
	"encoding/json"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/replica"
)

type wireDocument struct {
	Revision uint64 `json:"revision"`
	Body     []byte `json:"body_base64"`
}

type wireCatalogAnswer struct {
	Verdict  catalog.Verdict `json:"verdict"`
	Revision uint64          `json:"revision"`
}

func encodeDocument(d catalog.Document) ([]byte, error) {
	data, err := json.Marshal(wireDocument(d))
	return data, errors.WithStack(err)
}

func decodeDocument(data []byte) (catalog.Document, error) {
	var w wireDocument
	if err := json.Unmarshal(data, &w); err != nil {
		return catalog.Document{}, errors.Wrap(err, "decoding a catalog document")
	}
	return catalog.Document(w), nil
}

func encodeCatalogAnswer(a catalog.ApplyResult) ([]byte, error) {
	data, err := json.Marshal(wireCatalogAnswer(a))
	return data, errors.WithStack(err)
}

func decodeCatalogAnswer(data []byte) (catalog.ApplyResult, error) {
	var w wireCatalogAnswer
	if err := json.Unmarshal(data, &w); err != nil {
		return catalog.ApplyResult{}, errors.Wrap(err, "decoding the answer to a catalog")
	}
	return catalog.ApplyResult(w), nil
}

// PutCatalog commits a document. The caller has checked that it can be decoded.
// After an error the document may still come into force.
func (c *Control) PutCatalog(ctx context.Context, d catalog.Document) (catalog.ApplyResult, error) {
	data, err := encodeDocument(d)
	if err != nil {
		return catalog.ApplyResult{}, err
	}
	data, err = c.leading(fasthttp.MethodPut, pathCatalog, data, forwardTimeout, func() ([]byte, error) {
		return c.commitCatalog(ctx, d)
	})
	if err != nil {
		return catalog.ApplyResult{}, err
	}
	return decodeCatalogAnswer(data)
}

// NewestCatalog returns the document in force. It fails when this member cannot
// be sure which one that is.
func (c *Control) NewestCatalog(ctx context.Context) (catalog.Document, error) {
	data, err := c.leading(fasthttp.MethodGet, pathCatalog, nil, forwardTimeout, func() ([]byte, error) {
		return c.readCatalog(ctx)
	})
	if err != nil {
		return catalog.Document{}, err
	}
	return decodeDocument(data)
}

// leading runs a call here when this member leads, and at the leader otherwise.
func (c *Control) leading(
	method, path string, body []byte, timeout clock.Millis, here func() ([]byte, error),
) ([]byte, error) {
	status := c.log.Load().Status()
	leader := status.Leader
	if status.Role == replica.Leader {
		data, err := here()
		var moved notLeader
		if !errors.As(err, &moved) {
			return data, err
		}
		leader = moved.leader
	}
	if leader == "" || leader == c.options.Advertise {
		return nil, notRun("no leader is known")
	}
	_, data, err := c.peers.exchange(method, leader, path, body, timeout)
	return data, err
}

func (c *Control) commitCatalog(ctx context.Context, d catalog.Document) ([]byte, error) {
	data, err := c.propose(ctx, command{document: &d})
	if err != nil {
		return nil, err
	}
	answer, err := decodeCatalogAnswer(data)
	if err != nil {
		return nil, err
	}
	c.options.Logger.Log(event.CatalogCommitted, zap.Uint64("revision", d.Revision),
		zap.String("verdict", string(answer.Verdict)), zap.Uint64("in_force", answer.Revision))
	return data, nil
}

func (c *Control) readCatalog(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	if _, err := valueOf(c.log.Load().Barrier(ctx)); err != nil {
		return nil, err
	}
	return encodeDocument(c.machine.Catalog())
}

func (c *Control) putCatalog(f fiber.Ctx) error {
	d, err := decodeDocument(f.Body())
	if err != nil {
		return invalid(fiber.StatusUnprocessableEntity, err)
	}
	return respond(f)(c.commitCatalog(f.Context(), d))
}

func (c *Control) getCatalog(f fiber.Ctx) error {
	return respond(f)(c.readCatalog(f.Context()))
}
