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

// leaseKeeper renews the entry's configuration lease. Only its goroutine may use
// holder and leaseValid; other goroutines read the published view.
type leaseKeeper struct {
	options    Options
	holder     *lease.Holder
	view       atomic.Pointer[leaseView]
	leaseValid bool                  // whether the lease was valid at the last call of publish
	openClaims atomic.Int64          // once-only calls whose outcome is not recorded yet
	leaving    atomic.Bool           // a stop has begun; reported with each renewal
	demand     func() []lease.Demand // returns the demand that a renewal reports
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

// valid reports whether the lease is valid now. Check it immediately before the
// action that the lease protects, with no wait in between.
func (k *leaseKeeper) valid() bool {
	return k.options.Clock.Now() < k.view.Load().expires
}

// remaining returns the time until the lease expires, or zero.
func (k *leaseKeeper) remaining() clock.Millis {
	return max(k.view.Load().expires-k.options.Clock.Now(), 0)
}

// configuration returns the configuration that came with the lease.
func (k *leaseKeeper) configuration() configuration.Configuration {
	return k.view.Load().configuration
}

// entries returns the entries that hold a lease.
func (k *leaseKeeper) entries() []lease.Entry {
	return k.view.Load().entries
}

// noLease returns the problem for a request that is refused because the entry has no
// lease.
func noLease() *problem {
	return notRun(outcome.ReasonNoLease, "the entry has no configuration lease")
}

// run renews the lease at the lease's interval until ctx ends.
func (k *leaseKeeper) run(ctx context.Context) {
	for {
		k.renew(ctx)
		if !k.options.Clock.Sleep(ctx, lease.RenewalInterval) {
			return
		}
	}
}

// renew renews the lease once and publishes the new state.
func (k *leaseKeeper) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.options.Timeouts.Renewal.Duration())
	defer cancel()
	renewal, number := k.holder.NextRenewal(k.options.Clock.Now(), int(k.openClaims.Load()), k.demand(), k.leaving.Load())
	grant, reply := k.options.Control.Renew(ctx, renewal)
	now := k.options.Clock.Now()
	if reply.Kind == outcome.Answered {
		k.holder.Accept(now, number, grant)
	}
	k.publish(now, reply.Message)
}

// publish makes the holder's state visible to other goroutines and logs changes.
// The cause is logged when the lease was lost.
func (k *leaseKeeper) publish(now clock.Millis, cause string) {
	previous := k.view.Load()
	current := &leaseView{
		expires:       k.holder.Expires(),
		configuration: k.holder.Configuration(),
		entries:       k.holder.Entries(),
		term:          k.holder.Term(),
	}
	k.view.Store(current)
	if current.configuration.Revision() != previous.configuration.Revision() {
		k.options.Logger.Log(event.ConfigurationLoaded, zap.Uint64("revision", current.configuration.Revision()))
	}
	leaseValid := k.holder.Valid(now)
	switch {
	case leaseValid && !k.leaseValid:
		k.options.Logger.Log(event.LeaseGained, zap.Uint64("term", current.term))
	case !leaseValid && k.leaseValid:
		k.options.Logger.Log(event.LeaseLost, zap.String("cause", cause))
	}
	k.leaseValid = leaseValid
}
