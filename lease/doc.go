// Package lease implements the configuration lease. An entry may act on its
// configuration only while it holds a lease. When a newer configuration is
// accepted, each entry either receives it or loses its lease within 3 s of the
// acceptance.
//
// The control leader runs a Grantor and each entry runs a Holder. Each of them
// uses its own clock; only durations are sent. The holder measures the lease
// from the time at which it sent the request, and the grantor from the later
// time at which it granted the lease, so the lease always ends at the holder
// first.
package lease
