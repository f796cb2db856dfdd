package standin

import (
	"context"
	"maps"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
)

func (e *Engine) routes() *fiber.App {
	app := newApp()
	app.Use(faultMiddleware(e.activeFaults, e.closing))
	app.Post("/v1/chat/completions", e.chat)
	app.Get("/v1/requests/:id/stream", e.resume)
	app.Post("/v1/requests/:id/cancel", e.cancelRequest)
	app.Post("/v1/orders", e.receiveOrder)
	app.Get("/v1/kv/:id", e.exportKV)
	app.Put("/v1/kv/:id", e.importKV)
	app.Post("/stand-in/fault", faultHandler(e.Fault))
	app.Get("/stand-in/state", e.sendState)
	return app
}

// sendError answers with an HTTP error status and a JSON error object.
func sendError(c fiber.Ctx, status int, message string) error {
	return c.Status(status).JSON(fiber.Map{"error": fiber.Map{"message": message}})
}

func (e *Engine) chat(c fiber.Ctx) error {
	var wire chatWire
	if err := decode(c.Body(), &wire); err != nil {
		return sendError(c, fiber.StatusBadRequest, err.Error())
	}
	if !e.servesModel(wire.Model) {
		return sendError(c, fiber.StatusNotFound, "unknown model "+wire.Model)
	}
	s, err := wire.sequence(c.Get("X-Request-Id", uuid.NewString()))
	if err != nil {
		return sendError(c, fiber.StatusBadRequest, err.Error())
	}
	if s.maxContextTokens() > e.options.KVTokens {
		return sendError(c, fiber.StatusBadRequest, "the request does not fit into KV memory")
	}
	s.arrivedAt = e.options.Clock.Now()
	position := s.startPosition
	if !e.batch.enqueue(s) {
		return sendError(c, fiber.StatusConflict, "request "+s.id+" is running")
	}
	f := &answerBody{engine: e, sequence: s, position: position, stall: e.activeFaults.stallSignal()}
	if !wire.Stream {
		return e.sendUnstreamed(c, f)
	}
	return sendStream(c, f)
}

func sendStream(c fiber.Ctx, f *answerBody) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Response().SetBodyStream(f, -1)
	return nil
}

// sendUnstreamed waits for the end of the answer and sends it as one JSON object.
func (e *Engine) sendUnstreamed(c fiber.Ctx, f *answerBody) error {
	defer func() { _ = f.Close() }()
	for !f.ended {
		if err := f.fillUnread(); err != nil {
			return c.RequestCtx().Conn().Close()
		}
	}
	s := f.sequence
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	prompt := len(s.prompt)/bytesPerToken + 1
	return c.JSON(completionWire{
		ID:       s.id,
		Object:   "chat.completion",
		Model:    s.model,
		Choices:  []completionChoice{{Message: Message{Role: "assistant", Content: s.textUpTo(s.producedTokens)}, FinishReason: s.finish}},
		Usage:    completionUsage{Prompt: prompt, Completion: s.producedTokens, Total: prompt + s.producedTokens},
		Position: s.producedTokens,
	})
}

func (e *Engine) resume(c fiber.Ctx) error {
	position, err := strconv.Atoi(c.Query("position", "0"))
	if err != nil || position < 0 {
		return sendError(c, fiber.StatusBadRequest, "invalid position")
	}
	e.batch.mu.Lock()
	s, ok := e.batch.sequences[c.Params("id")]
	ok = ok && s.startPosition <= position && s.state != stateCancelled
	if ok {
		s.readers++
	}
	e.batch.mu.Unlock()
	if !ok {
		return sendError(c, fiber.StatusNotFound, "request "+c.Params("id")+" is not held from this position")
	}
	return sendStream(c, &answerBody{engine: e, sequence: s, position: position, stall: e.activeFaults.stallSignal()})
}

func (e *Engine) cancelRequest(c fiber.Ctx) error {
	position, ok := e.batch.cancel(c.Params("id"), e.options.Clock.Now())
	if !ok {
		return sendError(c, fiber.StatusNotFound, "unknown request "+c.Params("id"))
	}
	return c.JSON(fiber.Map{"position": position})
}

func (e *Engine) receiveOrder(c fiber.Ctx) error {
	var wire orderWire
	if err := decode(c.Body(), &wire); err != nil {
		return sendError(c, fiber.StatusBadRequest, err.Error())
	}
	tokenValid, isNew := e.orders.accept(wire)
	if !tokenValid {
		e.options.Logger.Log(event.StandinOrderRefused, zap.String("order", wire.OrderID))
		return sendError(c, fiber.StatusConflict, "old fencing token")
	}
	if isNew {
		go e.executeOrder(wire)
	}
	return c.Status(fiber.StatusAccepted).JSON(fiber.Map{"order_id": wire.OrderID})
}

// executeOrder applies an order after the configured load time.
func (e *Engine) executeOrder(wire orderWire) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if e.options.ModelLoadTime == 0 || e.options.Clock.Sleep(ctx, e.options.ModelLoadTime) {
		e.orders.apply(wire)
	}
}

// kvWire describes the KV memory of a request when it is copied between engines: the
// hashes of its prompt's blocks and the number of answer tokens.
type kvWire struct {
	Model    string   `json:"model"`
	Prefix   []string `json:"prefix"`
	Position int      `json:"position"`
}

func (e *Engine) exportKV(c fiber.Ctx) error {
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	s, ok := e.batch.sequences[c.Params("id")]
	if !ok {
		return sendError(c, fiber.StatusNotFound, "unknown request "+c.Params("id"))
	}
	return c.JSON(kvWire{Model: s.model, Prefix: s.blockHashes, Position: s.producedTokens})
}

func (e *Engine) importKV(c fiber.Ctx) error {
	var wire kvWire
	if err := decode(c.Body(), &wire); err != nil {
		return sendError(c, fiber.StatusBadRequest, err.Error())
	}
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	e.batch.cache.store(wire.Prefix)
	return c.SendStatus(fiber.StatusNoContent)
}

// State is the response body of GET /stand-in/state of an engine.
type State struct {
	GeneratedTokens int            `json:"generated"`
	PrefilledTokens int            `json:"prefilled"`
	CachedTokens    int            `json:"cached"`
	Preemptions     int            `json:"preempted"`
	Running         int            `json:"running"`
	Waiting         int            `json:"waiting"`
	TokensByRequest map[string]int `json:"by_request"`
	StartsByRequest map[string]int `json:"starts"`
	Models          []string       `json:"models"`
	Role            string         `json:"role"`
}

// State returns the counters and the current state, for tests and the load command.
func (e *Engine) State() State {
	models := e.orders.servedModels()
	b := e.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{
		GeneratedTokens: b.stats.generatedTokens,
		PrefilledTokens: b.stats.prefilledTokens,
		CachedTokens:    b.stats.cachedTokens,
		Preemptions:     b.stats.preemptions,
		Running:         len(b.running),
		Waiting:         len(b.waiting),
		TokensByRequest: maps.Clone(b.stats.tokensByRequest),
		StartsByRequest: maps.Clone(b.stats.sequences),
		Models:          models,
		Role:            e.orders.currentRole(),
	}
}

func (e *Engine) sendState(c fiber.Ctx) error {
	return c.JSON(e.State())
}
