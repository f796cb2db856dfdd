package engine

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

// poolKey selects the connections that a call may use. Calls with an ID share none with those
// without: on their connections each answer has carried the ID of its call.
type poolKey struct {
	address string
	hasID   bool // the calls have request IDs
}

// pool keeps idle connections. A connection that was idle for too long is closed instead of
// reused, because one whose peer has gone silent looks healthy, and so is one on which bytes
// have arrived that belong to no call. It is safe for concurrent use.
type pool struct {
	clock           clock.Clock
	connectTimeout  clock.Millis
	maxIdleTime     clock.Millis
	maxPerAddress   int
	mu              sync.Mutex
	idleConnections map[poolKey][]*connection
	expireAt        clock.Millis // when connections that were idle for too long are searched for next
	closed          bool
}

func newPool(options Options) *pool {
	return &pool{
		clock:           options.Clock,
		connectTimeout:  options.ConnectTimeout,
		maxIdleTime:     options.PoolIdleTimeout,
		maxPerAddress:   options.PoolSize,
		idleConnections: map[poolKey][]*connection{},
	}
}

// get returns an idle connection. It opens a new one when there is none or forceNew is
// set.
func (p *pool) get(ctx context.Context, key poolKey, forceNew bool) (*connection, error) {
	if !forceNew {
		if c := p.popIdle(key); c != nil {
			c.reused = true
			return c, nil
		}
	}
	d := net.Dialer{Timeout: p.connectTimeout.Duration()}
	c, err := d.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, err
	}
	return newConnection(c, p.clock), nil
}

// popIdle removes the most recently used idle connection that is not too old and
// returns it, or nil when there is none.
func (p *pool) popIdle(key poolKey) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	idleConnections := p.idleConnections[key]
	for len(idleConnections) > 0 {
		last := len(idleConnections) - 1
		c := idleConnections[last]
		idleConnections = idleConnections[:last]
		p.idleConnections[key] = idleConnections
		if now-c.idleSince < p.maxIdleTime && c.isQuiet() {
			return c
		}
		_ = c.Close()
	}
	delete(p.idleConnections, key)
	return nil
}

// put keeps a connection for reuse. It closes the connection instead when the pool is
// full or closed, or when unread bytes are left on it.
func (p *pool) put(key poolKey, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idleConnections[key]) >= p.maxPerAddress || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.idleSince = p.clock.Now()
	p.idleConnections[key] = append(p.idleConnections[key], c)
	p.closeExpired(c.idleSince)
}

// closeExpired closes the connections that were idle for too long, those to addresses that are not
// called any more included. It searches for them at most once per maxIdleTime. The caller holds the
// lock.
func (p *pool) closeExpired(now clock.Millis) {
	if now < p.expireAt {
		return
	}
	p.expireAt = now + p.maxIdleTime
	for key, idleConnections := range p.idleConnections {
		kept := slices.DeleteFunc(idleConnections, func(c *connection) bool {
			expired := now-c.idleSince >= p.maxIdleTime
			if expired {
				_ = c.Close()
			}
			return expired
		})
		p.idleConnections[key] = kept
		if len(kept) == 0 {
			delete(p.idleConnections, key)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, idleConnections := range p.idleConnections {
		for _, c := range idleConnections {
			_ = c.Close()
		}
	}
	p.idleConnections = nil
}
