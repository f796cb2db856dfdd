package entry

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
)

// leaseKeeper renews the configuration lease. Its goroutine owns the holder;
// everyone else reads the published view.
type leaseKeeper struct {
	options Options
	holder  *lease.Holder
	view    atomic.Pointer[leaseView]
	held    bool
	claims  atomic.Int64
	leaving atomic.Bool
	demand  func() []lease.Demand
}

// leaseView is an immutable copy of the holder's state.
type leaseView struct {
	expires       clock.Millis
	configuration configuration.Configuration
	entries       []lease.Entry
	term          uint64
}

func newLeaseKeeper(options Options, incarnation uint64, address string) *leaseKeeper {
	k := &leaseKeeper{
		options: options,
		holder:  lease.NewHolder(options.Name, incarnation, address, options.AvailabilityZone),
		demand:  func() []lease.Demand { return nil },
	}
	k.view.Store(&leaseView{})
	return k
}

// valid reports whether the lease lasts now. The caller asks after its last
// wait, directly before the action that the lease protects.
func (k *leaseKeeper) valid() bool {
	return k.options.Clock.Now() < k.view.Load().expires
}

// remaining returns the rest of the lease.
func (k *leaseKeeper) remaining() clock.Millis {
	return max(k.view.Load().expires-k.options.Clock.Now(), 0)
}

func (k *leaseKeeper) configuration() configuration.Configuration {
	return k.view.Load().configuration
}

func (k *leaseKeeper) entries() []lease.Entry {
	return k.view.Load().entries
}

func noLease() *problem {
	return notRun(outcome.ReasonNoLease, "the entry has no configuration lease")
}

// run renews once a second until ctx ends.
func (k *leaseKeeper) run(ctx context.Context) {
	for {
		k.renew(ctx)
		if !k.options.Clock.Sleep(ctx, lease.RenewalInterval) {
			return
		}
	}
}

func (k *leaseKeeper) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.options.Timeouts.Renewal.Duration())
	defer cancel()
	renewal, number := k.holder.NextRenewal(k.options.Clock.Now(), int(k.claims.Load()), k.demand(), k.leaving.Load())
	grant, reply := k.options.Control.Renew(ctx, renewal)
	now := k.options.Clock.Now()
	if reply.Kind == outcome.Answered {
		k.holder.Accept(now, number, grant)
	}
	k.publish(now, reply.Message)
}

func (k *leaseKeeper) publish(now clock.Millis, cause string) {
	former := k.view.Load()
	current := &leaseView{
		expires:       k.holder.Expires(),
		configuration: k.holder.Configuration(),
		entries:       k.holder.Entries(),
		term:          k.holder.Term(),
	}
	k.view.Store(current)
	if current.configuration.Revision() != former.configuration.Revision() {
		k.options.Logger.Log(event.ConfigurationLoaded, zap.Uint64("revision", current.configuration.Revision()))
	}
	held := k.holder.Valid(now)
	switch {
	case held && !k.held:
		k.options.Logger.Log(event.LeaseGained, zap.Uint64("term", current.term))
	case !held && k.held:
		k.options.Logger.Log(event.LeaseLost, zap.String("cause", cause))
	}
	k.held = held
}
