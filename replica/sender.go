package replica

import (
	"context"
	"sync"
)

// senders runs one goroutine per recipient, so that a slow recipient does not delay the
// others.
type senders struct {
	ctx       context.Context
	group     *sync.WaitGroup
	transport Transport
	queues    map[string]chan envelope // by identity and address; capacity sendCapacity, further messages are dropped
}

func newSenders(ctx context.Context, group *sync.WaitGroup, transport Transport) *senders {
	return &senders{ctx: ctx, group: group, transport: transport, queues: map[string]chan envelope{}}
}

// send queues a message. It drops the message if the queue is full or there are too many
// queues.
func (s *senders) send(e envelope) {
	key := e.to.Identity + "@" + e.to.Address
	queue, ok := s.queues[key]
	if !ok && len(s.queues) >= maxKnownSenders {
		return
	}
	if !ok {
		queue = make(chan envelope, sendCapacity)
		s.queues[key] = queue
		s.group.Go(func() { s.run(queue) })
	}
	select {
	case queue <- e:
	default:
	}
}

func (s *senders) run(queue <-chan envelope) {
	for {
		select {
		case e := <-queue:
			s.transport.Send(e.to, e.message)
		case <-s.ctx.Done():
			return
		}
	}
}
