package engine

import (
	"context"
	"net"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

// pool keeps idle connections by address. A connection that was idle for long
// is closed instead of used, because a silent one looks healthy.
type pool struct {
	clock   clock.Clock
	connect clock.Millis
	idle    clock.Millis
	limit   int
	mu      sync.Mutex
	free    map[string][]*connection
	closed  bool
}

func newPool(options Options) *pool {
	return &pool{
		clock:   options.Clock,
		connect: options.ConnectTimeout,
		idle:    options.PoolIdleTimeout,
		limit:   options.PoolSize,
		free:    map[string][]*connection{},
	}
}

// get returns an idle connection, or a new one when there is none or fresh is
// set.
func (p *pool) get(ctx context.Context, address string, fresh bool) (*connection, error) {
	if !fresh {
		if c := p.take(address); c != nil {
			c.reused = true
			return c, nil
		}
	}
	d := net.Dialer{Timeout: p.connect.Duration()}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConnection(c, p.clock), nil
}

func (p *pool) take(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	free := p.free[address]
	for len(free) > 0 {
		last := len(free) - 1
		c := free[last]
		free = free[:last]
		p.free[address] = free
		if now-c.used < p.idle {
			return c
		}
		_ = c.Close()
	}
	delete(p.free, address)
	return nil
}

// put keeps a connection for reuse, or closes it when the pool is full.
func (p *pool) put(address string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.free[address]) >= p.limit || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.used = p.clock.Now()
	p.free[address] = append(p.free[address], c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, free := range p.free {
		for _, c := range free {
			_ = c.Close()
		}
	}
	p.free = nil
}
