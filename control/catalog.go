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
	"github.com/galenaslip/galenaslip/propagation"
	"github.com/galenaslip/galenaslip/replica"
)

// wireDocument is the JSON form of catalog.Document.
type wireDocument struct {
	Revision uint64 `json:"revision"`
	Body     []byte `json:"body_base64"`
}

// wireApplyResult is the JSON form of catalog.ApplyResult.
type wireApplyResult struct {
	Outcome  catalog.Outcome `json:"verdict"`
	Revision uint64          `json:"revision"`
	First    bool            `json:"first,omitempty"`
}

func encodeDocument(document catalog.Document) ([]byte, error) {
	data, err := json.Marshal(wireDocument(document))
	return data, errors.WithStack(err)
}

func decodeDocument(data []byte) (catalog.Document, error) {
	var w wireDocument
	if err := json.Unmarshal(data, &w); err != nil {
		return catalog.Document{}, errors.Wrap(err, "decoding a catalog document")
	}
	return catalog.Document(w), nil
}

func encodeApplyResult(answer catalog.ApplyResult) ([]byte, error) {
	data, err := json.Marshal(wireApplyResult(answer))
	return data, errors.WithStack(err)
}

func decodeApplyResult(data []byte) (catalog.ApplyResult, error) {
	var w wireApplyResult
	if err := json.Unmarshal(data, &w); err != nil {
		return catalog.ApplyResult{}, errors.Wrap(err, "decoding the answer to a catalog")
	}
	return catalog.ApplyResult(w), nil
}

// PutCatalog commits a catalog document through the leader. The caller must have
// checked that the body of the document can be decoded. After an error the
// document may still be committed later.
func (c *Control) PutCatalog(ctx context.Context, document catalog.Document) (catalog.ApplyResult, error) {
	data, err := encodeDocument(document)
	if err != nil {
		return catalog.ApplyResult{}, err
	}
	data, err = c.runOnLeader(fasthttp.MethodPut, pathCatalog, data, forwardTimeout, func() ([]byte, error) {
		return c.commitCatalog(ctx, document)
	})
	if err != nil {
		return catalog.ApplyResult{}, err
	}
	return decodeApplyResult(data)
}

// NewestCatalog returns the catalog document with the highest accepted revision.
// It returns an error when the leader cannot confirm with a quorum which one
// that is.
func (c *Control) NewestCatalog(ctx context.Context) (catalog.Document, error) {
	data, err := c.runOnLeader(fasthttp.MethodGet, pathCatalog, nil, forwardTimeout, func() ([]byte, error) {
		return c.readCatalog(ctx)
	})
	if err != nil {
		return catalog.Document{}, err
	}
	return decodeDocument(data)
}

// runOnLeader runs a call in this process when this member leads, and otherwise
// sends it to the leader with the given method, path, body and timeout.
func (c *Control) runOnLeader(
	method, path string, body []byte, timeout clock.Millis, runLocally func() ([]byte, error),
) ([]byte, error) {
	status := c.log.Load().Status()
	leader := status.Leader
	if status.Role == replica.Leader {
		data, err := runLocally()
		var redirect notLeaderError
		if !errors.As(err, &redirect) {
			return data, err
		}
		leader = redirect.leader
	}
	if leader == "" || leader == c.options.Advertise {
		return nil, notRunError("no leader is known")
	}
	_, data, err := c.peerClient.exchange(method, leader, path, body, timeout)
	return data, err
}

// commitCatalog commits a document to the replicated log and returns the encoded
// answer of the state machine once no entry uses an older catalog after Options.ApplyTime.
func (c *Control) commitCatalog(ctx context.Context, d catalog.Document) ([]byte, error) {
	data, err := c.propose(ctx, command{document: &d})
	if err != nil {
		return nil, err
	}
	answer, err := decodeApplyResult(data)
	if err != nil {
		return nil, err
	}
	c.options.Logger.Log(event.CatalogCommitted, zap.Uint64("revision", d.Revision),
		zap.String("verdict", string(answer.Outcome)), zap.Uint64("in_force", answer.Revision))
	if answer.First {
		c.propagation.publishFirstCatalog(d.Revision)
	}
	if err := c.awaitCatalog(d.Revision); err != nil {
		return nil, err
	}
	return data, nil
}

// awaitCatalog returns nil once no entry uses a catalog older than the revision after
// Options.ApplyTime, and an error if some may.
func (c *Control) awaitCatalog(revision uint64) error {
	status := c.log.Load().Status()
	if err := c.confirmLeading(status.Term); err != nil {
		return unknownError("the catalog is committed, but the leader has changed")
	}
	c.serverRegistry.receive(status.Term, nil)
	c.propagation.publishCatalog(c.options.Clock.Now(), revision)
	inForce := c.awaitPropagation(func(now clock.Millis) bool {
		return c.propagation.catalogInForce(now, revision, c.options.ApplyTime)
	})
	if !inForce {
		waiting := c.propagation.waiting(c.options.Clock.Now(), revision, propagation.Version{})
		c.options.Logger.Log(event.AcknowledgementDelayed, zap.Uint64("revision", revision), zap.Strings("entries", waiting))
		return unknownError("the catalog is committed, but some entries may still use an older one")
	}
	return nil
}

// readCatalog returns the encoded document with the highest accepted revision.
// It calls Proposer.Barrier first, which fails unless a quorum confirms that this
// member still leads.
func (c *Control) readCatalog(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	if _, err := committedValue(c.log.Load().Barrier(ctx)); err != nil {
		return nil, err
	}
	return encodeDocument(c.machine.Catalog())
}

func (c *Control) putCatalog(f fiber.Ctx) error {
	document, err := decodeDocument(f.Body())
	if err != nil {
		return invalidError(fiber.StatusUnprocessableEntity, err)
	}
	return respond(f)(c.commitCatalog(f.Context(), document))
}

func (c *Control) getCatalog(f fiber.Ctx) error {
	return respond(f)(c.readCatalog(f.Context()))
}
