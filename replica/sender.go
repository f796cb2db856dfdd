package replica

import (
	"context"
	"maps"
	"slices"
	"sync"
)

// senders runs one goroutine per recipient, so that a slow recipient does not delay the
// others.
type senders struct {
	ctx       context.Context
	group     *sync.WaitGroup
	transport Transport
	queues    map[string]*sendQueue // by identity and address
}

func newSenders(ctx context.Context, group *sync.WaitGroup, transport Transport) *senders {
	return &senders{ctx: ctx, group: group, transport: transport, queues: map[string]*sendQueue{}}
}

// send queues a message. If there are too many queues, those without messages end; if none does, the
// message is dropped.
func (s *senders) send(e envelope) {
	key := e.to.Identity + "@" + e.to.Address
	queue, ok := s.queues[key]
	if !ok && len(s.queues) >= maxKnownSenders {
		maps.DeleteFunc(s.queues, func(_ string, q *sendQueue) bool { return q.endIfIdle() })
		if len(s.queues) >= maxKnownSenders {
			return
		}
	}
	if !ok {
		queue = &sendQueue{wake: make(chan struct{}, 1), ended: make(chan struct{})}
		s.queues[key] = queue
		s.group.Go(func() { s.run(queue) })
	}
	queue.put(e)
}

func (s *senders) run(queue *sendQueue) {
	for s.ctx.Err() == nil {
		if e, ok := queue.next(); ok {
			s.transport.Send(e.to, e.message)
			continue
		}
		select {
		case <-queue.wake:
		case <-queue.ended:
			return
		case <-s.ctx.Done():
		}
	}
}

// sendQueue is an outbox that two goroutines share.
type sendQueue struct {
	wake  chan struct{} // has an element after a message was put in
	ended chan struct{} // closed when no more messages are put in

	mu      sync.Mutex
	outbox  outbox
	sending bool // the message that next returned last is being sent
}

func (q *sendQueue) put(e envelope) {
	q.mu.Lock()
	q.outbox.put(e)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *sendQueue) next() (envelope, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.outbox.next()
	q.sending = ok
	return e, ok
}

// endIfIdle ends the queue if no message waits or is being sent, and reports whether it did. put must
// not be called at the same time or afterwards.
func (q *sendQueue) endIfIdle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.sending || len(q.outbox.messages) > 0 {
		return false
	}
	close(q.ended)
	return true
}

// outbox holds the messages that wait for one recipient: the newest of each kind. A newer message says
// all that an older one of its kind does, and the older one is lost as the network may lose it. So a
// recipient that takes few messages receives current ones, however many were queued for it.
type outbox struct {
	messages []envelope
}

// put adds a message, or replaces the waiting one of the same kind.
func (o *outbox) put(e envelope) {
	for i := range o.messages {
		if o.messages[i].message.Kind == e.message.Kind {
			o.messages[i] = e
			return
		}
	}
	o.messages = append(o.messages, e)
}

// next removes the message to send next and returns it, if there is one.
func (o *outbox) next() (envelope, bool) {
	if len(o.messages) == 0 {
		return envelope{}, false
	}
	e := o.messages[0]
	o.messages = slices.Delete(o.messages, 0, 1)
	return e, true
}
