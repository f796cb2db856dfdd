package continuation

import "github.com/galenaslip/galenaslip/clock"

// Heartbeat is the newest heartbeat of a server that the control leader has received.
type Heartbeat struct {
	Server  string
	Version string       // of the server's software
	Age     clock.Millis // time since the leader received it
	// OnTime is the age up to which a heartbeat is not overdue.
	OnTime clock.Millis
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
