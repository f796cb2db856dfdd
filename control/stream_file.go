package control

import (
	"cmp"
	"context"
	"encoding/json"
	"path/filepath"
	"slices"
	"sync"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/storage"
)

const (
	// streamFileName is the name of the file in the data folder that keeps records of streams, so that
	// streams can be taken up after their entry and all members were killed together.
	streamFileName = "streams"
	// streamSaveInterval bounds how many records a kill loses, and how often the disk is written.
	streamSaveInterval = 50 * clock.Millisecond
	// streamRetryInterval is the time between attempts to save while the disk refuses writes.
	streamRetryInterval = 1 * clock.Second
	// maxSavedStreams bounds the records that the file is replaced with, and those that are added to it
	// before it is replaced again: some 5 MB each.
	maxSavedStreams = 1 << 16
	// savedBatchSize is the number of records that are lost together if a part of the file is damaged.
	savedBatchSize = 1024
)

// streamFile keeps the records of streams that this member holds on disk. Records are added to the file
// until those at its begin are no longer needed; then it is replaced by the ones that are. add may be called
// at any time, the other methods by one goroutine.
type streamFile struct {
	disk    storage.FileSystem
	path    string
	records *continuation.Records
	clock   clock.Clock
	logger  event.Logger
	changed chan struct{} // has an element while records are to be saved

	mu      sync.Mutex
	pending []continuation.Record // not saved yet
	dropped bool                  // some of those were left out because there were too many

	replacedAt clock.Millis
	added      int  // records added to the file since
	incomplete bool // the file lacks records, or was not replaced by this process
	failed     bool // the newest attempt to save failed
}

func newStreamFile(c *Control) *streamFile {
	return &streamFile{
		disk: storage.OSFileSystem{}, path: filepath.Join(c.options.Folder, streamFileName), records: c.streams,
		clock: c.options.Clock, logger: c.options.Logger, changed: make(chan struct{}, 1), incomplete: true,
	}
}

// load takes over the records of an earlier process. The time for which that one has not run is not known.
// So the streams count as begun now, until their entry tells their age again: those that were not confirmed before
// are confirmed only by a heartbeat from now on.
func (f *streamFile) load() {
	file, release := storage.NewRecordFile(f.disk, f.path)
	defer release()
	payloads, err := file.Read()
	if err != nil {
		f.logFailure(err)
	}
	now := f.clock.Now()
	for _, payload := range payloads {
		var w wireStreams
		if err := json.Unmarshal(payload, &w); err != nil {
			f.logFailure(err)
			continue
		}
		for _, stream := range w.Streams {
			record := stream.record()
			record.Age = 0
			f.records.Add(now, record)
		}
	}
}

// add saves records soon. They have been added to the records of the member.
func (f *streamFile) add(records []continuation.Record) {
	if len(records) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dropped = f.dropped || len(f.pending)+len(records) > maxSavedStreams; f.dropped {
		f.pending = nil
	} else {
		f.pending = append(f.pending, records...)
	}
	f.notify()
}

// notify lets run save the records.
func (f *streamFile) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// takePending returns the records that are to be saved, and whether some are missing.
func (f *streamFile) takePending() (records []continuation.Record, incomplete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	records, incomplete = f.pending, f.dropped
	f.pending, f.dropped = nil, false
	return records, incomplete
}

// run saves records until ctx ends, and those that are left then. After a failure, for example because the
// disk is full, it tries again with all of them.
func (f *streamFile) run(ctx context.Context) {
	file, release := storage.NewRecordFile(f.disk, f.path)
	defer release()
	for ctx.Err() == nil {
		select {
		case <-f.changed:
		case <-ctx.Done():
		}
		interval := streamSaveInterval
		if f.save(file); f.failed {
			interval = streamRetryInterval
			f.notify()
		}
		f.clock.Sleep(ctx, interval)
	}
	f.save(file)
}

// save adds the pending records to the file, or replaces it.
func (f *streamFile) save(file *storage.RecordFile) {
	pending, incomplete := f.takePending()
	f.incomplete = f.incomplete || incomplete
	if len(pending) == 0 && !f.failed && !incomplete {
		return
	}
	now := f.clock.Now()
	var err error
	if f.incomplete || f.added+len(pending) > maxSavedStreams || now-f.replacedAt >= continuation.Retention {
		err = f.replace(now, file)
	} else {
		err = f.append(file, pending)
	}
	if err != nil && !f.failed {
		f.logFailure(err)
	}
	f.failed, f.incomplete = err != nil, err != nil
}

// replace replaces the content of the file by the newest records.
func (f *streamFile) replace(now clock.Millis, file *storage.RecordFile) error {
	all := f.records.All(now)
	if len(all) > maxSavedStreams {
		slices.SortFunc(all, func(a, b continuation.Record) int { return cmp.Compare(a.Age, b.Age) })
		all = all[:maxSavedStreams]
	}
	var payloads [][]byte
	for _, batch := range lo.Chunk(all, savedBatchSize) {
		payload, err := encodeStreams(batch)
		if err != nil {
			return err
		}
		payloads = append(payloads, payload)
	}
	if err := file.Replace(payloads); err != nil {
		return err
	}
	f.replacedAt, f.added = now, 0
	return nil
}

// append adds records to the file.
func (f *streamFile) append(file *storage.RecordFile, records []continuation.Record) error {
	payload, err := encodeStreams(records)
	if err != nil {
		return err
	}
	f.added += len(records)
	return file.Append(payload)
}

func (f *streamFile) logFailure(err error) {
	f.logger.Log(event.StreamsNotSaved, zap.String("path", f.path), zap.Error(err))
}
