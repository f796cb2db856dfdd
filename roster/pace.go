package roster

import "github.com/galenaslip/galenaslip/clock"

// Pace is the pace at which the batches of a Queue are delivered, one after the other. It
// tells how long an announcement waits for its acknowledgement.
type Pace struct {
	interval   clock.Millis // pause after each batch
	batchTime  clock.Millis // time that the latest batch took
	startedAt  clock.Millis // when the latest batch was sent
	inProgress bool         // whether its acknowledgement is awaited
}

// NewPace returns the pace of batches with the given pause after each of them.
func NewPace(interval clock.Millis) Pace { return Pace{interval: interval} }

// WithStart returns the pace with a batch in progress.
func (p Pace) WithStart(now clock.Millis) Pace {
	p.startedAt, p.inProgress = now, true
	return p
}

// WithEnd returns the pace after the batch in progress has ended.
func (p Pace) WithEnd(now clock.Millis) Pace {
	p.batchTime, p.inProgress = now-p.startedAt, false
	return p
}

// Wait returns the time until an announcement is acknowledged before which the given number of
// batches wait, if the next batches take as long as the latest one.
func (p Pace) Wait(now clock.Millis, batchesBefore int) clock.Millis {
	batchTime := p.batchTime
	if p.inProgress {
		batchTime = max(batchTime, now-p.startedAt)
	}
	nextStart := max(p.startedAt+batchTime+p.interval, now)
	return nextStart - now + clock.Millis(batchesBefore)*(batchTime+p.interval) + batchTime
}
