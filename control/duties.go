package control

import (
	"context"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/duty"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/replica"
)

const (
	// dutyInterval is how often the holder looks for calls to make.
	dutyInterval = 100 * clock.Millisecond
	// dutyLogInterval is the shortest time between two log lines about calls that were not accepted.
	dutyLogInterval = 1 * clock.Second
)

// The names of duties in logs and metrics.
const (
	dutyUsage   = "usage"   // to report usage
	dutyServers = "servers" // to order backend servers
)

// DutyOptions are the settings of the calls that one member at a time makes.
type DutyOptions struct {
	Holder         string       // name of this machine in calls
	HolderLease    clock.Millis // see duty.Options
	CallsPerSecond float64
	Usage          *UsageOptions // reports of usage; none when nil
}

// dutyCall makes one call with a fence. It asks mayAct directly before it sends the first byte, and
// returns duty.Withheld if that reports false. The error explains an outcome that has a cause.
type dutyCall func(f duty.Fence, mayAct func() bool) (duty.Outcome, error)

// duties makes the calls of all duties of this member. It is safe for concurrent use.
type duties struct {
	control *Control
	holder  *duty.Holder
	log     *event.Limiter
}

// newDuties returns the duties of a member; nil without options.
func newDuties(c *Control) *duties {
	o := c.options.Duties
	if o == nil {
		return nil
	}
	return &duties{control: c, log: event.NewLimiter(c.options.Logger, dutyLogInterval), holder: duty.NewHolder(duty.Options{
		Name: o.Holder, HolderLease: o.HolderLease, CallsPerSecond: o.CallsPerSecond, Clock: c.options.Clock, Leadership: c.leadership,
	})}
}

// run observes each change of leader until ctx ends, because the wait of a new holder counts from its
// first observation. It does nothing without duties.
func (d *duties) run(ctx context.Context) {
	if d == nil {
		return
	}
	d.control.options.Clock.Every(ctx, dutyInterval, func() { d.holder.Fence() })
}

// leadership returns what this member knows about its own leadership.
func (c *Control) leadership() duty.Leadership {
	status := c.log.Load().Status()
	if status.Role != replica.Leader {
		return duty.Leadership{}
	}
	return duty.Leadership{Term: status.Term, LeaseRemaining: status.LeaseRemaining}
}

// call makes a call of the named duty if this member may act now and the budget allows it. It returns
// false if no call was begun.
func (d *duties) call(ctx context.Context, name string, send dutyCall) (duty.Outcome, bool) {
	f, ok := d.holder.Begin()
	if !ok {
		return duty.Withheld, false
	}
	o, err := send(f, func() bool { return d.holder.MayAct(f) })
	d.holder.End(o)
	d.control.metrics.dutyCalls.WithLabelValues(name, o.String()).Inc()
	if o != duty.Accepted {
		d.log.Log(d.control.options.Clock.Now(), event.DutyCallFailed, zap.String("duty", name),
			zap.Stringer("outcome", o), zap.Uint64("token", f.Token), zap.String("error", errorText(err)))
	}
	if o == duty.Superseded {
		d.control.verifyLeadership(ctx)
	}
	return o, true
}

// state returns the state for the state dump; nil without duties.
func (d *duties) state() *duty.State {
	if d == nil {
		return nil
	}
	s := d.holder.State()
	return &s
}
