package control

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/quarantine"
)

// quarantineExchange is the part of a Watcher that exchanges news about parts of prompts that
// end servers with the member that is asked.
type quarantineExchange struct {
	quarantine *quarantine.Quarantine
	received   quarantine.Position // up to which the member's records are known
	sent       quarantine.Position // up to which the member knows the own records
	sending    quarantine.Position // the same once the member has answered
}

// fill adds to a request what the member does not know yet.
func (x *quarantineExchange) fill(now clock.Millis, request *WatchRequest) {
	request.QuarantineKnown = x.received
	request.Quarantine, x.sending = x.quarantine.Report(now, x.sent)
}

// apply takes over what the member has answered. Another process than before has answered if
// its position is of another instance: it needs all records.
func (x *quarantineExchange) apply(now clock.Millis, response WatchResponse) {
	x.quarantine.Merge(now, response.Quarantine)
	if response.QuarantinePosition.Instance == x.received.Instance {
		x.sent = x.sending
	} else {
		x.sent = quarantine.Position{}
	}
	x.received = response.QuarantinePosition
}
