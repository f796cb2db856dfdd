package continuation

import "github.com/galenaslip/galenaslip/clock"

// runStartMargin is by how much a stream must have begun before a run started, so that this run is certainly not
// the one that began it. It covers the difference between the times of day of two VMs.
const runStartMargin = 500 * clock.Millisecond

// Heartbeat is the newest heartbeat of a server that the control leader has received.
type Heartbeat struct {
	Server  string
	Version string       // of the server's software
	Age     clock.Millis // time since the leader received it
	// OnTime is the age up to which a heartbeat is not overdue.
	OnTime clock.Millis
	RunAge clock.Millis // time since the run of the heartbeat started; 0 if that is not known
}

// Heartbeats is what the control leader has answered to a question for the newest heartbeats of servers.
type Heartbeats struct {
	ByServer map[string]Heartbeat // of those that the leader knows
	AskedAt  clock.Millis         // a time before which it was not asked
	// CompleteIn is the time after which the leader knows each server that runs. A leader that was elected a moment
	// ago has not heard from all of them.
	CompleteIn clock.Millis
}

// Confirms reports whether a server that answered at a time was of a version. The heartbeat was
// asked for at askedAt, by the same clock. A server that has been started again at another version
// under its name is taken for the former one until its first heartbeat arrives, which may be late.
// Meanwhile the last heartbeat of the former run becomes overdue. So what a server has answered is
// certain only if it was not overdue then, or if a heartbeat has followed.
func (h Heartbeat) Confirms(version string, answeredAt, askedAt clock.Millis) bool {
	receivedAt := askedAt - h.Age // or later, because the leader was asked after askedAt
	return h.Version == version && receivedAt+h.OnTime >= answeredAt
}

// RunAge returns how long a run has been going on that started at a Unix time in ms, and that has been heard
// of for some time. It is 0 if the start is not known. The time of day may have jumped, so that a start that
// seems to be later than the first heartbeat was not.
func RunAge(wall clock.Millis, startedAt int64, heardFor clock.Millis) clock.Millis {
	if startedAt <= 0 {
		return 0
	}
	return max(wall-clock.Millis(startedAt), heardFor, 1)
}

// StartedAfter reports whether the run of the heartbeat certainly started after a time. The heartbeat was
// asked for at askedAt, by the same clock.
func (h Heartbeat) StartedAfter(at, askedAt clock.Millis) bool {
	return h.RunAge > 0 && askedAt-h.RunAge >= at+runStartMargin
}

// Confirms reports whether it is certain that the server of a record was of the recorded version when the
// stream began, at begunAt. A heartbeat of a later run at another version says nothing of the run before: what was
// confirmed while that one ran stays true if the stream began before the later run started. A leader that does
// not know the server contradicts nothing once it has heard from all servers that run.
func (r Record) Confirms(begunAt clock.Millis, answer Heartbeats) bool {
	newest, known := answer.ByServer[r.Server]
	switch {
	case known && newest.Confirms(r.Origin.Version, begunAt, answer.AskedAt):
		return true
	case !known:
		return r.Confirmed && answer.CompleteIn <= 0
	}
	return r.Confirmed && (newest.Version == r.Origin.Version || newest.StartedAfter(begunAt, answer.AskedAt))
}
