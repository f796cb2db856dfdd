// Package gossip exchanges what processes have learned: each process tells another one only what
// the other does not know yet. It uses no network; the messages of other exchanges carry its
// reports.
package gossip

import "github.com/galenaslip/galenaslip/clock"

// Position identifies the records that a process has at a time.
type Position struct {
	Instance uint64 // identifies the process's set of records; 0 if nothing is known of it
	Number   uint64 // number of changes of its records
	// Urgent is the number of changes that are known of the records that a set tells of before others. It
	// is at least Number, or 0 for a set that tells in order.
	Urgent uint64
}

// Known returns the number of the newest change that a process knows which has been told the changes
// up to a position. It knows none if that is a position of another set.
func (p Position) Known(told Position) uint64 {
	if told.Instance != p.Instance {
		return 0
	}
	return min(told.Number, p.Number)
}

// KnownUrgent is Known for the records that a set tells of before others. Former builds send the
// position back without its number of them.
func (p Position) KnownUrgent(told Position) uint64 {
	if told.Instance != p.Instance {
		return 0
	}
	return min(max(told.Urgent, told.Number), p.Urgent)
}

// WirePosition is the JSON form of Position.
type WirePosition struct {
	Instance uint64 `json:"instance"`
	Number   uint64 `json:"number"`
	Urgent   uint64 `json:"urgent,omitempty"`
}

// Records is a set of records that can be merged in any order and any number of times. R is the
// type of a report, a part of such a set.
type Records[R any] interface {
	// Report returns records that changed after a position of this set, and the position that
	// they lead to. For a position of another set it begins with the first record.
	Report(now clock.Millis, since Position) (R, Position)
	// Merge takes over the records of a report.
	Merge(now clock.Millis, report R)
}

// Exchange is the exchange of records with one other process at a time. It is not safe for
// concurrent use.
type Exchange[R any] struct {
	records  Records[R]
	received Position // up to which the other process's records are known
	sent     Position // up to which the other process knows the own records
	sending  Position // the same once the other process has answered
}

// NewExchange returns an exchange of the given records.
func NewExchange[R any](records Records[R]) Exchange[R] { return Exchange[R]{records: records} }

// Next returns what a request contains: the records that the other process does not know, and
// the position up to which its own are known.
func (x *Exchange[R]) Next(now clock.Millis) (report R, known Position) {
	report, x.sending = x.records.Report(now, x.sent)
	return report, x.received
}

// Apply takes over an answer: records of the other process and the position that they lead to.
// Another process than before has answered if the position is of another instance: it needs all
// records.
func (x *Exchange[R]) Apply(now clock.Millis, report R, position Position) {
	x.records.Merge(now, report)
	if position.Instance == x.received.Instance {
		x.sent = x.sending
	} else {
		x.sent = Position{}
	}
	x.received = position
}
