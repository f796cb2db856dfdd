package entry

import (
	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/routing"
)

// queue orders waiting requests and decides which to accept, shed or preempt.
type queue interface {
	Offer(now clock.Millis, item admission.Item) admission.Offer
	Requeue(now clock.Millis, item admission.Item)
	Remove(id string) bool
	SetFreeSlots(pool string, slots int)
	Next(now clock.Millis, pool string, peers []admission.Demand) (admission.Item, bool)
	Preempt(now clock.Millis, pool string, running []admission.RunningRequest) (string, bool)
	RetryAfter(now clock.Millis, item admission.Item) clock.Millis
	Waiting() []admission.Demand
}

// router chooses a server for each request and counts the requests at each server.
type router interface {
	FreeSlots(now clock.Millis, pool string) int
	Choose(now clock.Millis, request routing.Request) (routing.Choice, bool)
	RecordSent(now clock.Millis, request routing.Request, server string)
	RecordProgress(now clock.Millis, id string, tokens int)
	RecordFinished(now clock.Millis, id string, result routing.Result)
	RecordPeerLoad(now clock.Millis, peer string, inFlight map[string]int, age clock.Millis)
	CacheEvents(server string, events []backend.CacheEvent)
}

// newPolicy returns the queue and the router of the policy in the options.
func newPolicy(options Options, registry *backend.Registry, e *estimates) (queue, router) {
	queueOptions := admission.Options{Limit: options.Limits.MaxWaiting, ServiceTime: e.predict}
	routerOptions := routing.Options{Entry: options.Name, Registry: registry}
	if options.Policy == PolicyNaive {
		return admission.NewNaive(queueOptions), routing.NewNaive(routerOptions)
	}
	return admission.New(queueOptions), routing.New(routerOptions)
}
