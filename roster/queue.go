package roster

// Delivery is the delivery of an announcement to the registry. Several calls of a server may
// wait for the same one. Its methods are safe for concurrent use.
type Delivery struct {
	announcement Announcement
	done         chan struct{}
	err          error
}

func newDelivery(a Announcement) *Delivery {
	return &Delivery{announcement: a, done: make(chan struct{})}
}

// Announcement returns what is delivered. It is final once the delivery was taken from its
// queue.
func (d *Delivery) Announcement() Announcement { return d.announcement }

// Done returns a channel that is closed when the delivery has ended.
func (d *Delivery) Done() <-chan struct{} { return d.done }

// Err returns nil if the announcement was acknowledged. It is valid once Done is closed.
func (d *Delivery) Err() error { return d.err }

// Finish ends the delivery. It is called once.
func (d *Delivery) Finish(err error) {
	d.err = err
	close(d.done)
}

// Queue holds the announcements that are to be delivered to a registry. The registry ends up
// as if each of them had been delivered in the order of arrival, as long as servers keep their
// addresses. It is not safe for concurrent use.
type Queue struct {
	capacity      int
	waiting       []*Delivery
	taken         int            // number of deliveries that were taken, the position of waiting[0]
	lastOfServer  map[string]int // position of the last delivery for each server
	lastOfAddress map[string]int // position of the last delivery for each address
	lastGone      int            // position of the last delivery of a gone server, which has no address
}

// NewQueue returns a queue for up to capacity announcements.
func NewQueue(capacity int) *Queue {
	return &Queue{capacity: capacity, lastOfServer: map[string]int{}, lastOfAddress: map[string]int{}, lastGone: -1}
}

// Len returns the number of announcements that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Add adds an announcement and returns its delivery, or false if the queue is full. The newest
// announcement of a server takes the place of an older one if the registry would not keep
// anything of the older one.
func (q *Queue) Add(a Announcement) (*Delivery, bool) {
	if d := q.combinable(a); d != nil {
		if a.isNewerThan(d.announcement) {
			d.announcement = a
		}
		return d, true
	}
	if len(q.waiting) >= q.capacity {
		return nil, false
	}
	d := newDelivery(a)
	q.record(a, q.taken+len(q.waiting))
	q.waiting = append(q.waiting, d)
	return d, true
}

// Take removes the oldest announcements, up to the given number, and returns their deliveries.
func (q *Queue) Take(most int) []*Delivery {
	n := min(most, len(q.waiting))
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	for i, d := range batch {
		q.forget(d.announcement, q.taken+i)
	}
	q.taken += n
	return batch
}

// combinable returns the waiting delivery of which only the newest announcement matters
// together with the given one, or nil if there is none. A departure is never replaced by
// something else, because its acknowledgement promises more.
func (q *Queue) combinable(a Announcement) *Delivery {
	position, ok := q.lastOfServer[a.Server]
	if !ok {
		return nil
	}
	d := q.waiting[position-q.taken]
	waiting := d.announcement
	older, newer := waiting, a
	if !a.isNewerThan(waiting) {
		older, newer = a, waiting
	}
	if older.State != newer.State && (older.State != Serving || newer.State == Gone) {
		return nil
	}
	// Announcements of other servers at the address, or departures, may come in between.
	if a.Address != waiting.Address || q.lastGone > position || q.lastOfAddress[a.Address] > position {
		return nil
	}
	return d
}

// record stores the position of an announcement.
func (q *Queue) record(a Announcement, position int) {
	q.lastOfServer[a.Server], q.lastOfAddress[a.Address] = position, position
	if a.State == Gone {
		q.lastGone = position
	}
}

// forget removes the position of an announcement that was taken.
func (q *Queue) forget(a Announcement, position int) {
	if q.lastOfServer[a.Server] == position {
		delete(q.lastOfServer, a.Server)
	}
	if q.lastOfAddress[a.Address] == position {
		delete(q.lastOfAddress, a.Address)
	}
}
