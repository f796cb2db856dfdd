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
	app.Use(gate(e.fault, e.closing))
	app.Post("/v1/chat/completions", e.chat)
	app.Get("/v1/requests/:id/stream", e.resume)
	app.Post("/v1/requests/:id/cancel", e.stop)
	app.Post("/v1/orders", e.order)
	app.Get("/v1/kv/:id", e.exportKV)
	app.Put("/v1/kv/:id", e.importKV)
	app.Post("/stand-in/fault", e.setFault)
	app.Get("/stand-in/state", e.state)
	return app
}

func refuse(c fiber.Ctx, status int, message string) error {
	return c.Status(status).JSON(fiber.Map{"error": fiber.Map{"message": message}})
}

func (e *Engine) chat(c fiber.Ctx) error {
	var wire chatWire
	if err := decode(c.Body(), &wire); err != nil {
		return refuse(c, fiber.StatusBadRequest, err.Error())
	}
	if !e.serves(wire.Model) {
		return refuse(c, fiber.StatusNotFound, "unknown model "+wire.Model)
	}
	s, err := wire.sequence(c.Get("X-Request-Id", uuid.NewString()))
	if err != nil {
		return refuse(c, fiber.StatusBadRequest, err.Error())
	}
	if s.largest() > e.options.KVTokens {
		return refuse(c, fiber.StatusBadRequest, "the request does not fit into KV memory")
	}
	s.arrived = e.options.Clock.Now()
	position := s.start
	if !e.batch.add(s) {
		return refuse(c, fiber.StatusConflict, "request "+s.id+" is running")
	}
	f := &feed{engine: e, sequence: s, position: position, stall: e.fault.token()}
	if !wire.Stream {
		return e.whole(c, f)
	}
	return respond(c, f)
}

func respond(c fiber.Ctx, f *feed) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Response().SetBodyStream(f, -1)
	return nil
}

// whole waits for the end of the answer and sends it as one JSON object.
func (e *Engine) whole(c fiber.Ctx, f *feed) error {
	defer func() { _ = f.Close() }()
	for !f.ended {
		if err := f.fill(); err != nil {
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
		Choices:  []completionChoice{{Message: Message{Role: "assistant", Content: s.text(s.produced)}, Finish: s.finish}},
		Usage:    completionUsage{Prompt: prompt, Completion: s.produced, Total: prompt + s.produced},
		Position: s.produced,
	})
}

func (e *Engine) resume(c fiber.Ctx) error {
	position, err := strconv.Atoi(c.Query("position", "0"))
	if err != nil || position < 0 {
		return refuse(c, fiber.StatusBadRequest, "invalid position")
	}
	e.batch.mu.Lock()
	s, ok := e.batch.sequences[c.Params("id")]
	ok = ok && s.start <= position && s.state != stateCancelled
	if ok {
		s.readers++
	}
	e.batch.mu.Unlock()
	if !ok {
		return refuse(c, fiber.StatusNotFound, "request "+c.Params("id")+" is not held from this position")
	}
	return respond(c, &feed{engine: e, sequence: s, position: position, stall: e.fault.token()})
}

func (e *Engine) stop(c fiber.Ctx) error {
	position, ok := e.batch.cancel(c.Params("id"), e.options.Clock.Now())
	if !ok {
		return refuse(c, fiber.StatusNotFound, "unknown request "+c.Params("id"))
	}
	return c.JSON(fiber.Map{"position": position})
}

func (e *Engine) order(c fiber.Ctx) error {
	var wire orderWire
	if err := decode(c.Body(), &wire); err != nil {
		return refuse(c, fiber.StatusBadRequest, err.Error())
	}
	current, fresh := e.orders.admit(wire)
	if !current {
		e.options.Logger.Log(event.StandinOrderRefused, zap.String("order", wire.OrderID))
		return refuse(c, fiber.StatusConflict, "old fencing token")
	}
	if fresh {
		go e.carryOut(wire)
	}
	return c.Status(fiber.StatusAccepted).JSON(fiber.Map{"order_id": wire.OrderID})
}

func (e *Engine) carryOut(wire orderWire) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if e.options.ModelLoadTime == 0 || e.options.Clock.Sleep(ctx, e.options.ModelLoadTime) {
		e.orders.apply(wire)
	}
}

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
		return refuse(c, fiber.StatusNotFound, "unknown request "+c.Params("id"))
	}
	return c.JSON(kvWire{Model: s.model, Prefix: s.prefix, Position: s.produced})
}

func (e *Engine) importKV(c fiber.Ctx) error {
	var wire kvWire
	if err := decode(c.Body(), &wire); err != nil {
		return refuse(c, fiber.StatusBadRequest, err.Error())
	}
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	e.batch.cache.store(wire.Prefix)
	return c.SendStatus(fiber.StatusNoContent)
}

func (e *Engine) setFault(c fiber.Ctx) error {
	var fault Fault
	if err := decode(c.Body(), &fault); err != nil {
		return refuse(c, fiber.StatusBadRequest, err.Error())
	}
	e.Fault(fault)
	return c.SendStatus(fiber.StatusNoContent)
}

// State is the answer of GET /stand-in/state of an engine.
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

// State returns the counts that tests compare.
func (e *Engine) State() State {
	models := e.orders.list()
	b := e.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{
		GeneratedTokens: b.stats.generated,
		PrefilledTokens: b.stats.prefilled,
		CachedTokens:    b.stats.cached,
		Preemptions:     b.stats.preempted,
		Running:         len(b.running),
		Waiting:         len(b.waiting),
		TokensByRequest: maps.Clone(b.stats.byRequest),
		StartsByRequest: maps.Clone(b.stats.sequences),
		Models:          models,
		Role:            e.orders.currentRole(),
	}
}

func (e *Engine) state(c fiber.Ctx) error {
	return c.JSON(e.State())
}
