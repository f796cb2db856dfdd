package control

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
)

const (
	// streamBatchInterval is the shortest time between two messages with records of streams. A record
	// that was not told when its entry is killed is lost.
	streamBatchInterval = 40 * clock.Millisecond
	// streamCallTimeout bounds a call to a holder of records.
	streamCallTimeout = 300 * clock.Millisecond
	// lookupPause is the time after which a record that was not found is looked for once more: it may
	// still be on its way.
	lookupPause = 3 * streamBatchInterval
	// holderCheckInterval is how long a holder of records may not have been heard from before it is asked
	// whether it still is the process that has taken them.
	holderCheckInterval = 2 * clock.Second
	// streamQueueSize is the number of records that wait to be told.
	streamQueueSize = 4096
	// maxLocalStreams bounds the records of an entry's own streams.
	maxLocalStreams = 1 << 16
)

// StreamDirectory tells the members of the control group the origins of an entry's streams, and finds
// those of other entries' streams there. Its methods are safe for concurrent use.
type StreamDirectory struct {
	clock      clock.Clock
	peerClient *peerClient
	members    atomic.Pointer[[]string]
	own        *continuation.Records // of streams that this entry has begun or looked up
	queue      chan continuation.Record
	dropped    atomic.Uint64 // see Dropped

	holders *recordHolders

	unconfirmed        chan unconfirmedStream // see confirm
	unconfirmedDropped atomic.Uint64          // see UnconfirmedDropped
	confirmationPause  atomic.Int64           // time between two questions of confirm, in ms

	heartbeatCalls  heartbeatCalls
	heartbeatMember atomic.Int64 // index of the member that is asked first, modulo their number
}

// NewStreamDirectory returns a directory. It tells nothing until Run is called, and nothing is found
// at other entries before SetMembers is called.
func NewStreamDirectory(c clock.Clock, token string) *StreamDirectory {
	d := &StreamDirectory{
		clock: c, peerClient: newPeerClient(token), own: continuation.NewRecords(maxLocalStreams),
		queue: make(chan continuation.Record, streamQueueSize), holders: newRecordHolders(),
		unconfirmed: make(chan unconfirmedStream, streamQueueSize),
	}
	d.SetEntryCount(1)
	return d
}

// SetMembers sets the addresses of the control members.
func (d *StreamDirectory) SetMembers(addresses []string) {
	if len(addresses) > 0 {
		d.members.Store(&addresses)
	}
}

func (d *StreamDirectory) memberAddresses() []string {
	if members := d.members.Load(); members != nil {
		return *members
	}
	return nil
}

// Dropped returns the number of records that did not fit into the queue or reached no holder at first.
// Holders are told of them later, unless the entry ends before.
func (d *StreamDirectory) Dropped() uint64 { return d.dropped.Load() }

// Add records the origin of a stream. It does not block.
func (d *StreamDirectory) Add(record continuation.Record) {
	now := d.clock.Now()
	if !d.own.Add(now, record) {
		return
	}
	d.awaitConfirmation(now, record)
	select {
	case d.queue <- record:
	default:
		d.dropped.Add(1)
		d.holders.missedByAll(d.clock.Now())
	}
}

// Run tells holders of the records until ctx ends. Records that come together are told together. A
// holder that lacks records is told all of this entry's. Records are told again once they are confirmed.
func (d *StreamDirectory) Run(ctx context.Context) {
	var confirming sync.WaitGroup
	confirming.Go(func() { d.confirm(ctx) })
	defer confirming.Wait()
	for ctx.Err() == nil {
		check, release := d.clock.After(holderCheckInterval)
		select {
		case first := <-d.queue:
			d.tell(d.takeQueued(first))
		case <-check:
		case <-ctx.Done():
		}
		release()
		d.checkHolders()
		d.clock.Sleep(ctx, streamBatchInterval)
	}
	d.peerClient.httpClient.CloseIdleConnections()
}

// checkHolders sends an empty message to each member that has not been heard from lately, and all records
// to those that lack some.
func (d *StreamDirectory) checkHolders() {
	now, members := d.clock.Now(), d.memberAddresses()
	d.holders.setMembers(now, members)
	if due := d.holders.takeDue(now); len(due) > 0 && len(d.own.All(now)) > 0 {
		d.sendBatches(lo.SliceToMap(due, func(holder string) (string, []continuation.Record) { return holder, nil }))
	}
	behind := d.holders.takeBehind(d.clock.Now())
	if len(behind) == 0 {
		return
	}
	batches := map[string][]continuation.Record{}
	for _, r := range d.own.All(now) {
		holders := continuation.Holders(r.Stream, members)
		for _, holder := range lo.Intersect(holders[:min(len(holders), continuation.HolderCount)], behind) {
			batches[holder] = append(batches[holder], r)
		}
	}
	for holder, records := range batches {
		for _, batch := range lo.Chunk(records, streamQueueSize) {
			if len(d.sendBatches(map[string][]continuation.Record{holder: batch})) > 0 {
				break // it is told all records again once it answers
			}
		}
	}
}

// takeQueued returns a record and those that wait behind it.
func (d *StreamDirectory) takeQueued(first continuation.Record) []continuation.Record {
	records := []continuation.Record{first}
	for len(records) < streamQueueSize {
		select {
		case r := <-d.queue:
			records = append(records, r)
		default:
			return records
		}
	}
	return records
}

// tell sends records to their holders, and those that a holder did not take to the next one.
func (d *StreamDirectory) tell(records []continuation.Record) {
	members := d.memberAddresses()
	batches := map[string][]continuation.Record{}
	for _, r := range records {
		holders := continuation.Holders(r.Stream, members)
		for _, holder := range holders[:min(len(holders), continuation.HolderCount)] {
			batches[holder] = append(batches[holder], r)
		}
	}
	if len(batches) == 0 {
		d.dropped.Add(uint64(len(records)))
	}
	for _, r := range d.sendBatches(batches) {
		holders := continuation.Holders(r.Stream, members)
		if len(holders) <= continuation.HolderCount || len(d.sendBatches(map[string][]continuation.Record{holders[continuation.HolderCount]: {r}})) > 0 {
			d.dropped.Add(1)
		}
	}
}

// sendBatches sends batches to holders at the same time, and returns the records that a holder did not
// take.
func (d *StreamDirectory) sendBatches(batches map[string][]continuation.Record) []continuation.Record {
	var mu sync.Mutex
	var failed []continuation.Record
	var wait sync.WaitGroup
	for holder, batch := range batches {
		wait.Go(func() {
			if err := d.sendBatch(holder, batch); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, batch...)
			}
		})
	}
	wait.Wait()
	return failed
}

// sendBatch sends records to a holder.
func (d *StreamDirectory) sendBatch(holder string, batch []continuation.Record) error {
	data, err := encodeStreams(batch)
	if err != nil {
		return err
	}
	_, body, err := d.peerClient.exchange(fasthttp.MethodPost, holder, pathStreams, data, streamCallTimeout)
	if err != nil {
		if len(batch) > 0 {
			d.holders.missed(d.clock.Now(), holder)
		}
		return err
	}
	var answer wireHolder
	_ = json.Unmarshal(body, &answer) // the answer of a former build is empty
	d.holders.heard(d.clock.Now(), holder, answer.Run)
	return nil
}

// Lookup returns what is known of the origin of a stream. It asks the holders unless the stream is one
// of this entry's own, and once more after a short time if none of them knows it or answers.
func (d *StreamDirectory) Lookup(ctx context.Context, stream string) (continuation.Record, continuation.Knowledge) {
	if stream == "" {
		return continuation.Record{}, continuation.Unrecorded
	}
	record, knowledge := d.own.Lookup(d.clock.Now(), stream)
	isFound := func() bool { return knowledge == continuation.Recorded || knowledge == continuation.Contradictory }
	for attempt := 0; !isFound() && attempt < 2; attempt++ {
		if attempt > 0 && !d.clock.Sleep(ctx, lookupPause) {
			break
		}
		record, knowledge = d.ask(stream)
	}
	return record, knowledge
}

// ask asks the holders of a stream's record at the same time.
func (d *StreamDirectory) ask(stream string) (continuation.Record, continuation.Knowledge) {
	holders := continuation.Holders(stream, d.memberAddresses())
	holders = holders[:min(len(holders), continuation.AskedCount)]
	answers := make([]holderAnswer, len(holders))
	var wait sync.WaitGroup
	for i, holder := range holders {
		wait.Go(func() { answers[i] = d.askHolder(holder, stream) })
	}
	wait.Wait()
	if !lo.SomeBy(answers, func(a holderAnswer) bool { return a.answered }) {
		return continuation.Record{}, continuation.Unavailable
	}
	records := continuation.NewRecords(1)
	for _, a := range answers {
		switch {
		case a.stream == nil:
		case a.stream.Contradictory:
			return continuation.Record{}, continuation.Contradictory
		default:
			records.Add(d.clock.Now(), a.stream.record())
		}
	}
	return records.Lookup(d.clock.Now(), stream)
}

// holderAnswer is what a holder has answered.
type holderAnswer struct {
	answered bool
	stream   *wireStream // nil if it knows nothing of the stream
}

// askHolder asks one holder of a stream's record.
func (d *StreamDirectory) askHolder(holder, stream string) holderAnswer {
	data, err := json.Marshal(wireStreamLookup{Streams: []string{stream}})
	if err != nil {
		panic(errors.WithStack(err)) // cannot happen: strings can be encoded
	}
	_, body, err := d.peerClient.exchange(fasthttp.MethodPost, holder, pathStreamLookup, data, streamCallTimeout)
	if err != nil {
		return holderAnswer{}
	}
	var answer wireStreams
	if json.Unmarshal(body, &answer) != nil {
		return holderAnswer{}
	}
	if len(answer.Streams) != 1 || answer.Streams[0].Stream != stream {
		return holderAnswer{answered: true}
	}
	return holderAnswer{answered: true, stream: &answer.Streams[0]}
}
